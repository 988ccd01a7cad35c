"""Signals that come before there is anything to act on them, or when the process is about to end."""

import asyncio
import signal
from types import FrameType

# All that operators send to a process in service.
OPERATOR_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

_reload_requested = False


def _on_sighup(_number: int, _frame: FrameType | None) -> None:
    global _reload_requested
    _reload_requested = True


def catch_early_signals() -> None:
    """From here on SIGHUP is remembered and SIGUSR1 ignored; by default both end the process."""
    signal.signal(signal.SIGHUP, _on_sighup)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)


def take_reload_request() -> bool:
    """Whether a SIGHUP came since it was asked last."""
    global _reload_requested
    requested = _reload_requested
    _reload_requested = False
    return requested


def ignore_signals_at_end(loop: asyncio.AbstractEventLoop) -> None:
    """The process ends by itself now: the default of a signal would end it before its last answers."""
    for number in OPERATOR_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
