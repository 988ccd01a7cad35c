"""The cluster node of a dispatcher: its current member, and the switch between follower and voter."""

import asyncio
import logging
import secrets
from collections.abc import Callable
from typing import Protocol

from crankfold.cluster.cluster_member import ClusterMember, open_storage
from crankfold.cluster.config import ClusterConfig
from crankfold.cluster.raft_storage import (
    FolderInUseError,
    RaftStorage,
    StorageError,
    StorageUnavailableError,
)
from crankfold.cluster.status import StatusDocument
from crankfold.consensus.follower import Follower
from crankfold.consensus.member import VoterHost
from crankfold.consensus.messages import DocumentContent, EntryData, ProposalResponse
from crankfold.consensus.proposals import NO_LEADER, rejected
from crankfold.consensus.voter import Voter
from crankfold.document_names import DOCUMENTS
from crankfold.maintenance.transitions import TransitionDocument
from crankfold.network.metrics import Metrics

PROPOSAL_RETRY_SECONDS = 0.5
TAKEOVER_RETRY_SECONDS = 0.1
MIN_WAIT_SECONDS = 0.01
SUCCESSOR_SUFFIX_BYTES = 3

logger = logging.getLogger(__name__)


class Dispatcher(VoterHost, Protocol):
    """The dispatcher that acts on the documents of its node."""

    def documents_changed(self, names: set[str]) -> None:
        """Handles a change of the effective contents of the named documents."""

    def propose_transitions(self, now: int) -> list[TransitionDocument]:
        """Returns the transitions of machines to propose at `now`, in their stored form.

        Only the dispatcher of the leader proposes any.
        """


