"""The common part of voters and followers: the documents, the lease and the interface to the dispatcher.

Times are ticks of a tenth of a millisecond.
"""

from typing import Protocol

from crankfold.consensus.messages import (
    DocumentContent,
    LogEntry,
    MaintenanceReport,
    ProposalResponse,
    Snapshot,
)
from crankfold.consensus.timing import Timing
from crankfold.consensus.versioned_documents import MACHINES, VersionedDocuments
from crankfold.document_names import DOCUMENTS
from crankfold.maintenance.transitions import TransitionDocument


class MemberHost(Protocol):
    """The dispatcher that acts on the documents of a member."""

    def quiesced_index(self, last_applied: int) -> int:
        """Returns the log index of the newest quotas that the open requests keep within.

        Args:
            last_applied: The last applied index, which is the highest result.
        """

    def collect_quota_usage(self) -> dict[str, int]:
        """Returns the open requests plus those rejected since the last call, by cluster-wide limit."""

    def build_maintenance_report(self) -> MaintenanceReport | None:
        """Returns a new report on machines in maintenance; None while there are none.

        Also starts the maintenance commands that are due at this dispatcher.
        """


class VoterHost(MemberHost, Protocol):
    """The dispatcher of a voter, which also validates documents before they are published."""

    def validate_document(self, name: str, content: DocumentContent) -> str:
        """Returns the reason why the content of a document is invalid; empty if it is valid."""


class MaintenanceCoordinator(Protocol):
    """Proposes transitions of machines in maintenance at the leader."""

    def propose_transitions(self, now: int) -> list[TransitionDocument]:
        """Returns the transitions to propose, in their stored form; none unless this member leads."""


class Member:
    """A member of the cluster, with its documents and its lease. It reads no clock and does no I/O.

    Attributes:
        name: Its name in the cluster.
        timing: Durations of elections and leases.
        host: The dispatcher that acts on the documents.
        incarnation: A random number of this process.
        started_at: When the process started.
        documents: The replicated documents as of the last applied entry.
        lease_expires_at: When its lease expires, on its own clock.
        changed_documents: Names of documents whose effective content changed since the owner cleared this.
        cluster_applied_index: The highest index that each member with a lease is known to have applied.
        proposal_responses: Responses to this member's proposals since the owner cleared this.
        rejection_reason: Why a voter rejects this member; empty while none does.
    """

    def __init__(self, name: str, *, timing: Timing, now: int, incarnation: int, host: MemberHost) -> None:
        """Starts without a lease at the time `now`."""
        self.name = name
        self.timing = timing
        self.host = host
        self.started_at = now
        self.incarnation = incarnation
        self.documents = VersionedDocuments()
        self.lease_expires_at = now
        self.changed_documents: set[str] = set()
        self.cluster_applied_index = 0
        self.proposal_responses: list[ProposalResponse] = []
        self.rejection_reason = ""

    @property
    def last_applied(self) -> int:
        """The index of the last applied log entry."""
        return self.documents.last_applied

    def has_lease(self, now: int) -> bool:
        """Whether this member may act on its documents at `now`.

        Call this before each action: a process does not notice that its lease expires while suspended.
        """
        return now < self.lease_expires_at

    def effective_content(self, document: str) -> DocumentContent | None:
        """Returns the effective content of a document; None for settings without an active version."""
        return self.documents.effective_content(document)

    def quiesced_index(self) -> int:
        """Returns the log index of the newest quotas that the host's open requests keep within."""
        return self.host.quiesced_index(self.last_applied)

    def _accept_lease(self, request_sent_at: int, duration: int, required_index: int) -> None:
        """Extends the lease by a grant, if this process requested it and has applied `required_index`.

        A lease that an earlier process requested was granted for the log that this earlier process had
        applied.

        Args:
            request_sent_at: When the lease was requested, on this member's clock; the lease counts from then.
            duration: The duration of the lease, in ticks.
            required_index: The last index that the granter knew to be committed.
        """
        requested_by_this_process = request_sent_at >= self.started_at
        if requested_by_this_process and self.last_applied >= required_index:
            self._extend_lease(request_sent_at + duration)

    def _extend_lease(self, expires_at: int) -> None:
        self.lease_expires_at = max(self.lease_expires_at, expires_at)
        self.rejection_reason = ""  # a member that is granted a lease is admitted

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self.documents.restore(snapshot.state, snapshot.index)
        self.changed_documents.update((*DOCUMENTS, MACHINES))

    def _apply(self, entry: LogEntry) -> None:
        changed = self.documents.apply(self.last_applied + 1, entry)
        if changed:
            self.changed_documents.add(changed)
