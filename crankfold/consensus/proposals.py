"""Proposals, which any member sends to the leader, a majority validates and the leader commits."""

from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from crankfold.consensus.errors import MembershipChangeError, ProposalError
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.member import VoterHost
from crankfold.consensus.messages import (
    DocumentContent,
    ProposalRequest,
    ProposalResponse,
    ValidationRequest,
    ValidationResponse,
)
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_state import Role
from crankfold.consensus.versioned_documents import VersionedDocuments
from crankfold.document_names import DocumentName

# A response with this reason is not final: the proposer sends the proposal again.
NO_LEADER = "there is no leader"
# The leader drops a proposal that no majority has validated within this many staleness bounds.
VALIDATION_TIMEOUT_BOUNDS = 20
MAX_AUTHOR_CHARACTERS = 200
MAX_REASON_CHARACTERS = 2000

THIS_VOTER = ""  # the sender of this voter's own proposals

ProposalMessage = ProposalRequest | ProposalResponse | ValidationRequest | ValidationResponse


class PublishProposal(Struct):
    """`ProposalRequest.data` of a proposal to publish a version of a document.

    The field names are the keys of the log entry. The leader appends the received data and not this object,
    because the order of the proposer's keys is stored.

    Attributes:
        doc: The name of the document.
        made_from: The newest version that the author had read.
        author: The name of the author.
        reason: Why, in the author's words.
        at: Wall time in milliseconds; shown, never compared.
        text: The content of the version.
    """

    doc: DocumentName
    made_from: Annotated[int, Meta(ge=0)]
    author: Annotated[str, Meta(max_length=MAX_AUTHOR_CHARACTERS)]
    reason: Annotated[str, Meta(max_length=MAX_REASON_CHARACTERS)]
    at: int
    text: DocumentContent


def read_publish(request: ProposalRequest) -> PublishProposal:
    """Decodes the data of a proposal to publish.

    Raises:
        ProposalError: The proposal is of another kind, or its data is malformed.
    """
    try:
        proposal = msgspec.convert(request.data, PublishProposal)
    except msgspec.ValidationError as error:
        raise ProposalError(str(error)) from None
    if request.kind != EntryKind.PUBLISH:
        raise ProposalError(f"no way to agree on {request.kind!r}")
    return proposal


def read_voters(request: ProposalRequest) -> dict[str, str]:
    """Returns the addresses by name in a proposal to change the voters.

    Raises:
        ProposalError: The data has no addresses by name.
    """
    voters = request.data.get("voters")
    if not isinstance(voters, dict):
        raise ProposalError("no voters")
    return voters


def rejected(proposal_id: str, reason: str) -> ProposalResponse:
    """Returns the response to a proposal that is not appended to the log."""
    return ProposalResponse(proposal_id, accepted=False, reason=reason, version_number=0, log_index=0)


class PendingValidation(Struct):
    """A proposal that waits for validation by a majority of the voters.

    Attributes:
        request: The proposal as it was received.
        proposal: Its decoded data.
        approvals: Names of the voters that approved it.
        started_at: When the leader began the validation, in ticks.
    """

    request: ProposalRequest
    proposal: PublishProposal
    approvals: set[str]
    started_at: int


