"""A member on its sockets, its disk and its clock."""

import asyncio
import secrets
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any, Literal

import msgspec
from msgspec import Struct

from crankfold.cluster.framing import PROTOCOL_VERSION, Hello
from crankfold.cluster.raft_storage import RaftStorage, StorageError
from crankfold.cluster.transport import Transport
from crankfold.consensus.conservative_merge import DOCUMENTS
from crankfold.consensus.messages import MaintenanceReport, Message, ProposalResponse, Timing
from crankfold.consensus.raft import Ready
from crankfold.consensus.voter import ALIVE, LEASE_EXPIRED, SUSPECTED, Follower, Voter
from crankfold.network.metrics import Metrics, log_line

TICKS_PER_SECOND = 10_000
PROPOSAL_RETRY_INTERVAL = 0.5  # seconds, for an outcome that may have been lost
MIN_STALENESS_BOUND = 0.5
TAKEOVER_RETRY_INTERVAL = 0.1  # seconds


class ClusterConfig(Struct, rename="kebab", forbid_unknown_fields=True):
    """The `peers` part of the configuration."""

    name: str
    voters: dict[str, str]
    address: str = ""
    zone: str = ""  # where it stands, for works on dispatchers
    folder: str = ""
    stated_time: float = 2.0
    when_cut_off: Literal["shed", "go-on"] = "shed"
    succeeds: bool = False  # set by the process itself where it replaces another
    record: str = ""  # a file to which all that is done is written, for `crankfold trial`

    def config_error(self) -> str:
        if not self.name or len(self.name) > 100:
            return f"peers.name: found {self.name!r}; 1 to 100 characters"
        if self.name in self.voters and not self.folder:
            return "peers.folder: missing; a voter needs one for what must last"
        if self.name in self.voters and not (self.address or self.voters[self.name]):
            return "peers.address: missing; a voter has to be heard"
        if len(self.voters) not in (3, 5, 7):
            return f"peers.voters: found {len(self.voters)}; 3, 5 or 7"
        if self.stated_time < MIN_STALENESS_BOUND:
            return (
                f"peers.stated-time: found {self.stated_time}; at least {MIN_STALENESS_BOUND} s, as "
                f"elections and leases have to fit in"
            )
        if self.stated_time > 60:
            return f"peers.stated-time: found {self.stated_time}; 60 s at most"
        return ""


