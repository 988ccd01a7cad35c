"""The stand-in backends of a trial: their start, downtime, loss and replacement."""

import asyncio
from collections import Counter

from crankfold.fault_injection.http_client import boot_time_ns
from crankfold.fault_injection.plan import FaultKind, FaultSpecification, TrialPlan
from crankfold.fault_injection.records import Observations, Period
from crankfold.fault_injection.stand_ins import BackendBehavior, EndpointList, StandInBackend

REPLACEMENT_SUFFIX = "b"  # appended to the id of a lost backend for the id of its replacement
DEFAULT_ZONE = "here"
MILLISECONDS_PER_SECOND = 1000


class BackendPool:
    """All backends of a trial, and the endpoint list of those in service."""

    def __init__(
        self, plan: TrialPlan, observations: Observations, callback_ports: dict[str, int], seed: int
    ) -> None:
        self.plan = plan
        self.observations = observations
        self.callback_ports = callback_ports  # by dispatcher
        self.seed = seed
        self.endpoint_list = EndpointList()
        self.backends: dict[str, StandInBackend] = {}
        self.losses: dict[str, list[Period]] = {}  # by backend
        self.down_counts: Counter[str] = Counter()  # by backend: the faults and jobs that keep it down

    async def open(self) -> None:
        """Starts the backends of the plan and adds them to the endpoint list."""
        for backend_id, zone in self.plan.machine_zones().items():
            await self._add(backend_id, zone)

    async def _add(self, backend_id: str, zone: str) -> None:
        plan = self.plan
        behavior = BackendBehavior(
            mean_seconds=plan.mean_run_ms / MILLISECONDS_PER_SECOND,
            failure_share=plan.failure_share,
            long_share=plan.long_share,
            long_seconds=plan.long_ms / MILLISECONDS_PER_SECOND,
        )
        backend = StandInBackend(
            backend_id,
            behavior,
            observations=self.observations,
            callback_ports=self.callback_ports,
            seed=self.seed,
        )
        self.backends[backend_id] = backend
        self.endpoint_list.add(backend_id, await backend.open(), zone)

    def close(self) -> None:
        """Closes all backends."""
        for backend in self.backends.values():
            backend.close()

    def take_down(self, backend_id: str) -> None:
        """Ends a backend abruptly and removes it from the endpoint list."""
        self.down_counts[backend_id] += 1
        if self.down_counts[backend_id] == 1:
            self.backends[backend_id].abort()
            self.endpoint_list.remove(backend_id)

    async def bring_up(self, backend_id: str) -> None:
        """Starts a backend again unless another fault or job keeps it down."""
        self.down_counts[backend_id] -= 1
        if self.down_counts[backend_id]:
            return
        port = await self.backends[backend_id].open()
        self.endpoint_list.add(backend_id, port, self.plan.machine_zones().get(backend_id, DEFAULT_ZONE))

    async def run_fault(self, fault: FaultSpecification, seconds: float) -> None:
        """Takes down a backend or a zone; after `seconds`, brings it up or starts replacements."""
        zones = self.plan.machine_zones()
        lost = [backend_id for backend_id, zone in zones.items() if fault.target in (backend_id, zone)]
        for backend_id in lost:
            self.losses.setdefault(backend_id, []).append(Period(boot_time_ns()))
            self.take_down(backend_id)
        await asyncio.sleep(seconds)
        for backend_id in lost:
            if fault.kind is FaultKind.BACKEND_LOSS:
                await self.bring_up(backend_id)
                self.losses[backend_id][-1].end = boot_time_ns()
            else:
                await self._add(backend_id + REPLACEMENT_SUFFIX, zones[backend_id])
