"""Proposals: sent by any member to the leader, validated by a majority, answered when committed."""

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from crankfold.consensus.errors import MembershipChangeError, ProposalError
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.member import VoterHost
from crankfold.consensus.messages import (
    ProposalRequest,
    ProposalResponse,
    ValidationRequest,
    ValidationResponse,
)
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_state import Role
from crankfold.consensus.timing import Timing
from crankfold.consensus.versioned_documents import VersionedDocuments

NO_LEADER = "there is no leader"  # the reason of a response after which it is proposed once more
VALIDATION_TIMEOUT = 20  # staleness bounds; a proposal not validated by then is forgotten
MAX_AUTHOR_LENGTH = 200
MAX_REASON_LENGTH = 2000


ProposalMessage = ProposalRequest | ProposalResponse | ValidationRequest | ValidationResponse


class PublishProposal(Struct):
    """What `ProposalRequest.data` of a publish must hold; the names are those of the log entry."""

    doc: Literal["settings", "runners-out", "runners-never", "limits", "deal", "works"]
    made_from: Annotated[int, Meta(ge=0)]
    author: Annotated[str, Meta(max_length=MAX_AUTHOR_LENGTH)]
    reason: Annotated[str, Meta(max_length=MAX_REASON_LENGTH)]
    at: int
    text: dict[str, Any]


def read_publish(request: ProposalRequest) -> PublishProposal:
    """The decoded data of a proposal to publish.

    Raises:
        ProposalError: It is none, or its data has not the form of one.
    """
    try:
        proposal = msgspec.convert(request.data, PublishProposal)
    except msgspec.ValidationError as error:
        raise ProposalError(str(error)) from None
    if request.kind != EntryKind.PUBLISH:
        raise ProposalError(f"no way to agree on {request.kind!r}")
    return proposal


def rejected(proposal_id: str, reason: str) -> ProposalResponse:
    """The response to a proposal that does not reach the log."""
    return ProposalResponse(proposal_id, accepted=False, reason=reason, version_number=0, log_index=0)


class PendingValidation(Struct):
    """A proposal that voters are asked about, and those that could use it."""

    request: ProposalRequest
    proposal: PublishProposal
    approvals: set[str]
    started_at: int