def boottime_ticks() -> int:
    """Tenths of a millisecond. Goes on while the machine sleeps, as leases do."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 100_000


def parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


class ClusterMember:
    """One member: its history, its disk, its links, and the time."""

    def __init__(self, peer: "ClusterNode", name: str, store: RaftStorage | None) -> None:
        self.node, self.config, self.metrics, self.storage = peer, peer.config, peer.metrics, store
        self.loop = asyncio.get_running_loop()
        self.timing = Timing(int(self.config.stated_time * TICKS_PER_SECOND))
        self.disabled_reason = ""  # why this voter takes no part any more
        now, seed, incarnation = boottime_ticks(), secrets.randbits(62), secrets.randbits(48)
        voters = self.config.voters
        self.consensus: Voter | Follower
        if store:
            if store.startup_notice:
                log_line(f"crankfold: {store.startup_notice}")
            self.consensus = Voter(
                name,
                store.persistent_state,
                dict(voters),
                self.timing,
                now,
                seed,
                incarnation,
                store.folder_id,
                peer.validate_document,
                peer.initial_settings,
            )
        else:
            self.consensus = Follower(name, list(voters), self.timing, now, seed, incarnation)
        self.consensus.quota_usage, self.consensus.quiesced_index = peer.quota_usage, peer.quiesced_index
        self.consensus.maintenance_report = lambda: peer.maintenance_report()
        if isinstance(self.consensus, Voter):
            self.consensus.maintenance_steps = lambda now: (
                peer.maintenance_steps() if peer.cluster_member is self else []
            )
        hello = Hello(PROTOCOL_VERSION, name, incarnation, store.folder_id if store else "")
        others = {voter: parse_address(at) for voter, at in voters.items() if voter != name}
        self.transport = Transport(hello, others, self.metrics, self._admission_error, self._handle_message)
        self.syncing = self.closed = False
        self.tick_timer: asyncio.TimerHandle | None = None

    async def open(self) -> None:
        if self.storage:
            await self.transport.open(
                *parse_address(self.config.address or self.config.voters[self.config.name])
            )
        self._tick()

    def has_lease(self) -> bool:
        return not self.disabled_reason and self.consensus.has_lease(boottime_ticks())

    def inactive_reason(self) -> str:
        """Why nothing is acted on; empty if it is."""
        if self.disabled_reason:
            return self.disabled_reason
        if not self.consensus.has_lease(boottime_ticks()):
            return self.consensus.rejection_reason or (
                "cut off from the majority"
                if self.consensus.last_applied
                else "nothing heard of the fleet yet"
            )
        return "" if self.consensus.effective_content("settings") else "no settings count yet"

    def status(self) -> dict[str, Any]:
        """The fleet as this member sees it."""
        now, member = boottime_ticks(), self.consensus
        told: dict[str, Any] = {
            "name": member.name,
            "acts": self.has_lease(),
            "why-not": self.inactive_reason(),
            "applied": member.last_applied,
            "lease-ms": max(member.lease_expires_at - now, 0) // 10,
            "versions": {
                doc: {"counts": counts, "newest": newest}
                for doc, (counts, newest) in member.documents.version_numbers().items()
            },
        }
        if isinstance(member, Follower):
            return {**told, "voter": member.voter, "leader": ""}
        raft = member.raft
        told |= {"leader": raft.leader, "term": raft.term, "voters": dict(raft.voters)}
        if member.is_leader():
            told["leases-ms"] = {
                name: max(until - now, 0) // 10 for name, until in member.granted_until.items()
            }
            told["lag"] = {
                name: raft.last_index() - raft.match_index.get(name, 0)
                for name in raft.voters
                if name != member.name
            }
        told["members"] = [
            {
                "name": name,
                "state": member.lease_holder_state(now, ward),
                "incarnation": ward.incarnation,
                "for-s": (now - ward.since) // TICKS_PER_SECOND,
                "heard-ms-ago": (now - ward.heard) // 10,
                "lag": max(member.last_applied - ward.have, 0),
                "at": member.name,
            }
            for name, ward in sorted(member.lease_holders.items())
        ]
        told["members"] += [
            {
                "name": one.name,
                "state": one.state,
                "incarnation": one.incarnation,
                "for-s": one.held_for // TICKS_PER_SECOND,
                "lag": max(member.last_applied - one.last_applied, 0),
                "at": voter,
            }
            for voter, wards in sorted(member.remote_lease_holders.items())
            for one in wards
            if one.state in (ALIVE, SUSPECTED, LEASE_EXPIRED) and one.name != voter
        ]
        return told

    # --- events ---

    def _admission_error(self, hello: Hello) -> str:
        if not isinstance(self.consensus, Voter):
            return "no voter"
        return self.consensus.admission_error(hello.name, hello.folder_id) if hello.folder_id else ""

    def _handle_message(self, sender: str, told: Message) -> None:
        if self.disabled_reason or self.closed:
            return
        try:
            self.consensus.receive(boottime_ticks(), sender, told)
        except Exception as wrong:
            self.metrics.record_exception(wrong)
            if __debug__:
                raise
        self.process_output()

    def _tick(self) -> None:
        if self.closed or self.disabled_reason:
            return
        self.consensus.tick(boottime_ticks())
        self.process_output()
        wait = max(self.consensus.next_deadline() - boottime_ticks(), 5)
        self.tick_timer = self.loop.call_later(wait / TICKS_PER_SECOND, self._tick)

    def process_output(self) -> None:
        """Carries out what an event brought: first of all what is acted on, then the disk, then the links."""
        member = self.consensus
        if member.changed_documents:
            changed, member.changed_documents = member.changed_documents, set()
            self.node.documents_changed(self, changed)
        self.node.progress.set()
        for told in member.proposal_responses:
            self.node.proposal_answered(told)
        member.proposal_responses.clear()
        if isinstance(member, Voter):
            for name, at in member.raft.voters.items():
                if name not in self.transport.addresses and name != member.name and at:
                    self.transport.addresses[name] = parse_address(at)  # added since this process started
        if not self.disabled_reason:
            self._send_messages(member.take_immediate_messages())
        if not self.syncing and not self.disabled_reason:
            batch = member.take_ready(boottime_ticks())
            if batch.must_sync() and self.storage:
                self.syncing = True
                keeping = self.loop.run_in_executor(None, self.storage.save, batch)
                keeping.add_done_callback(lambda done: self._sync_finished(batch, done))
            else:
                self._send_messages(batch.send)

    def _sync_finished(self, batch: Ready, done: "asyncio.Future[None]") -> None:
        self.syncing = False
        if self.closed:
            return
        wrong = done.exception()
        if wrong:
            # Nobody knows now what the disk holds: nothing more is said or acted on by this process.
            self.disabled_reason = f"the voter's folder failed: {wrong}"
            self.metrics.increment("peers-disk-failed")
            log_line(f"crankfold: {self.disabled_reason}; this voter takes no part until it is started anew")
            return
        self._send_messages(batch.send)
        self.consensus.advance(boottime_ticks(), batch)
        self.process_output()

    def _send_messages(self, messages: list[tuple[str, Message]]) -> None:
        for to, told in messages:
            self.transport.send(to, told)

    async def close(self) -> None:
        self.closed = True
        if self.tick_timer:
            self.tick_timer.cancel()
        if isinstance(self.consensus, Follower):
            self.consensus.leave(boottime_ticks())
            self._send_messages(self.consensus.take_immediate_messages())
            await asyncio.sleep(0)
        await self.transport.close()
        if self.storage:
            while self.syncing:
                await asyncio.sleep(0.01)
            self.storage.close()


class ClusterNode:
    """What the dispatcher has to do with: the seat at which it acts, and the one that it is to take.

    `changed` is called with the documents that read otherwise now; `holds` is to be asked at each act. A
    process that replaces another is a follower under a name of its own while that one is there; a voter's
    successor takes its seat, folder and name once these are free, and acts by it when it knows as much.
    """

    def __init__(
        self,
        given: ClusterConfig,
        tally: Metrics,
        check: Callable[[str, dict[str, Any]], str],
        beginning: dict[str, Any],
        changed: Callable[[set[str]], None],
        carry: Callable[[], dict[str, int]],
        settled_at: Callable[[int], int],
    ) -> None:
        self.config, self.metrics, self.validate_document, self.initial_settings = (
            given,
            tally,
            check,
            beginning,
        )
        self.on_documents_changed, self.quota_usage, self.quiesced_index = changed, carry, settled_at
        # With machines out for work, what this dispatcher has to say of them, and decides if it leads.
        self.maintenance_report: Callable[[], MaintenanceReport | None] = lambda: None
        self.maintenance_steps: Callable[[], list[dict[str, Any]]] = list
        self.loop = asyncio.get_running_loop()
        self.pending_proposals: dict[str, asyncio.Future[ProposalResponse]] = {}
        self.progress = asyncio.Event()
        self.takeover_task: asyncio.Task[None] | None = None
        votes = given.name in given.voters
        self.cluster_member = (
            ClusterMember(self, given.name, self._open_storage() if votes else None)
            if not given.succeeds
            else ClusterMember(self, f"{given.name}+{secrets.token_hex(3)}", None)
        )

    def _open_storage(self) -> RaftStorage:
        return RaftStorage(Path(self.config.folder), self.config.name)

    async def open(self) -> None:
        await self.cluster_member.open()
        if self.config.succeeds and self.config.name in self.config.voters:
            self.takeover_task = self.loop.create_task(self._take_over())

    async def _take_over(self) -> None:
        coming: ClusterMember | None = None
        while coming is None:
            await asyncio.sleep(TAKEOVER_RETRY_INTERVAL)
            try:
                store = self._open_storage()
            except StorageError as wrong:
                if "another process" not in str(wrong):
                    log_line(f"crankfold: {wrong}; goes on without a vote")
                    return
                continue
            coming = ClusterMember(self, self.config.name, store)
            try:
                await coming.open()
            except OSError:  # the address is not free yet
                await coming.close()
                coming = None
        while (
            not coming.has_lease()
            or coming.consensus.last_applied < self.cluster_member.consensus.last_applied
        ):
            await asyncio.sleep(TAKEOVER_RETRY_INTERVAL)
        old, self.cluster_member = self.cluster_member, coming
        self.on_documents_changed(set(DOCUMENTS))
        await old.close()
        log_line(f"crankfold: {self.config.name} votes again")

    @property
    def consensus(self) -> Voter | Follower:
        return self.cluster_member.consensus

    def has_lease(self) -> bool:
        return self.cluster_member.has_lease()

    def inactive_reason(self) -> str:
        return self.cluster_member.inactive_reason()

    def status(self) -> dict[str, Any]:
        return self.cluster_member.status()

    def documents_changed(self, seat: ClusterMember, docs: set[str]) -> None:
        if seat is getattr(self, "cluster_member", None):
            self.on_documents_changed(docs)

    def proposal_answered(self, told: ProposalResponse) -> None:
        future = self.pending_proposals.get(told.proposal_id)
        if future and not future.done() and (told.accepted or told.reason != "there is no leader"):
            future.set_result(told)

    async def propose(self, kind: str, data: dict[str, Any], call: str, within: float) -> ProposalResponse:
        """Asks until there is an outcome; the same call has one effect, however often it is asked for."""
        future = self.pending_proposals.setdefault(call, self.loop.create_future())
        try:
            async with asyncio.timeout(within):
                while not future.done():
                    self.cluster_member.consensus.propose(boottime_ticks(), call, kind, data)
                    self.cluster_member.process_output()
                    await asyncio.wait([future], timeout=PROPOSAL_RETRY_INTERVAL)
                return future.result()
        except TimeoutError:
            return ProposalResponse(call, False, "no outcome yet; ask again with the same call", 0, 0)
        finally:
            if self.pending_proposals.get(call) is future:
                del self.pending_proposals[call]

    async def wait_until_active(self, doc: str, number: int, within: float) -> int:
        """Up to where all have to have heard for all to act on that version alone; 0 if it does not count."""
        return (
            await self._wait_until(
                lambda: self.consensus.documents.document(doc).active_number >= number, within
            )
            and self.consensus.last_applied
        )

    async def wait_until_known(self, doc: str, least: int, within: float) -> bool:
        return await self._wait_until(
            lambda: self.consensus.documents.document(doc).latest_number() >= least, within
        )

    async def wait_until_cluster_applied(self, index: int, within: float) -> bool:
        """Whether by then all that may act have heard of the history up to there."""
        return await self._wait_until(lambda: self.consensus.cluster_applied_index >= index, within)

    async def _wait_until(self, holds: Callable[[], bool], within: float) -> bool:
        try:
            async with asyncio.timeout(max(within, 0.01)):
                while not holds():
                    self.progress.clear()
                    await self.progress.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        if self.takeover_task:
            self.takeover_task.cancel()
        await self.cluster_member.close()


def read_cluster_config(given: object) -> ClusterConfig:
    """The `peers` part of a configuration; a ValueError says what is wrong."""
    try:
        peers = msgspec.convert(given, ClusterConfig)
        fault = peers.config_error()
        for name, at in [*peers.voters.items(), ("address", peers.address)]:
            if at:
                try:
                    parse_address(at)
                except ValueError:
                    fault = fault or f"peers: {name}: found {at!r}; HOST:PORT"
    except msgspec.ValidationError as wrong:
        raise ValueError(f"peers: {wrong}") from None
    if fault:
        raise ValueError(fault)
    return peers


__all__ = ["ClusterNode", "ClusterConfig", "StorageError", "boottime_ticks", "read_cluster_config"]