class ProposalHandler:
    """Forwards proposals to the leader; at the leader, has them validated and appends them to the log."""

    def __init__(
        self,
        raft: Raft,
        documents: VersionedDocuments,
        host: VoterHost,
        own_responses: list[ProposalResponse],
    ) -> None:
        """Starts without proposals.

        Args:
            raft: The Raft node of this voter.
            documents: The replicated documents of this voter.
            host: Validates documents for this voter.
            own_responses: The list to which the responses to this voter's own proposals are appended.
        """
        self._raft = raft
        self._documents = documents
        self._host = host
        self._own_responses = own_responses
        self._validations: dict[str, PendingValidation] = {}
        # The member that the outcome is sent to, by proposal id; THIS_VOTER for an own proposal.
        self._proposers: dict[str, str] = {}

    def reset(self) -> None:
        """Drops all pending validations at the start of a term as leader."""
        self._validations = {}

    def receive(self, now: int, sender: str, message: ProposalMessage) -> None:
        """Handles a message about a proposal from another member."""
        match message:
            case ProposalRequest():
                self.handle_request(now, sender, message)
            case ProposalResponse():
                self._forward_response(message)
            case ValidationRequest():
                self._validate(sender, message)
            case ValidationResponse():
                self._handle_validation_response(now, sender, message)

    def handle_request(self, now: int, sender: str, request: ProposalRequest) -> None:
        """Handles a proposal as the leader, or forwards it to the leader.

        Args:
            now: The current time, in ticks.
            sender: The member that sent it; `THIS_VOTER` for an own proposal.
            request: The proposal.
        """
        if self._raft.role == Role.LEADER:
            self._proposers[request.proposal_id] = sender
            try:
                self._handle_as_leader(now, sender, request)
            except ProposalError as error:
                self._respond(sender, rejected(request.proposal_id, f"{self._raft.name}: {error}"))
            else:
                self._drop_expired(now)
        elif self._raft.leader:
            self._proposers[request.proposal_id] = sender
            self._raft.send(self._raft.leader, request)
        else:
            self._respond(sender, rejected(request.proposal_id, NO_LEADER))

    def _handle_as_leader(self, now: int, sender: str, request: ProposalRequest) -> None:
        if request.kind == EntryKind.CHANGE_VOTERS:
            self._respond(sender, self._change_voters(now, request))
        elif request.proposal_id in self._documents.replicated.outcomes:
            self.answer(request.proposal_id)
        elif request.kind == EntryKind.MAINTENANCE:
            # A plain dictionary, because the order of the proposer's keys is stored.
            data = {**request.data, "call": request.proposal_id}
            self._raft.propose(now, EntryKind.MAINTENANCE, data)
        elif request.proposal_id in self._validations:
            self._request_validation(request.proposal_id)  # the network may have dropped the earlier request
        else:
            self._begin_validation(now, request)

    def _change_voters(self, now: int, request: ProposalRequest) -> ProposalResponse:
        error = ""
        try:
            self._raft.change_voters(now, read_voters(request))
        except (MembershipChangeError, ProposalError) as rejection:
            error = str(rejection)
        return ProposalResponse(
            request.proposal_id,
            accepted=not error,
            reason=error,
            version_number=0,
            log_index=self._raft.log.last_index(),
        )

    def _begin_validation(self, now: int, request: ProposalRequest) -> None:
        """Validates a proposal here and requests validation from the other voters.

        Raises:
            ProposalError: Its data is malformed, or this voter rejects its content.
        """
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
        """Validates a document here and sends the result to the leader."""
        error = self._host.validate_document(request.document_name, request.content)
        self._raft.send(sender, ValidationResponse(request.proposal_id, error))

    def _handle_validation_response(self, now: int, sender: str, response: ValidationResponse) -> None:
        """Records an approval; a rejection by any voter rejects the proposal."""
        validation = self._validations.get(response.proposal_id)
        if validation is None:
            return
        if response.error:
            del self._validations[response.proposal_id]
            proposer = self._proposers.get(response.proposal_id, THIS_VOTER)
            self._respond(proposer, rejected(response.proposal_id, f"{sender}: {response.error}"))
            return
        validation.approvals.add(sender)
        self._propose_if_validated(now, response.proposal_id)

    def _propose_if_validated(self, now: int, proposal_id: str) -> None:
        """Appends a proposal that a majority has validated.

        Does not wait for the remaining voters, because one unreachable voter would block every publish.
        """
        validation = self._validations[proposal_id]
        voters = self._raft.voters
        approvals = validation.approvals & voters.keys()
        if self._raft.role == Role.LEADER and 2 * len(approvals) > len(voters):
            del self._validations[proposal_id]
            # A plain dictionary, because the order of the proposer's keys is stored.
            data = {**validation.request.data, "call": proposal_id}
            self._raft.propose(now, EntryKind.PUBLISH, data)

    def _drop_expired(self, now: int) -> None:
        timeout = VALIDATION_TIMEOUT_BOUNDS * self._raft.timing.staleness_bound
        for proposal_id, validation in list(self._validations.items()):
            if now - validation.started_at > timeout:
                del self._validations[proposal_id]

    def answer(self, proposal_id: str) -> None:
        """Sends the outcome of an applied proposal to its proposer, if this voter received the proposal."""
        outcome = self._documents.replicated.outcomes.get(proposal_id)
        if outcome and proposal_id in self._proposers:
            response = ProposalResponse(
                proposal_id,
                accepted=outcome.accepted,
                reason=outcome.reason,
                version_number=outcome.version_number,
                log_index=outcome.log_index,
            )
            self._respond(self._proposers.pop(proposal_id), response)

    def _forward_response(self, response: ProposalResponse) -> None:
        """Forwards a response from the leader to the proposer."""
        if response.proposal_id in self._proposers:
            self._respond(self._proposers.pop(response.proposal_id), response)

    def _respond(self, receiver: str, response: ProposalResponse) -> None:
        if receiver == THIS_VOTER:
            self._own_responses.append(response)
        else:
            self._raft.send(receiver, response)
