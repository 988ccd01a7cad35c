"""The cluster node of a dispatcher: the member by which it acts, and the one that it may take over."""

import asyncio
import logging
import secrets
from collections.abc import Callable
from typing import Any, Protocol

from crankfold.cluster.cluster_member import ClusterMember, open_storage
from crankfold.cluster.config import ClusterConfig
from crankfold.cluster.raft_storage import (
    FolderInUseError,
    RaftStorage,
    StorageError,
    StorageUnavailableError,
)
from crankfold.consensus.conservative_merge import DOCUMENTS
from crankfold.consensus.follower import Follower
from crankfold.consensus.member import VoterHost
from crankfold.consensus.messages import ProposalResponse
from crankfold.consensus.proposals import NO_LEADER, rejected
from crankfold.consensus.voter import Voter
from crankfold.network.metrics import Metrics

PROPOSAL_RETRY_INTERVAL = 0.5  # seconds; the outcome may have been lost
TAKEOVER_RETRY_INTERVAL = 0.1  # seconds
MIN_WAIT = 0.01  # seconds
SUCCESSOR_SUFFIX_BYTES = 3

logger = logging.getLogger(__name__)


class Dispatcher(VoterHost, Protocol):
    """The dispatcher that acts on the documents of its cluster node."""

    def documents_changed(self, names: set[str]) -> None:
        """What may be acted on of these documents changed."""

    def propose_transitions(self, now: int) -> list[dict[str, Any]]:
        """The transitions of machines in maintenance to propose at `now`; none unless this node leads."""


