"""Remembers reload signals that come before there is anything to act on them."""

import signal
from types import FrameType

_reload_requested = False


def _on_sighup(_number: int, _frame: FrameType | None) -> None:
    global _reload_requested
    _reload_requested = True


def catch_reload_signal() -> None:
    """From here on SIGHUP neither ends the process, as is its default, nor is it lost."""
    signal.signal(signal.SIGHUP, _on_sighup)


def take_reload_request() -> bool:
    """Whether a SIGHUP came since it was asked last."""
    global _reload_requested
    requested = _reload_requested
    _reload_requested = False
    return requested
