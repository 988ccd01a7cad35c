"""Runs a trial: starts its processes, injects its faults, collects the records and checks them."""

import asyncio
import json
import os
import signal
import tempfile
from collections.abc import Callable
from pathlib import Path

import click

from crankfold.fault_injection.backends import BackendPool
from crankfold.fault_injection.configuration import REQUEST_CLASSES, Settings, process_configuration
from crankfold.fault_injection.context import TrialClock, TrialContext
from crankfold.fault_injection.fault_injector import FaultInjector
from crankfold.fault_injection.fault_proxy import FaultProxy, Link
from crankfold.fault_injection.http_client import AdminClient, AdminResponse
from crankfold.fault_injection.invariants import TrialChecker
from crankfold.fault_injection.loopback import HOST, find_free_port
from crankfold.fault_injection.maintenance_driver import MaintenanceDriver
from crankfold.fault_injection.operators import Operators
from crankfold.fault_injection.plan import PlanError, TrialPlan, load_plan
from crankfold.fault_injection.processes import READY_TIMEOUT, ManagedProcess, ProcessFiles
from crankfold.fault_injection.records import (
    DOCUMENTS,
    NANOSECONDS_PER_SECOND,
    DocumentVersion,
    Histories,
    JobLimits,
    Observations,
    TrialRecord,
    Verdict,
    parse_record,
)
from crankfold.fault_injection.stand_ins import LoadGenerator, StandInDiscovery

SETTLE_TIMEOUT = 15.0  # seconds until all processes act on the same documents, after the faults
POLL_INTERVAL = 0.1  # seconds
EXIT_SATISFIED = 0
EXIT_VIOLATED = 1
EXIT_PLAN_ERROR = 2
LinkEnds = tuple[str, str]  # sender and receiver