class ClusterNode:
    """What a dispatcher has to do with its cluster.

    A process that replaces another is a follower under a name of its own while that one is there. If it is to
    be a voter, it takes the folder and the name over once they are free, and acts by them when it has applied
    as much as the follower. A voter whose folder fails does the same: it goes on as a follower, and as a
    voter that was restarted once the folder works.

    Attributes:
        config: How this process takes part.
        member: The member by which it acts.
    """

    def __init__(
        self,
        config: ClusterConfig,
        *,
        metrics: Metrics,
        dispatcher: Dispatcher,
        initial_settings: dict[str, Any],
    ) -> None:
        """Opens the storage of a voter.

        Raises:
            StorageError: It cannot be used, and that will not pass by itself.
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
            return self._make_stand_in()
        if not self.config.is_voter:
            return self._make_member(self.config.name, None)
        try:
            return self._make_member(self.config.name, open_storage(self.config))
        except StorageUnavailableError as error:
            logger.error("%s; starts as a follower until the folder works", error)
            return self._make_stand_in()

    def _make_stand_in(self) -> ClusterMember:
        """A follower under a name of its own, while the voter is not there."""
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
        """Starts; a voter listens.

        Raises:
            OSError: The address cannot be listened at.
        """
        await self.member.open()
        if self.config.is_voter and self.member.storage is None:
            self._takeover_task = asyncio.get_running_loop().create_task(self._take_over())

    async def _take_over(self) -> None:
        """Becomes the voter, once its folder and address are free and work."""
        successor = await self._open_voter()
        # No event marks that a lease has expired, so it is polled.
        while successor and not self._may_act_by(successor):
            await asyncio.sleep(TAKEOVER_RETRY_INTERVAL)
            if successor.disabled_reason:
                await successor.close()
                successor = await self._open_voter()
        if successor is None:
            return
        follower = self.member
        self.member = successor
        self._dispatcher.documents_changed(set(DOCUMENTS))
        await follower.close()
        logger.info("%s is a voter again", self.config.name)

    async def _replace_failed_voter(self, failed: ClusterMember) -> None:
        """Goes on as a follower, and takes over as a voter that was restarted once the folder works."""
        self.member = self._make_stand_in()
        await failed.close()
        await self.member.open()
        self._dispatcher.documents_changed(set(DOCUMENTS))
        await self._take_over()

    def _may_act_by(self, successor: ClusterMember) -> bool:
        applied_as_much = successor.consensus.last_applied >= self.consensus.last_applied
        return successor.has_lease() and applied_as_much

    async def _open_voter(self) -> ClusterMember | None:
        """The voter, as soon as folder and address are free; None if its folder cannot be used."""
        while True:
            await asyncio.sleep(TAKEOVER_RETRY_INTERVAL)
            try:
                storage = open_storage(self.config)
            except (FolderInUseError, StorageUnavailableError):
                continue
            except StorageError as error:
                logger.error("%s; continues as a follower", error)
                return None
            voter = self._make_member(self.config.name, storage)
            try:
                await voter.open()
            except OSError:  # the address is not free yet
                await voter.close()
                continue
            return voter

    @property
    def consensus(self) -> Voter | Follower:
        """The state machine of the member by which this node acts."""
        return self.member.consensus

    def has_lease(self) -> bool:
        """Whether the documents may be acted on at this moment; to be asked at each act."""
        return self.member.has_lease()

    def inactive_reason(self) -> str:
        """Why nothing is acted on; empty if it is."""
        return self.member.inactive_reason()

    def status(self) -> dict[str, Any]:
        """The cluster as this node sees it."""
        return self.member.status()

    # --- called by members ---

    def documents_changed(self, member: ClusterMember, names: set[str]) -> None:
        """Informs the dispatcher, if it acts by that member."""
        if member is self.member:
            self._dispatcher.documents_changed(names)

    def applied(self) -> None:
        """Wakes whoever waits until something is applied."""
        self._progress.set()

    def storage_failed(self, member: ClusterMember) -> None:
        """Replaces the member by which this node acts; one that is to be taken over is opened anew."""
        if member is self.member:
            self._takeover_task = asyncio.get_running_loop().create_task(self._replace_failed_voter(member))

    def propose_transitions(self, member: ClusterMember, now: int) -> list[dict[str, Any]]:
        """Asks the dispatcher, if it acts by that member."""
        return self._dispatcher.propose_transitions(now) if member is self.member else []

    def proposal_answered(self, response: ProposalResponse) -> None:
        """Passes an outcome to whoever waits for it; without a leader there is none yet."""
        future = self._pending_proposals.get(response.proposal_id)
        if future and not future.done() and (response.accepted or response.reason != NO_LEADER):
            future.set_result(response)

    # --- called by the dispatcher ---

    async def propose(
        self, kind: str, data: dict[str, Any], proposal_id: str, max_seconds: float
    ) -> ProposalResponse:
        """Proposes until there is an outcome, or `max_seconds` have passed.

        The same `proposal_id` takes effect once, however often it is proposed.
        """
        loop = asyncio.get_running_loop()
        future = self._pending_proposals.setdefault(proposal_id, loop.create_future())
        try:
            async with asyncio.timeout(max_seconds):
                while not future.done():
                    self.member.propose(proposal_id, kind, data)
                    await asyncio.wait([future], timeout=PROPOSAL_RETRY_INTERVAL)
                return future.result()
        except TimeoutError:
            return rejected(proposal_id, "no outcome yet; ask again with the same call")
        finally:
            if self._pending_proposals.get(proposal_id) is future:
                del self._pending_proposals[proposal_id]

    async def wait_until_active(self, document: str, number: int, max_seconds: float) -> int:
        """Waits until a version is active.

        Returns:
            The index up to which all must have applied the log for all to act on it alone; 0 if it is not
            active after `max_seconds`.
        """
        active = await self._wait_until(
            lambda: self.consensus.documents.document(document).active_number >= number, max_seconds
        )
        return self.consensus.last_applied if active else 0

    async def wait_until_known(self, document: str, number: int, max_seconds: float) -> bool:
        """Whether a version is known here within `max_seconds`."""
        return await self._wait_until(
            lambda: self.consensus.documents.document(document).latest_number() >= number, max_seconds
        )

    async def wait_until_cluster_applied(self, index: int, max_seconds: float) -> bool:
        """Whether all that may act have applied the log up to `index` within `max_seconds`."""
        return await self._wait_until(lambda: self.consensus.cluster_applied_index >= index, max_seconds)

    async def _wait_until(self, condition: Callable[[], bool], max_seconds: float) -> bool:
        try:
            async with asyncio.timeout(max(max_seconds, MIN_WAIT)):
                while not condition():
                    self._progress.clear()
                    await self._progress.wait()
        except TimeoutError:
            return False
        return True

    async def close(self) -> None:
        """Leaves the cluster."""
        if self._takeover_task:
            self._takeover_task.cancel()
        await self.member.close()
