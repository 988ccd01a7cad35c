"""Injects the faults of a plan at their times."""

import asyncio

from msgspec import structs

from crankfold.fault_injection.context import TrialContext
from crankfold.fault_injection.fault_proxy import FaultProxy, Link
from crankfold.fault_injection.http_client import boot_time_ns
from crankfold.fault_injection.plan import (
    ANY,
    BACKEND_FAULTS,
    DISCOVERY_FAULTS,
    LEADER,
    PROCESS_FAULTS,
    FaultKind,
    FaultSpecification,
    PlanError,
)
from crankfold.fault_injection.processes import ManagedProcess
from crankfold.fault_injection.records import is_step_record
from crankfold.fault_injection.stand_ins import StandInDiscovery

RESET_INTERVAL = 0.25  # seconds between the resets of a link's connections
STEP_POLL_INTERVAL = 0.005  # seconds
MAX_RECENT_RECORDS = 50  # records of each process that a poll searches for a step
MILLISECONDS_PER_SECOND = 1000


class FaultInjector:
    """Injects faults into links, processes, discovery and backends."""

    def __init__(
        self,
        context: TrialContext,
        *,
        links: dict[tuple[str, str], Link],
        proxies: dict[tuple[str, str], FaultProxy],
        discoveries: dict[str, StandInDiscovery],
    ) -> None:
        self.context = context
        self.links = links  # by sender and receiver
        self.proxies = proxies  # by member and voter
        self.discoveries = discoveries  # by process
        self.log: list[str] = []  # one line for each injected fault

    async def run(self, fault: FaultSpecification) -> None:
        """Waits until a fault begins, then injects it until its end.

        Raises:
            PlanError: The maintenance step that starts the fault does not occur during the trial.
        """
        clock = self.context.clock
        await clock.sleep_until(fault.begin)
        if fault.on_step:
            fault = await self._wait_for_step(fault)
        target = await self._resolve(fault.target)
        receiver = await self._resolve(fault.receiver)
        self.log.append(f"{clock.elapsed():.2f} s: {fault.kind} at {target} to {receiver}, until {fault.end}")
        seconds = max(fault.end - clock.elapsed(), 0)
        if fault.kind in BACKEND_FAULTS:
            await self.context.backends.run_fault(fault, seconds)
        elif fault.kind in DISCOVERY_FAULTS:
            await self._disturb_discovery(fault, target, seconds)
        elif fault.kind in PROCESS_FAULTS:
            process = self.context.processes[target]
            async with process.restart_lock:
                await self._disturb_process(process, fault, seconds)
        else:
            await self._disturb_links(fault, self._affected_links(fault, target, receiver), seconds)

    async def _resolve(self, name: str) -> str:
        if name != LEADER:
            return name
        return await self.context.admin.find_leader(self.context.plan.voter_names())

    async def _wait_for_step(self, fault: FaultSpecification) -> FaultSpecification:
        """Waits for a record of the step `on_step`; returns the fault shifted to begin now."""
        clock = self.context.clock
        begin = boot_time_ns()
        while not self._step_recorded(fault.on_step, begin):
            if clock.elapsed() > self.context.plan.seconds:
                raise PlanError(f"maintenance step {fault.on_step} did not occur after {fault.begin} s")
            await asyncio.sleep(STEP_POLL_INTERVAL)
        now = clock.elapsed()
        return structs.replace(fault, begin=now, end=now + fault.end - fault.begin)

    def _step_recorded(self, step: str, since: int) -> bool:
        return any(
            is_step_record(record, step, since)
            for process in self.context.processes.values()
            for records in process.raw_records.values()
            for record in records[-MAX_RECENT_RECORDS:]
        )

    async def _disturb_process(
        self, process: ManagedProcess, fault: FaultSpecification, seconds: float
    ) -> None:
        if fault.kind is FaultKind.KILL:
            await process.kill_and_restart(seconds, keep_folder=fault.keep_folder)
        elif fault.kind is FaultKind.PAUSE:
            await process.pause(seconds)
        elif fault.kind is FaultKind.DRAIN:
            await process.drain_and_restart(seconds)
        elif fault.kind is FaultKind.FULL_DISK:
            await process.fill_disk(seconds)
        else:
            await process.replace(self.context.admin.ports)

    async def _disturb_discovery(self, fault: FaultSpecification, target: str, seconds: float) -> None:
        affected = [server for name, server in self.discoveries.items() if target in (ANY, name)]
        for server in affected:
            if fault.kind is FaultKind.LATE_LIST:
                server.delay = fault.delay_ms / MILLISECONDS_PER_SECOND
                server.silent = False
            else:
                server.delay = 0.0
                server.silent = True
                server.abort()
                await server.open()  # connections are accepted, but requests get no response
        await asyncio.sleep(seconds)
        for server in affected:
            server.delay = 0.0
            server.silent = False

    def _affected_links(self, fault: FaultSpecification, target: str, receiver: str) -> list[Link]:
        def matches(sender: str, to: str) -> bool:
            return target in (ANY, sender) and receiver in (ANY, to)

        return [
            link
            for (sender, to), link in self.links.items()
            if matches(sender, to) or (fault.both_ways and matches(to, sender))
        ]

    async def _disturb_links(self, fault: FaultSpecification, links: list[Link], seconds: float) -> None:
        if fault.kind is FaultKind.RESET:
            await self._reset_links(fault, links)
            return
        magnitudes = {
            FaultKind.LOSS: fault.share,
            FaultKind.CUT: 1.0,
            FaultKind.DUPLICATION: fault.share,
            FaultKind.DELAY: fault.delay_ms / MILLISECONDS_PER_SECOND,
            FaultKind.SLOW: fault.bytes_per_second,
        }
        for link in links:
            _set_link_fault(link, fault.kind, magnitudes[fault.kind])
        await asyncio.sleep(seconds)
        for link in links:
            _set_link_fault(link, fault.kind, 0.0)

    async def _reset_links(self, fault: FaultSpecification, links: list[Link]) -> None:
        while self.context.clock.elapsed() < fault.end:
            for proxy in self.proxies.values():
                if proxy.outbound in links or proxy.inbound in links:
                    proxy.reset_connections()
            await asyncio.sleep(RESET_INTERVAL)


def _set_link_fault(link: Link, kind: FaultKind, magnitude: float) -> None:
    if kind in (FaultKind.LOSS, FaultKind.CUT):
        link.loss_share = magnitude
    elif kind is FaultKind.DUPLICATION:
        link.duplicate_share = magnitude
    elif kind is FaultKind.DELAY:
        link.max_delay = magnitude
    else:
        link.bytes_per_second = magnitude
