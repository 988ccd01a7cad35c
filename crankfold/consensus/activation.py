"""When a version becomes active: once all members that may act have applied it."""

from crankfold.consensus.conservative_merge import QUOTAS
from crankfold.consensus.leader_leases import LeaderLeases
from crankfold.consensus.leases import AppliedBounds
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.raft import Raft
from crankfold.consensus.timing import Timing
from crankfold.consensus.versioned_documents import DocumentVersion, VersionedDocuments


class VersionActivator:
    """Proposes at the leader that pending versions become active.

    Quotas bind the open requests too: a member's requests must also keep within them, which those admitted
    under an earlier allocation may not.
    """

    def __init__(
        self, raft: Raft, documents: VersionedDocuments, timing: Timing, leases: LeaderLeases
    ) -> None:
        """For the node that `raft` is; `leases` are those that it granted as the leader."""
        self._raft = raft
        self._documents = documents
        self._timing = timing
        self._leases = leases
        self._proposed: set[tuple[str, int]] = set()  # document and version

    def reset(self) -> None:
        """A new term as leader begins."""
        self._proposed = set()

    def propose_due(self, now: int, own: AppliedBounds) -> None:
        """Proposes to activate the versions that all have applied.

        Args:
            now: The time.
            own: The bounds of the leader and of all that hold leases from it.
        """
        earlier_leases_until = self._raft.leader_since + self._timing.lease_expiry_wait
        if now < earlier_leases_until:
            return  # members may act by leases of an earlier leader, who knows what they have applied
        reports = self._leases.reports_until(now)
        lowest_applied = min([own.lowest_applied, *(report.lowest_applied_index for report in reports)])
        self._raft.cluster_applied_index = max(self._raft.cluster_applied_index, lowest_applied)
        for name, version in self._documents.pending_versions():
            if (name, version.number) in self._proposed:
                continue
            if name == QUOTAS:
                due = self._lowest_quiesced(now, own) >= version.index
            else:
                due = lowest_applied >= version.index
            if due:
                self._propose(now, name, version)

    def _lowest_quiesced(self, now: int, own: AppliedBounds) -> int:
        """Within which index all requests keep to the quotas, those of expired leases too."""
        request_duration = self._documents.max_request_duration()
        earlier_leases_until = self._raft.leader_since + self._timing.lease_expiry_wait
        if now < earlier_leases_until + request_duration:
            return 0
        reports = self._leases.reports_until(now, request_duration)
        return min([own.quiesced, *(report.quiesced_index for report in reports)])

    def _propose(self, now: int, name: str, version: DocumentVersion) -> None:
        self._proposed.add((name, version.number))
        self._raft.propose(now, EntryKind.ACTIVATE, {"doc": name, "number": version.number})
