"""Answers operators' calls about the cluster: its members, its documents, its voters, its maintenance.

The keys of calls and answers are older than the names in the program. Not imported unless there are peers.
"""

import time
from collections.abc import Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
import orjson
from msgspec import Struct, field, structs

from crankfold.cluster.config import parse_address
from crankfold.cluster.node import ClusterNode
from crankfold.consensus.conservative_merge import DOCUMENTS
from crankfold.consensus.messages import ProposalResponse
from crankfold.consensus.versioned_documents import MACHINES
from crankfold.consensus.voter import Voter

if TYPE_CHECKING:
    from crankfold.service.maintenance.admin import MaintenanceAdmin

PUBLISH_TIMEOUT = 10.0  # seconds
READ_TIMEOUT = 2.0  # seconds; how long a read waits for the version that the caller knows of
MAX_WAIT = 60.0  # seconds; the longest that a call may wait until a version is in force everywhere
MAX_AUTHOR_LENGTH = 200
MAX_REASON_LENGTH = 2000
VOTERS = "voters"  # a call for this in place of a document changes the membership
FORECAST = "plan"  # and for this, asks what a maintenance job would bring about


class AdminAnswer(NamedTuple):
    """The HTTP status of an answer and its JSON text."""

    status: int
    body: str


class PublishRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """A new version of a document."""

    call: str  # identifies the call; the same one has one effect, however often it is made
    made_from: int  # the number of the version from which it was made
    content: dict[str, Any] = field(name="text")
    author: str = ""
    reason: str = ""
    wait: float = 0.0  # seconds for the version to be in force everywhere


class MembershipChangeRequest(Struct, forbid_unknown_fields=True):
    """Adds voters, by name and address, and removes one; one change at a time."""

    call: str
    add: dict[str, str] = field(default_factory=dict)
    remove: str = ""


