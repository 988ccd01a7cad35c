"""The admin API of the cluster: its members, documents, voters and maintenance.

Imported only with peers. `admin_messages` defines the JSON keys of calls and answers.
"""

import time
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
from msgspec import structs

from crankfold.cluster.config import parse_address
from crankfold.cluster.node import ClusterNode
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import ProposalResponse
from crankfold.consensus.proposals import MAX_AUTHOR_CHARACTERS, MAX_REASON_CHARACTERS
from crankfold.consensus.versioned_documents import MACHINES
from crankfold.consensus.voter import Voter
from crankfold.document_names import DOCUMENTS
from crankfold.service.cluster.admin_messages import (
    AdminAnswer,
    AppliedPublishOutcome,
    CallOutcome,
    DocumentAnswer,
    ErrorAnswer,
    MembershipChangeRequest,
    MembershipOutcome,
    PublishOutcome,
    PublishRequest,
    encode_answer,
)
from crankfold.service.wall_clock import wall_clock_ms

if TYPE_CHECKING:
    from crankfold.service.maintenance.admin import MaintenanceAdmin

PUBLISH_TIMEOUT = 10.0  # seconds until the outcome of a proposal is reported as unknown
READ_TIMEOUT = 2.0  # seconds that a read waits for the minimum version of its caller
MAX_WAIT = 60.0  # seconds that a publish waits at most until all dispatchers have applied the version
VOTERS = "voters"  # a call with this name in place of a document's changes the voters
FORECAST = "plan"  # a call with this name in place of a document's forecasts a maintenance job