class ProposalHandler:
    """A voter's part in proposals: it forwards them to the leader, or, as the leader, has them validated."""

    def __init__(
        self,
        raft: Raft,
        documents: VersionedDocuments,
        host: VoterHost,
        timing: Timing,
        own_responses: list[ProposalResponse],
    ) -> None:
        """For the node that `raft` is; outcomes of its own proposals are added to `own_responses`."""
        self._raft = raft
        self._documents = documents
        self._host = host
        self._timing = timing
        self._own_responses = own_responses
        self._validations: dict[str, PendingValidation] = {}
        self._senders: dict[str, str] = {}  # who waits for the outcome, by proposal; "" for this node

    def reset(self) -> None:
        """A new term as leader begins."""
        self._validations = {}

    def receive(self, now: int, sender: str, message: ProposalMessage) -> None:
        """Takes a message about a proposal of another member."""
        match message:
            case ProposalRequest():
                self.handle_request(now, sender, message)
            case ProposalResponse():
                self._pass_on(message)
            case ValidationRequest():
                self._validate(sender, message)
            case ValidationResponse():
                self._handle_validation_response(now, sender, message)

    def handle_request(self, now: int, sender: str, request: ProposalRequest) -> None:
        """Takes a proposal of another member, or of this one if `sender` is empty."""
        if self._raft.role == Role.LEADER:
            self._senders[request.proposal_id] = sender
            try:
                self._handle_as_leader(now, sender, request)
            except ProposalError as error:
                self._respond(sender, rejected(request.proposal_id, f"{self._raft.name}: {error}"))
            else:
                self._drop_expired(now)
        elif self._raft.leader:
            self._senders[request.proposal_id] = sender
            self._raft.send(self._raft.leader, request)
        else:
            self._respond(sender, rejected(request.proposal_id, NO_LEADER))

    def _handle_as_leader(self, now: int, sender: str, request: ProposalRequest) -> None:
        if request.kind == EntryKind.CHANGE_VOTERS:
            self._respond(sender, self._change_voters(now, request))
        elif request.proposal_id in self._documents.replicated.outcomes:
            self.answer(request.proposal_id)
        elif request.kind == EntryKind.MAINTENANCE:
            data = {**request.data, "call": request.proposal_id}
            self._raft.propose(now, EntryKind.MAINTENANCE, data)
        elif request.proposal_id in self._validations:
            self._request_validation(request.proposal_id)  # messages of an earlier attempt may be lost
        else:
            self._begin_validation(now, request)

    def _change_voters(self, now: int, request: ProposalRequest) -> ProposalResponse:
        voters = request.data.get("voters")
        error = ""
        if isinstance(voters, dict):
            try:
                self._raft.change_voters(now, voters)
            except MembershipChangeError as refused:
                error = str(refused)
        else:
            error = "no voters"
        return ProposalResponse(
            request.proposal_id,
            accepted=not error,
            reason=error,
            version_number=0,
            log_index=self._raft.log.last_index(),
        )

    def _begin_validation(self, now: int, request: ProposalRequest) -> None:
        """Has a proposal validated; raises a ProposalError if this voter could not use it."""
        proposal = read_publish(request)
        error = self._host.validate_document(proposal.doc, proposal.text)
        if error:
            raise ProposalError(error)
        self._validations[request.proposal_id] = PendingValidation(
            request, proposal, approvals={self._raft.name}, started_at=now
        )
        self._request_validation(request.proposal_id)
        self._propose_if_validated(now, request.proposal_id)

    def _request_validation(self, proposal_id: str) -> None:
        validation = self._validations[proposal_id]
        message = ValidationRequest(proposal_id, validation.proposal.doc, validation.proposal.text)
        for voter in sorted(self._raft.voters.keys() - validation.approvals):
            self._raft.send(voter, message)

    def _validate(self, sender: str, request: ValidationRequest) -> None:
        """Answers the leader whether this voter could use a document."""
        error = self._host.validate_document(request.document_name, request.content)
        self._raft.send(sender, ValidationResponse(request.proposal_id, error))

    def _handle_validation_response(self, now: int, sender: str, response: ValidationResponse) -> None:
        """Takes a voter's judgement."""
        validation = self._validations.get(response.proposal_id)
        if validation is None:
            return
        if response.error:
            del self._validations[response.proposal_id]
            proposer = self._senders.get(response.proposal_id, "")
            self._respond(proposer, rejected(response.proposal_id, f"{sender}: {response.error}"))
            return
        validation.approvals.add(sender)
        self._propose_if_validated(now, response.proposal_id)

    def _propose_if_validated(self, now: int, proposal_id: str) -> None:
        """A majority is enough: whoever is out of reach would only validate it when it is too late."""
        validation = self._validations[proposal_id]
        voters = self._raft.voters
        approvals = validation.approvals & voters.keys()
        if self._raft.role == Role.LEADER and 2 * len(approvals) > len(voters):
            del self._validations[proposal_id]
            data = {**validation.request.data, "call": proposal_id}
            self._raft.propose(now, EntryKind.PUBLISH, data)

    def _drop_expired(self, now: int) -> None:
        timeout = VALIDATION_TIMEOUT * self._timing.staleness_bound
        for proposal_id, validation in list(self._validations.items()):
            if now - validation.started_at > timeout:
                del self._validations[proposal_id]

    def answer(self, proposal_id: str) -> None:
        """Sends the outcome of an applied proposal to whoever waits for it."""
        outcome = self._documents.replicated.outcomes.get(proposal_id)
        if outcome and proposal_id in self._senders:
            response = ProposalResponse(
                proposal_id,
                accepted=outcome.accepted,
                reason=outcome.reason,
                version_number=outcome.version_number,
                log_index=outcome.log_index,
            )
            self._respond(self._senders.pop(proposal_id), response)

    def _pass_on(self, response: ProposalResponse) -> None:
        """Passes on what the leader answered."""
        if response.proposal_id in self._senders:
            self._respond(self._senders.pop(response.proposal_id), response)

    def _respond(self, receiver: str, response: ProposalResponse) -> None:
        if receiver:
            self._raft.send(receiver, response)
        else:
            self._own_responses.append(response)