class TrialHarness:
    """One trial, from the start of its processes to the verdicts.

    Args:
        plan: The processes, load, faults and guarantees.
        seed: The seed of all random choices.
        folder: An empty folder for configurations, logs and records.
        adjust_configuration: May change the configuration of each process before it is written.
    """

    def __init__(
        self,
        plan: TrialPlan,
        seed: int,
        folder: Path,
        adjust_configuration: Callable[[Settings], None] | None = None,
    ) -> None:
        self.plan = plan
        self.folder = folder
        self.adjust_configuration = adjust_configuration
        self.process_names = plan.process_names()
        self.voters = plan.voter_names()
        self.observations = Observations()
        self.client_ports = {name: find_free_port() for name in self.process_names}
        self.admin_ports = {name: find_free_port() for name in self.process_names}
        self.peer_ports = {name: find_free_port() for name in self.voters}
        self.links = _make_links(self.process_names, seed)
        self.proxies: dict[LinkEnds, FaultProxy] = {}  # by member and voter
        self.discoveries: dict[str, StandInDiscovery] = {}  # by process
        self.processes: dict[str, ManagedProcess] = {}
        self.backends = BackendPool(plan, self.observations, self.client_ports, seed)
        self.admin = AdminClient(self.admin_ports)
        self.context = self._make_context(seed)
        self.fault_injector = FaultInjector(
            self.context, links=self.links, proxies=self.proxies, discoveries=self.discoveries
        )
        self.operators = Operators(self.context)
        self.maintenance = MaintenanceDriver(self.context)
        self.tasks: list[asyncio.Task[None]] = []

    def _make_context(self, seed: int) -> TrialContext:
        return TrialContext(
            plan=self.plan,
            seed=seed,
            folder=self.folder,
            clock=TrialClock(),
            admin=self.admin,
            processes=self.processes,
            backends=self.backends,
        )

    async def run(self) -> list[Verdict]:
        """Runs the trial and checks its guarantees.

        Raises:
            PlanError: The processes do not start, or a fault cannot be injected.
        """
        await self.prepare()
        try:
            await self.start()
            await self._run_plan()
            unfinished = {}
            if self.plan.jobs:
                unfinished = await self.maintenance.wait_until_finished(self.plan.settle_seconds)
            final_faults = await self.wait_until_consistent(SETTLE_TIMEOUT)
            histories = await self._collect_histories()
        finally:
            await self.shut_down()
        self._write_records()
        checker = TrialChecker(self._make_record(histories, final_faults, unfinished))
        return [checker.judge(promise) for promise in self.plan.promises]

    async def prepare(self) -> None:
        """Opens all stand-ins and proxies, and writes the configurations of the processes."""
        await self.backends.open()
        for name in self.process_names:
            self.discoveries[name] = StandInDiscovery(self.backends.endpoint_list)
            await self._prepare_process(name, await self.discoveries[name].open())

    async def _prepare_process(self, name: str, discovery_port: int) -> None:
        files = ProcessFiles.in_folder(self.folder, name)
        files.storage.mkdir(parents=True)
        files.handover.mkdir()
        configuration = process_configuration(
            self.plan,
            seed=self.context.seed,
            name=name,
            ports={
                "listen": self.client_ports[name],
                "discovery": discovery_port,
                "admin": self.admin_ports[name],
            },
            voters={voter: f"{HOST}:{await self._voter_port(name, voter)}" for voter in self.voters},
            storage=str(files.storage),
        )
        if self.adjust_configuration:
            self.adjust_configuration(configuration)
        files.config.write_text(json.dumps(configuration))
        self.processes[name] = ManagedProcess(name, files, self.client_ports[name])

    async def _voter_port(self, name: str, voter: str) -> int:
        """Returns the port by which the process reaches the voter: a proxy, or its own port."""
        if voter == name:
            return self.peer_ports[voter]
        proxy = FaultProxy(self.links[name, voter], self.links[voter, name], self.peer_ports[voter])
        self.proxies[name, voter] = proxy
        return await proxy.open()

    async def start(self) -> None:
        """Starts the processes; starts the clock when all of them act on the same documents.

        Raises:
            PlanError: The processes do not act on the same documents within `READY_TIMEOUT`.
        """
        await asyncio.gather(*(process.start() for process in self.processes.values()))
        faults = await self.wait_until_consistent(READY_TIMEOUT)
        if faults:
            raise PlanError(f"the processes do not act on the same documents after their start: {faults}")
        self.context.clock.start()

    async def _run_plan(self) -> None:
        clients = LoadGenerator(
            self.client_ports,
            REQUEST_CLASSES,
            rate=self.plan.load,
            seed=self.context.seed,
            observations=self.observations,
        )
        self.tasks += [asyncio.ensure_future(self.fault_injector.run(fault)) for fault in self.plan.faults]
        self.tasks.append(asyncio.ensure_future(self.operators.run()))
        self.tasks += self.maintenance.start_tasks()
        await clients.run(self.plan.seconds)
        await self.context.clock.sleep_until(self.plan.seconds)
        await asyncio.gather(*self.tasks)

    async def wait_until_consistent(self, seconds: float) -> dict[str, str]:
        """Waits until all processes act on the same versions and none is pending.

        Args:
            seconds: The timeout.

        Returns:
            The reason by process, for processes that do not act on these versions; empty on success.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while True:
            views = {name: await self.admin.call(name, "fleet") for name in self.process_names}
            faults = _inconsistencies(views)
            if not faults or loop.time() > end:
                return faults
            await asyncio.sleep(POLL_INTERVAL)

    async def _collect_histories(self) -> Histories:
        histories: Histories = {}
        for name in self.process_names:
            for document in DOCUMENTS:
                response = await self.admin.call(name, f"agreed/{document}")
                if response.ok:
                    versions = [DocumentVersion.from_raw(raw) for raw in response.content["versions"]]
                    histories.setdefault(name, {})[document] = {
                        version.number: version for version in versions
                    }
        return histories

    async def shut_down(self) -> None:
        """Ends all processes, stand-ins and proxies."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            await process.shut_down()
        for proxy in self.proxies.values():
            proxy.close()
        self.backends.close()
        for discovery in self.discoveries.values():
            discovery.close()

    def _write_records(self) -> None:
        (self.folder / "faults.txt").write_text("\n".join(self.fault_injector.log) + "\n")
        runs = "".join(f"{run.format_line()}\n" for run in self.maintenance.runs)
        (self.folder / "runs.txt").write_text(runs)
        for process in self.processes.values():
            for key, records in process.raw_records.items():
                lines = "".join(json.dumps(record) + "\n" for record in records)
                (self.folder / f"{key}.records").write_text(lines)

    def _make_record(
        self, histories: Histories, final_faults: dict[str, str], unfinished_jobs: dict[str, str]
    ) -> TrialRecord:
        return TrialRecord(
            staleness_bound=int(self.plan.staleness_bound * NANOSECONDS_PER_SECOND),
            process_records={
                key: [parse_record(raw) for raw in records]
                for process in self.processes.values()
                for key, records in process.raw_records.items()
            },
            observations=self.observations,
            publishes=self.operators.publishes,
            histories=histories,
            downtimes={name: process.downtimes for name, process in self.processes.items()},
            final_faults=final_faults,
            zones=self.plan.machine_zones(),
            jobs={job.name: JobLimits.from_specification(job.specification) for job in self.plan.jobs},
            runs=self.maintenance.runs,
            losses=self.backends.losses,
            unfinished_jobs=unfinished_jobs,
        )


