"""Signals that come before there is anything to act on them."""

import signal
from types import FrameType

_reload_requested = False


def _on_sighup(number: int, frame: FrameType | None) -> None:
    global _reload_requested
    _reload_requested = True


def catch_reload_signal() -> None:
    """From here on SIGHUP neither ends the process, as is its default, nor is it lost."""
    signal.signal(signal.SIGHUP, _on_sighup)


def take_reload_request() -> bool:
    """Whether one came; that is told once."""
    global _reload_requested
    came, _reload_requested = _reload_requested, False
    return came
