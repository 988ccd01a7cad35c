"""What the parts of a running trial share."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

from crankfold.fault_injection.backends import BackendPool
from crankfold.fault_injection.http_client import AdminClient
from crankfold.fault_injection.plan import TrialPlan
from crankfold.fault_injection.processes import ManagedProcess


class TrialClock:
    """Seconds since the trial began, on the event loop's clock."""

    def __init__(self) -> None:
        self._started_at = 0.0

    def start(self) -> None:
        """The trial begins now."""
        self._started_at = asyncio.get_running_loop().time()

    def elapsed(self) -> float:
        """How long the trial lasts already."""
        return asyncio.get_running_loop().time() - self._started_at

    async def sleep_until(self, seconds: float) -> None:
        """Sleep until the trial has lasted that long; return at once if it has."""
        await asyncio.sleep(max(seconds - self.elapsed(), 0))


@dataclass(frozen=True, slots=True)
class TrialContext:
    """A running trial."""

    plan: TrialPlan
    seed: int
    folder: Path
    clock: TrialClock
    admin: AdminClient
    processes: dict[str, ManagedProcess]
    backends: BackendPool