class ClusterNode:
    """Runs the cluster member through which a dispatcher takes part in its cluster.

    A successor joins as a follower under a temporary name. If it is configured as a voter, it opens the
    voter's folder once the predecessor has released it. It switches to the voter once the voter holds a lease
    and has applied as much of the log as the follower. A voter whose folder fails is replaced by a follower,
    and later by a voter again, in the same way.

    Attributes:
        config: The settings of this process as a member.
        member: The member through which the dispatcher acts.
    """

    def __init__(
        self,
        config: ClusterConfig,
        *,
        metrics: Metrics,
        dispatcher: Dispatcher,
        initial_settings: DocumentContent,
    ) -> None:
        """Creates the first member; opens the storage of a voter.

        If a system call on the folder fails, the node starts as a follower.

        Raises:
            StorageError: The folder is damaged, belongs to another voter or is in use by another process.
        """
        self.config = config
        self._metrics = metrics
        self._dispatcher = dispatcher
        self._initial_settings = initial_settings
        self._pending_proposals: dict[str, asyncio.Future[ProposalResponse]] = {}
        self._progress = asyncio.Event()
        self._takeover_task: asyncio.Task[None] | None = None
        self.member = self._make_first_member()

    def _make_first_member(self) -> ClusterMember:
        if self.config.is_successor:
            return self._make_interim_follower()
        if not self.config.is_voter:
            return self._make_member(self.config.name, None)
        try:
            return self._make_member(self.config.name, open_storage(self.config))
        except StorageUnavailableError as error:
            logger.error("%s; starting as a follower until the folder can be used", error)
            return self._make_interim_follower()

    def _make_interim_follower(self) -> ClusterMember:
        """Returns a follower under a temporary name, for the time until the voter can be opened."""
        return self._make_member(f"{self.config.name}+{secrets.token_hex(SUCCESSOR_SUFFIX_BYTES)}", None)

    def _make_member(self, name: str, storage: RaftStorage | None) -> ClusterMember:
        return ClusterMember(
            name,
            storage,
            config=self.config,
            metrics=self._metrics,
            owner=self,
            host=self._dispatcher,
            initial_settings=self._initial_settings,
        )

    async def open(self) -> None:
        """Starts the member; a voter listens.

        Raises:
            OSError: The address cannot be bound.
        """
        await self.member.open()
        if self.config.is_voter and self.member.storage is None:
            self._takeover_task = asyncio.get_running_loop().create_task(self._take_over())

    async def _take_over(self) -> None:
        """Switches to the voter once its folder and address are available and the voter may act."""
        while voter := await self._open_voter():
            if not await self._wait_until_ready(voter):
                continue
            follower = self.member
            self.member = voter
            self._dispatcher.documents_changed(set(DOCUMENTS))
            await follower.close()
            logger.info("now running as voter %s", self.config.name)
            return

    async def _wait_until_ready(self, voter: ClusterMember) -> bool:
        """Waits until an opened voter may act; closes it and returns False if its folder fails first."""
        try:
            # No event signals that a lease has expired, so readiness is polled.
            while not self._is_ready(voter):
                await asyncio.sleep(TAKEOVER_RETRY_SECONDS)
                if voter.disabled_reason:
                    await voter.close()
                    return False
        except asyncio.CancelledError:  # the node closes
            await voter.close()
            raise
        return True

    async def _replace_failed_voter(self, failed: ClusterMember) -> None:
        """Switches to a follower, and back to the voter once the folder can be used again."""
        self.member = self._make_interim_follower()
        await failed.close()
        await self.member.open()
        self._dispatcher.documents_changed(set(DOCUMENTS))
        await self._take_over()

    def _is_ready(self, voter: ClusterMember) -> bool:
        applied_as_much = voter.consensus.last_applied >= self.consensus.last_applied
        return voter.has_lease() and applied_as_much

    async def _open_voter(self) -> ClusterMember | None:
        """Opens the voter once its folder and address are available; None if the folder is damaged."""
        while True:
            await asyncio.sleep(TAKEOVER_RETRY_SECONDS)
            try:
                storage = open_storage(self.config)
            except (FolderInUseError, StorageUnavailableError):
                continue
            except StorageError as error:
                logger.error("%s; continuing as a follower", error)
                return None
            voter = self._make_member(self.config.name, storage)
            try:
                await voter.open()
            except OSError:  # the predecessor still listens at the address
                await voter.close()
                continue
            except asyncio.CancelledError:  # the node closes
                await voter.close()
                raise
            return voter

    @property
    def consensus(self) -> Voter | Follower:
        """The state machine of the current member."""
        return self.member.consensus

    def has_lease(self) -> bool:
        """Returns whether the dispatcher may act on the documents now; called before each action."""
        return self.member.has_lease()

    def inactive_reason(self) -> str:
        """Returns the reason why the dispatcher does not act on the documents; empty if it does."""
        return self.member.inactive_reason()

    def status(self) -> StatusDocument:
        """Returns the state of the cluster at this node in the form of the admin API."""
        return self.member.status()

    # Called by members.

    def documents_changed(self, member: ClusterMember, names: set[str]) -> None:
        """Notifies the dispatcher of changes at the current member."""
        if member is self.member:
            self._dispatcher.documents_changed(names)

    def applied(self) -> None:
        """Wakes the tasks that wait for an applied index or version."""
        self._progress.set()

    def storage_failed(self, member: ClusterMember) -> None:
        """Replaces the current member; a voter that is not in use yet is reopened by `_take_over`."""
        if member is self.member:
            self._takeover_task = asyncio.get_running_loop().create_task(self._replace_failed_voter(member))

    def propose_transitions(self, member: ClusterMember, now: int) -> list[TransitionDocument]:
        """Returns the transitions that the dispatcher proposes; none unless `member` is the current one."""
        return self._dispatcher.propose_transitions(now) if member is self.member else []

    def proposal_answered(self, response: ProposalResponse) -> None:
        """Completes a pending proposal; a response for lack of a leader is not final."""
        future = self._pending_proposals.get(response.proposal_id)
        if future and not future.done() and (response.accepted or response.reason != NO_LEADER):
            future.set_result(response)

    # Called by the dispatcher.

    async def propose(
        self, kind: str, data: EntryData, proposal_id: str, max_seconds: float
    ) -> ProposalResponse:
        """Proposes an entry repeatedly until there is an outcome.

        Args:
            kind: The kind of the entry.
            data: The fields of the entry, with the keys and the order in which they are stored.
            proposal_id: The id of the proposal; proposals with the same id take effect once.
            max_seconds: The time after which a response without an outcome is returned.
        """
        loop = asyncio.get_running_loop()
        future = self._pending_proposals.setdefault(proposal_id, loop.create_future())
        try:
            async with asyncio.timeout(max_seconds):
                while not future.done():
                    self.member.propose(proposal_id, kind, data)
                    await asyncio.wait([future], timeout=PROPOSAL_RETRY_SECONDS)
                return future.result()
        except TimeoutError:
            return rejected(proposal_id, "no outcome yet; ask again with the same call")
        finally:
            if self._pending_proposals.get(proposal_id) is future:
                del self._pending_proposals[proposal_id]

    async def wait_until_active(self, document: str, number: int, max_seconds: float) -> int:
        """Waits until a version is active at this node.

        Returns:
            The applied index of this node; 0 if the version is not active after `max_seconds`. Once each
            member with a lease has applied that index, all members act on that version alone.
        """
        active = await self._wait_until(
            lambda: self.consensus.documents.document(document).active_number >= number, max_seconds
        )
        return self.consensus.last_applied if active else 0

    async def wait_until_known(self, document: str, number: int, max_seconds: float) -> bool:
        """Waits until a version is applied at this node; returns False after `max_seconds`."""
        return await self._wait_until(
            lambda: self.consensus.documents.document(document).latest_number() >= number, max_seconds
        )

    async def wait_until_cluster_applied(self, index: int, max_seconds: float) -> bool:
        """Waits until each member with a lease has applied `index`; returns False after `max_seconds`."""
        return await self._wait_until(lambda: self.consensus.cluster_applied_index >= index, max_seconds)

    async def _wait_until(self, condition: Callable[[], bool], max_seconds: float) -> bool:
        try:
            async with asyncio.timeout(max(max_seconds, MIN_WAIT_SECONDS)):
                while not condition():
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Closes the current member; a follower releases its lease."""
        if self._takeover_task:
            self._takeover_task.cancel()
            await asyncio.gather(self._takeover_task, return_exceptions=True)
        await self.member.close()