class ClusterAdmin:
    """The operators' calls of a dispatcher that is a member of a cluster."""

    def __init__(self, cluster_node: ClusterNode, maintenance: Callable[[], "MaintenanceAdmin"]) -> None:
        """`maintenance` gives the calls about maintenance, which are not imported before the first one."""
        self.cluster_node = cluster_node
        self.maintenance = maintenance

    def cluster_status(self) -> AdminAnswer:
        """The cluster as this member sees it."""
        return _answer(HTTPStatus.OK, self.cluster_node.status())

    async def read_document(self, name: str, minimum_version: int) -> AdminAnswer:
        """A document, not older than the version that the caller says to know of.

        Where that version is not known here in time, the answer says so and gives no content.
        """
        if name == MACHINES:
            return _answer(HTTPStatus.OK, self.maintenance().describe())
        if name not in DOCUMENTS:
            return _answer(HTTPStatus.NOT_FOUND, {"text": f"there are {', '.join(DOCUMENTS)}"})
        if not await self.cluster_node.wait_until_known(name, minimum_version, READ_TIMEOUT):
            reason = self.cluster_node.inactive_reason() or "it lags behind"
            text = f"version {minimum_version} of {name} is not known here yet: {reason}"
            return _answer(HTTPStatus.GATEWAY_TIMEOUT, {"text": text})
        document = self.cluster_node.consensus.documents.document(name)
        return _answer(
            HTTPStatus.OK,
            {
                "doc": name,
                "counts": document.active_number,
                "newest": document.latest_number(),
                "acts": self.cluster_node.has_lease(),
                "acting": self.cluster_node.consensus.effective_content(name),
                "versions": [structs.asdict(version) for version in document.versions],
            },
        )

    async def publish(self, name: str, body: bytes) -> AdminAnswer:
        """Proposes what the call brings: a version of a document, other voters, a transition of a machine."""
        try:
            if name == VOTERS:
                return await self._change_voters(body)
            if name == MACHINES:
                return await self._request_transition(body)
            if name == FORECAST:
                forecast = self.maintenance().forecast(body)
                return _answer(HTTPStatus.OK if forecast["well"] else HTTPStatus.CONFLICT, forecast)
            return await self._publish_version(name, msgspec.json.decode(body, type=PublishRequest))
        except msgspec.DecodeError as error:
            return _refusal(HTTPStatus.BAD_REQUEST, str(error))

    async def _change_voters(self, body: bytes) -> AdminAnswer:
        request = msgspec.json.decode(body, type=MembershipChangeRequest)
        try:
            for address in request.add.values():
                parse_address(address)
        except ValueError as error:
            return _refusal(HTTPStatus.BAD_REQUEST, str(error))
        member = self.cluster_node.consensus
        if not isinstance(member, Voter):
            return _refusal(HTTPStatus.BAD_REQUEST, "ask at the door of a voter")
        remaining = {name: address for name, address in member.raft.voters.items() if name != request.remove}
        voters = remaining | request.add
        response = await self.cluster_node.propose(
            "voters", {"voters": voters}, request.call, PUBLISH_TIMEOUT
        )
        return _answer(
            HTTPStatus.OK if response.accepted else HTTPStatus.CONFLICT,
            {"well": response.accepted, "text": response.reason, "voters": voters},
        )

    async def _publish_version(self, name: str, request: PublishRequest) -> AdminAnswer:
        response = await self.cluster_node.propose(
            "publish",
            {
                "doc": name,
                "made_from": request.made_from,
                "author": request.author[:MAX_AUTHOR_LENGTH],
                "reason": request.reason[:MAX_REASON_LENGTH],
                "at": time.time_ns() // 1_000_000,
                "text": request.content,
            },
            request.call,
            PUBLISH_TIMEOUT,
        )
        answer: dict[str, Any] = {
            "well": response.accepted,
            "text": response.reason,
            "number": response.version_number,
        }
        if not response.accepted:
            return _answer(_rejection_status(response), answer)
        if request.wait:
            answer |= await self._wait_until_in_force(
                name, response.version_number, min(request.wait, MAX_WAIT)
            )
        return _answer(HTTPStatus.OK, answer)

    async def _wait_until_in_force(self, name: str, number: int, max_wait: float) -> dict[str, Any]:
        """Whether a version is active by then, and which members do not act on it yet. Seconds."""
        started = time.monotonic()
        index = await self.cluster_node.wait_until_active(name, number, max_wait)
        applied_by_all = index > 0 and await self.cluster_node.wait_until_cluster_applied(
            index, max_wait - (time.monotonic() - started)
        )
        return {"counts": index > 0, "lag": [] if applied_by_all else self._lagging_members()}

    def _lagging_members(self) -> list[str]:
        """Who does not act on all that is known here, as far as this member can tell."""
        status = self.cluster_node.status()
        lagging = [
            f"{member['name']} at {member['at']}: {member['state']}, {member['lag']} behind"
            for member in status.get("members", ())
            if member["lag"] and member["state"] != "left"
        ]
        lagging += [f"voter {name}: {lag} behind" for name, lag in status.get("lag", {}).items() if lag]
        return lagging or ["somebody, who is not known here; ask at the leader's door"]

    async def _request_transition(self, body: bytes) -> AdminAnswer:
        result = await self.maintenance().request_transition(body)
        if result.accepted:
            status = HTTPStatus.OK
        else:
            status = HTTPStatus.CONFLICT if result.outcome_known else HTTPStatus.GATEWAY_TIMEOUT
        return _answer(status, {"well": result.accepted, "text": result.reason})


def _rejection_status(response: ProposalResponse) -> HTTPStatus:
    """Of a version that was not accepted: whether it is known to have been rejected."""
    known = response.version_number or not response.reason.startswith("no outcome")
    return HTTPStatus.CONFLICT if known else HTTPStatus.GATEWAY_TIMEOUT


def _refusal(status: HTTPStatus, reason: str) -> AdminAnswer:
    return _answer(status, {"well": False, "text": reason})


def _answer(status: HTTPStatus, content: dict[str, Any]) -> AdminAnswer:
    return AdminAnswer(int(status), orjson.dumps(content).decode())
