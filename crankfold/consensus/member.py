"""What voters and followers have in common: the documents, the lease, and the dispatcher that they serve."""

from typing import Any, Protocol

from crankfold.consensus.conservative_merge import DOCUMENTS
from crankfold.consensus.messages import LogEntry, MaintenanceReport, ProposalResponse, Snapshot
from crankfold.consensus.timing import Timing
from crankfold.consensus.versioned_documents import MACHINES, VersionedDocuments


class MemberHost(Protocol):
    """The dispatcher that acts on the documents of a member."""

    def quiesced_index(self, last_applied: int) -> int:
        """Up to which index of the log its open requests keep within the quotas.

        Args:
            last_applied: The highest index that it may answer.
        """

    def quota_usage(self) -> dict[str, int]:
        """By quota of the whole cluster, its open requests and those wanted."""

    def maintenance_report(self) -> MaintenanceReport | None:
        """What it knows of machines in maintenance, a new object each time; None while there are none."""


class VoterHost(MemberHost, Protocol):
    """The dispatcher of a voter, which also judges what is to be published."""

    def validate_document(self, name: str, content: dict[str, Any]) -> str:
        """Why a dispatcher could not use that content of a document; empty if it could."""


class MaintenanceCoordinator(Protocol):
    """Decides the next transitions of machines in maintenance, at the leader."""

    def propose_transitions(self, now: int) -> list[dict[str, Any]]:
        """The transitions to propose now; an empty list if there are none, or this is not the leader."""


class Member:
    """A member of the cluster: what it has applied of the log, and until when it may act on that.

    It reads no clock and does no I/O; its owner tells the time. Times are ticks of a tenth of a millisecond.

    Attributes:
        name: Its name in the cluster.
        incarnation: A random number of this process.
        started_at: When the process started.
        documents: The replicated documents, as far as the log is applied.
        lease_expires_at: It may act until then.
        changed_documents: Names of documents whose effective content changed since its owner cleared this.
        cluster_applied_index: Every member that may act has applied the log up to here.
        proposal_responses: Outcomes of proposals made here since its owner cleared this.
        rejection_reason: Why it was rejected by a voter; empty if it is not.
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
        """The index of the last log entry that is applied here."""
        return self.documents.last_applied

    def has_lease(self, now: int) -> bool:
        """Whether it may act on its documents. To be asked at each act, as a process may stand still."""
        return now < self.lease_expires_at

    def effective_content(self, document: str) -> dict[str, Any] | None:
        """What may be acted on of a document; None for the settings before any are active."""
        return self.documents.effective_content(document)

    def quiesced_index(self) -> int:
        """Up to which index its host's open requests keep within the quotas."""
        return self.host.quiesced_index(self.last_applied)

    def _extend_lease(self, expires_at: int) -> None:
        self.lease_expires_at = max(self.lease_expires_at, expires_at)

    def _restore_snapshot(self, snapshot: Snapshot) -> None:
        self.documents.restore(snapshot.state, snapshot.index)
        self.changed_documents.update((*DOCUMENTS, MACHINES))

    def _apply(self, entry: LogEntry) -> None:
        changed = self.documents.apply(self.last_applied + 1, entry)
        if changed:
            self.changed_documents.add(changed)
