"""The clock of a running trial, and the objects that its parts share."""

import asyncio
from dataclasses import dataclass
from pathlib import Path

from crankfold.fault_injection.backends import BackendPool
from crankfold.fault_injection.http_client import AdminClient
from crankfold.fault_injection.plan import TrialPlan
from crankfold.fault_injection.processes import ManagedProcess


class TrialClock:
    """Measures the seconds since the start of the trial, by the event loop's clock."""

    def __init__(self) -> None:
        self._started_at = 0.0

    def start(self) -> None:
        """Sets the start of the trial to now."""
        self._started_at = asyncio.get_running_loop().time()

    def elapsed(self) -> float:
        """Returns the seconds since the start."""
        return asyncio.get_running_loop().time() - self._started_at

    async def sleep_until(self, seconds: float) -> None:
        """Sleeps until `seconds` after the start; returns at once if they have passed."""
        await asyncio.sleep(max(seconds - self.elapsed(), 0))


@dataclass(frozen=True, slots=True)
class TrialContext:
    """The shared objects of a running trial."""

    plan: TrialPlan
    seed: int
    folder: Path
    clock: TrialClock
    admin: AdminClient
    processes: dict[str, ManagedProcess]
    backends: BackendPool
