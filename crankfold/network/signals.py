"""Signals that arrive before the event loop has handlers for them, or after it has removed them."""

import asyncio
import signal
from types import FrameType

# The signals that have a handler while the process serves.
OPERATOR_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)

_reload_requested = False


def _on_sighup(_number: int, _frame: FrameType | None) -> None:
    global _reload_requested
    _reload_requested = True


def catch_early_signals() -> None:
    """Records SIGHUP for `take_reload_request` and ignores SIGUSR1; by default both end the process."""
    signal.signal(signal.SIGHUP, _on_sighup)
    signal.signal(signal.SIGUSR1, signal.SIG_IGN)


def take_reload_request() -> bool:
    """Returns whether SIGHUP was received since the last call."""
    global _reload_requested
    requested = _reload_requested
    _reload_requested = False
    return requested


def ignore_signals_at_end(loop: asyncio.AbstractEventLoop) -> None:
    """Ignores operators' signals: their default action would end the process before its last responses."""
    for number in OPERATOR_SIGNALS:
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)
