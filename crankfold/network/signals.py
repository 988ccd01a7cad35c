"""Signals that come before there is anything to act on them."""

import signal
from types import FrameType

_came = False


def _note(number: int, frame: FrameType | None) -> None:
    global _came
    _came = True


def note_renewals() -> None:
    """From here on SIGHUP neither ends the process, as is its default, nor is it lost."""
    signal.signal(signal.SIGHUP, _note)


def renewal_noted() -> bool:
    """Whether one came; that is told once."""
    global _came
    came, _came = _came, False
    return came