def _make_links(names: list[str], seed: int) -> dict[LinkEnds, Link]:
    return {
        (sender, receiver): Link(sender, receiver, seed)
        for sender in names
        for receiver in names
        if sender != receiver
    }


def _inconsistencies(views: dict[str, AdminResponse]) -> dict[str, str]:
    """Returns the reason by process, for processes that do not act on the newest versions."""

    def canonical(view: AdminResponse) -> str:
        return json.dumps(view.content.get("versions"), sort_keys=True)

    newest = max((canonical(view) for view in views.values()), key=len, default="")
    faults = {}
    for name, view in views.items():
        versions = view.content.get("versions", {})
        if not view.ok or not view.content.get("acts"):
            faults[name] = view.content.get("why-not") or "its admin server does not respond"
        elif any(version["counts"] != version["newest"] for version in versions.values()):
            faults[name] = f"activation pending: {versions}"
        elif canonical(view) != newest:
            faults[name] = f"acts on {versions}"
    return faults


def run_trial(plan: TrialPlan, seed: int, folder: Path) -> list[Verdict]:
    """Runs a plan in an empty folder and checks its guarantees.

    Raises:
        PlanError: The processes do not start, or a fault cannot be injected.
    """

    async def run() -> list[Verdict]:
        return await TrialHarness(plan, seed, folder).run()

    return asyncio.run(run())


def run_command(path: Path, seed: int, keep: Path | None) -> int:
    """Runs the plan of a file and prints the verdicts.

    Args:
        path: The file of the plan.
        seed: The seed of all random choices; 0 for the seed of the plan.
        keep: An empty folder in which records and logs are kept; None to delete them.

    Returns:
        The exit code of `crankfold trial`.
    """
    try:
        plan = load_plan(path)
        seed = seed or plan.seed
        with tempfile.TemporaryDirectory(prefix="crankfold-trial-") as scratch:
            folder = keep or Path(scratch)
            _require_empty(folder)
            verdicts = run_trial(plan, seed, folder)
    except (PlanError, OSError) as error:
        click.echo(f"crankfold: {error}", err=True)
        return EXIT_PLAN_ERROR
    size = f"{plan.voters} voters, {plan.followers} followers, {plan.seconds} s"
    click.echo(f"{plan.name}, seed {seed}: {size}")
    for verdict in verdicts:
        outcome = "held  " if verdict.satisfied else "BROKEN"
        click.echo(f"{outcome}  {verdict.promise:16} {verdict.detail}".rstrip())
    return EXIT_SATISFIED if all(verdict.satisfied for verdict in verdicts) else EXIT_VIOLATED


def _require_empty(folder: Path) -> None:
    """Creates the folder if it is missing.

    Raises:
        PlanError: The folder is not empty.
    """
    folder.mkdir(parents=True, exist_ok=True)
    if os.listdir(folder):
        raise PlanError(f"{folder}: not empty")