class ClusterAdmin:
    """Carries out admin calls at a member of the cluster."""

    def __init__(self, cluster_node: ClusterNode, maintenance: Callable[[], "MaintenanceAdmin"]) -> None:
        """`maintenance` returns the admin API of maintenance, whose modules its first call imports."""
        self.cluster_node = cluster_node
        self.maintenance = maintenance

    def cluster_status(self) -> AdminAnswer:
        """Returns the status of the cluster as this member sees it."""
        return encode_answer(HTTPStatus.OK, self.cluster_node.status())

    async def read_document(self, name: str, minimum_version: int) -> AdminAnswer:
        """Returns a document whose newest version is `minimum_version` or later.

        Waits up to `READ_TIMEOUT` for that version, and returns an error if it does not arrive.
        """
        if name == MACHINES:
            return encode_answer(HTTPStatus.OK, self.maintenance().describe())
        if name not in DOCUMENTS:
            return encode_answer(HTTPStatus.NOT_FOUND, ErrorAnswer(f"there are {', '.join(DOCUMENTS)}"))
        if not await self.cluster_node.wait_until_known(name, minimum_version, READ_TIMEOUT):
            reason = self.cluster_node.inactive_reason() or "it lags behind"
            text = f"version {minimum_version} of {name} is not known here yet: {reason}"
            return encode_answer(HTTPStatus.GATEWAY_TIMEOUT, ErrorAnswer(text))
        document = self.cluster_node.consensus.documents.document(name)
        return encode_answer(
            HTTPStatus.OK,
            DocumentAnswer(
                name=name,
                active_number=document.active_number,
                newest_number=document.latest_number(),
                has_lease=self.cluster_node.has_lease(),
                effective_content=self.cluster_node.consensus.effective_content(name),
                versions=[structs.asdict(version) for version in document.versions],
            ),
        )

    async def publish(self, name: str, body: bytes) -> AdminAnswer:
        """Proposes a version of a document, a change of the voters or a transition of a machine.

        A call named `FORECAST` returns a forecast and proposes nothing.
        """
        try:
            if name == VOTERS:
                return await self._change_voters(body)
            if name == MACHINES:
                return await self._request_transition(body)
            if name == FORECAST:
                forecast = self.maintenance().forecast(body)
                return encode_answer(HTTPStatus.OK if forecast.accepted else HTTPStatus.CONFLICT, forecast)
            return await self._publish_version(name, msgspec.json.decode(body, type=PublishRequest))
        except msgspec.DecodeError as error:
            return _rejection(HTTPStatus.BAD_REQUEST, str(error))

    async def _change_voters(self, body: bytes) -> AdminAnswer:
        request = msgspec.json.decode(body, type=MembershipChangeRequest)
        try:
            for address in request.add.values():
                parse_address(address)
        except ValueError as error:
            return _rejection(HTTPStatus.BAD_REQUEST, str(error))
        member = self.cluster_node.consensus
        if not isinstance(member, Voter):
            # Only voters handle this call; the text refers the caller to one.
            return _rejection(HTTPStatus.BAD_REQUEST, "ask at the door of a voter")
        remaining = {name: address for name, address in member.raft.voters.items() if name != request.remove}
        voters = remaining | request.add
        response = await self.cluster_node.propose(
            EntryKind.CHANGE_VOTERS, {"voters": voters}, request.call, PUBLISH_TIMEOUT
        )
        return encode_answer(
            HTTPStatus.OK if response.accepted else HTTPStatus.CONFLICT,
            MembershipOutcome(response.accepted, response.reason, voters),
        )

    async def _publish_version(self, name: str, request: PublishRequest) -> AdminAnswer:
        """Proposes a version of a document.

        An author or reason that is too long, which every voter would reject, is truncated.
        """
        response = await self.cluster_node.propose(
            EntryKind.PUBLISH,
            {
                "doc": name,
                "made_from": request.made_from,
                "author": request.author[:MAX_AUTHOR_CHARACTERS],
                "reason": request.reason[:MAX_REASON_CHARACTERS],
                "at": wall_clock_ms(),
                "text": request.content,
            },
            request.call,
            PUBLISH_TIMEOUT,
        )
        outcome = PublishOutcome(response.accepted, response.reason, response.version_number)
        if not response.accepted:
            return encode_answer(_rejection_status(response), outcome)
        if request.wait:
            outcome = await self._wait_until_applied(name, outcome, min(request.wait, MAX_WAIT))
        return encode_answer(HTTPStatus.OK, outcome)

    async def _wait_until_applied(
        self, name: str, outcome: PublishOutcome, max_wait: float
    ) -> AppliedPublishOutcome:
        """Waits until all dispatchers have applied a version.

        Args:
            name: The name of the document.
            outcome: The outcome of the publish that made the version.
            max_wait: In seconds.

        Returns:
            That outcome, with whether the version is active and which members lag.
        """
        started = time.monotonic()
        index = await self.cluster_node.wait_until_active(name, outcome.number, max_wait)
        applied_by_all = index > 0 and await self.cluster_node.wait_until_cluster_applied(
            index, max_wait - (time.monotonic() - started)
        )
        return AppliedPublishOutcome(
            outcome.accepted,
            outcome.reason,
            outcome.number,
            is_active=index > 0,
            lagging_members=[] if applied_by_all else self._lagging_members(),
        )

    def _lagging_members(self) -> list[str]:
        """Returns descriptions of the members that have not applied all entries that this member has."""
        status = self.cluster_node.status()
        lagging = [
            f"{member['name']} at {member['at']}: {member['state']}, {member['lag']} behind"
            for member in status.get("members", ())
            if member["lag"] and member["state"] != "left"
        ]
        lagging += [f"voter {name}: {lag} behind" for name, lag in status.get("lag", {}).items() if lag]
        # If no lag is visible here, the caller is referred to the leader, which sees the lag of each voter.
        return lagging or ["somebody, who is not known here; ask at the leader's door"]

    async def _request_transition(self, body: bytes) -> AdminAnswer:
        result = await self.maintenance().request_transition(body)
        if result.accepted:
            status = HTTPStatus.OK
        else:
            status = HTTPStatus.CONFLICT if result.outcome_known else HTTPStatus.GATEWAY_TIMEOUT
        return encode_answer(status, CallOutcome(result.accepted, result.reason))


def _rejection_status(response: ProposalResponse) -> HTTPStatus:
    """Returns CONFLICT if a version is known to be rejected, GATEWAY_TIMEOUT if its outcome is unknown."""
    known = response.version_number or not response.reason.startswith("no outcome")
    return HTTPStatus.CONFLICT if known else HTTPStatus.GATEWAY_TIMEOUT


def _rejection(status: HTTPStatus, reason: str) -> AdminAnswer:
    return encode_answer(status, CallOutcome(False, reason))
