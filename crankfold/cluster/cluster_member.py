"""A cluster member, which connects its consensus state machine to sockets, storage and the clock."""

import asyncio
import logging
import secrets
from pathlib import Path
from typing import Protocol

from crankfold.cluster.clock import boottime_ticks
from crankfold.cluster.config import ClusterConfig, parse_address
from crankfold.cluster.framing import PROTOCOL_VERSION, Hello
from crankfold.cluster.raft_storage import RaftStorage
from crankfold.cluster.status import StatusDocument, cluster_status
from crankfold.cluster.transport import Transport
from crankfold.consensus.follower import Follower
from crankfold.consensus.member import VoterHost
from crankfold.consensus.messages import DocumentContent, EntryData, Message, ProposalResponse
from crankfold.consensus.raft_state import OutgoingMessage, Ready
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter import Voter
from crankfold.document_names import SETTINGS
from crankfold.maintenance.transitions import TransitionDocument
from crankfold.network.metrics import Metrics
from crankfold.time_units import TICKS_PER_SECOND

SEED_BITS = 62
INCARNATION_BITS = 48
MIN_TICK_INTERVAL_TICKS = 5

logger = logging.getLogger(__name__)


class MemberOwner(Protocol):
    """The node that a member belongs to."""

    def documents_changed(self, member: "ClusterMember", names: set[str]) -> None:
        """Handles a change of the effective contents of the named documents at the member."""

    def applied(self) -> None:
        """Handles an advance of the applied index."""

    def storage_failed(self, member: "ClusterMember") -> None:
        """Replaces a member that is disabled because its folder failed."""

    def proposal_answered(self, response: ProposalResponse) -> None:
        """Handles the response to a proposal of this process."""

    def propose_transitions(self, member: "ClusterMember", now: int) -> list[TransitionDocument]:
        """Returns the transitions of machines to propose at `now`, in their stored form."""


class ClusterMember:
    """A voter or a follower of the cluster.

    Args:
        name: The name of the member.
        storage: The storage of a voter; None for a follower.
        config: The settings of this process as a member.
        metrics: Counts messages and failures.
        owner: The node of the member.
        host: The dispatcher that acts on the documents.
        initial_settings: Settings that the first leader publishes if there are none.

    Attributes:
        consensus: The state machine.
        storage: The storage of a voter; None for a follower.
        disabled_reason: Why a voter no longer takes part in consensus; empty while it does.
    """

    def __init__(
        self,
        name: str,
        storage: RaftStorage | None,
        *,
        config: ClusterConfig,
        metrics: Metrics,
        owner: MemberOwner,
        host: VoterHost,
        initial_settings: DocumentContent,
    ) -> None:
        """Creates a voter with `storage`, or a follower without; `open` starts it."""
        self.disabled_reason = ""
        self.storage = storage
        self._config = config
        self._metrics = metrics
        self._owner = owner
        self._loop = asyncio.get_running_loop()
        self._timing = Timing(int(config.staleness_bound * TICKS_PER_SECOND))
        incarnation = secrets.randbits(INCARNATION_BITS)
        self.consensus: Voter | Follower
        if storage:
            self.consensus = self._make_voter(name, storage, incarnation, host, initial_settings)
        else:
            self.consensus = self._make_follower(name, incarnation, host)
        self._transport = self._make_transport(name, incarnation)
        self._saving: asyncio.Future[None] | None = None
        self._closed = False
        self._tick_timer: asyncio.TimerHandle | None = None

    def _make_transport(self, name: str, incarnation: int) -> Transport:
        folder_id = self.storage.folder_id if self.storage else ""
        hello = Hello(PROTOCOL_VERSION, name, incarnation, folder_id)
        addresses = {
            voter: parse_address(address) for voter, address in self._config.voters.items() if voter != name
        }
        return Transport(hello, addresses, metrics=self._metrics, handler=self)

    def _make_voter(
        self,
        name: str,
        storage: RaftStorage,
        incarnation: int,
        host: VoterHost,
        initial_settings: DocumentContent,
    ) -> Voter:
        if storage.startup_notice:
            logger.info("%s", storage.startup_notice)
        return Voter(
            name,
            storage.persistent_state,
            dict(self._config.voters),
            timing=self._timing,
            now=boottime_ticks(),
            seed=secrets.randbits(SEED_BITS),
            incarnation=incarnation,
            folder_id=storage.folder_id,
            host=host,
            coordinator=self,
            initial_settings=initial_settings,
        )

    def _make_follower(self, name: str, incarnation: int, host: VoterHost) -> Follower:
        return Follower(
            name,
            list(self._config.voters),
            timing=self._timing,
            now=boottime_ticks(),
            seed=secrets.randbits(SEED_BITS),
            incarnation=incarnation,
            host=host,
        )

    async def open(self) -> None:
        """Starts the member; a voter listens.

        Raises:
            OSError: The address cannot be bound.
        """
        if self.storage:
            self._transport.open(*parse_address(self._config.listen_address))
        self._tick()

    def has_lease(self) -> bool:
        """Returns whether the member may act on its documents now."""
        return not self.disabled_reason and self.consensus.has_lease(boottime_ticks())

    def inactive_reason(self) -> str:
        """Returns the reason why the member does not act on its documents; empty if it does."""
        if self.disabled_reason:
            return self.disabled_reason
        if not self.consensus.has_lease(boottime_ticks()):
            never_connected = "nothing heard of the fleet yet"
            no_lease = "cut off from the majority" if self.consensus.last_applied else never_connected
            return self.consensus.rejection_reason or no_lease
        return "" if self.consensus.effective_content(SETTINGS) else "no settings count yet"

    def status(self) -> StatusDocument:
        """Returns the state of the cluster at this member in the form of the admin API."""
        return cluster_status(
            self.consensus,
            boottime_ticks(),
            acts=self.has_lease(),
            inactive_reason=self.inactive_reason(),
        )

    def propose(self, proposal_id: str, kind: str, data: EntryData) -> None:
        """Proposes an entry; its outcome goes to `MemberOwner.proposal_answered`.

        Args:
            proposal_id: The id of the proposal; proposals with the same id take effect once.
            kind: The kind of the entry.
            data: The fields of the entry, with the keys and the order in which they are stored.
        """
        self.consensus.propose(boottime_ticks(), proposal_id, kind, data)
        self._process_output()

    def admit(self, hello: Hello) -> str:
        """Admits the sender of a hello; returns the reason if it is not admitted, else an empty string.

        Records the storage folder of a voter that is admitted for the first time.
        """
        if not isinstance(self.consensus, Voter):
            return "no voter"
        return self.consensus.admit(hello.name, hello.folder_id) if hello.folder_id else ""

    def propose_transitions(self, now: int) -> list[TransitionDocument]:
        """Returns the transitions of machines to propose at `now`, in their stored form."""
        return self._owner.propose_transitions(self, now)

    def handle_message(self, sender: str, message: Message) -> None:
        """Handles a message from another member."""
        if self.disabled_reason or self._closed:
            return
        try:
            self.consensus.receive(boottime_ticks(), sender, message)
        except Exception as error:
            self._metrics.record_exception(error)
            if __debug__:  # with -O, a failure in handling a message does not end the connection
                raise
        self._process_output()

    def _tick(self) -> None:
        if self._closed or self.disabled_reason:
            return
        self.consensus.tick(boottime_ticks())
        self._process_output()
        delay_ticks = max(self.consensus.next_deadline() - boottime_ticks(), MIN_TICK_INTERVAL_TICKS)
        self._tick_timer = self._loop.call_later(delay_ticks / TICKS_PER_SECOND, self._tick)

    def _process_output(self) -> None:
        """Handles the output of the state machine: notifications, then immediate messages, then storage."""
        consensus = self.consensus
        if consensus.changed_documents:
            changed = consensus.changed_documents
            consensus.changed_documents = set()
            self._owner.documents_changed(self, changed)
        self._owner.applied()
        for response in consensus.proposal_responses:
            self._owner.proposal_answered(response)
        consensus.proposal_responses.clear()
        if isinstance(consensus, Voter):
            self._learn_addresses(consensus)
        if self.disabled_reason:
            return
        self._send(consensus.take_immediate_messages())
        if isinstance(consensus, Voter) and not self._saving:
            self._store_and_send(consensus, consensus.take_ready(boottime_ticks()))

    def _learn_addresses(self, voter: Voter) -> None:
        """Adds the addresses of voters that joined after the start of this process."""
        for name, address in voter.raft.voters.items():
            if name not in self._transport.addresses and name != voter.name and address:
                self._transport.addresses[name] = parse_address(address)

    def _store_and_send(self, voter: Voter, ready: Ready) -> None:
        if ready.must_sync() and self.storage:
            self._saving = self._loop.run_in_executor(None, self.storage.save, ready)
            self._saving.add_done_callback(lambda saving: self._save_finished(voter, ready, saving))
        else:
            self._send(ready.messages)

    def _save_finished(self, voter: Voter, ready: Ready, saving: "asyncio.Future[None]") -> None:
        self._saving = None
        if self._closed:
            return
        error = saving.exception()
        if error:
            # The data may be stored in part, so this voter sends no more messages and does not act.
            self.disabled_reason = f"the voter's folder failed: {error}"
            self._metrics.increment("cluster-storage-failures")
            logger.error(
                "%s; this voter is disabled until its folder can be used again", self.disabled_reason
            )
            self._owner.storage_failed(self)
            return
        self._send(ready.messages)
        voter.advance(boottime_ticks(), ready)
        self._process_output()

    def _send(self, messages: list[OutgoingMessage]) -> None:
        for receiver, message in messages:
            self._transport.send(receiver, message)

    async def close(self) -> None:
        """Closes the connections and the storage; a follower releases its lease first."""
        self._closed = True
        if self._tick_timer:
            self._tick_timer.cancel()
        if isinstance(self.consensus, Follower):
            self.consensus.leave(boottime_ticks())
            self._send(self.consensus.take_immediate_messages())
            await asyncio.sleep(0)
        await self._transport.close()
        if self.storage:
            if self._saving:
                await asyncio.wait([self._saving])
            self.storage.close()


def open_storage(config: ClusterConfig) -> RaftStorage:
    """Opens the storage of the configured voter.

    Raises:
        FolderInUseError: Another process uses the folder.
        StorageUnavailableError: A system call on the folder failed.
        StorageError: The folder is damaged, incomplete or belongs to another voter.
    """
    return RaftStorage(Path(config.storage_folder), config.name)
