"""Activation of pending versions that every member with a lease has applied.

Times are ticks of a tenth of a millisecond.
"""

from crankfold.consensus.leader_leases import LeaderLeases
from crankfold.consensus.leases import AppliedBounds
from crankfold.consensus.log_entries import ActivateData, EntryKind, entry_data
from crankfold.consensus.raft import Raft
from crankfold.consensus.versioned_documents import DocumentVersion, VersionedDocuments
from crankfold.document_names import QUOTAS


class VersionActivator:
    """Proposes the activation of pending versions while its voter leads.

    An allocation of quotas also waits until the open requests of each member, which may have been admitted
    under an earlier allocation, keep within it.
    """

    def __init__(self, raft: Raft, documents: VersionedDocuments, leases: LeaderLeases) -> None:
        """Starts without proposed activations.

        Args:
            raft: The Raft node of the voter.
            documents: The replicated documents of the voter.
            leases: The leases that the voter grants as the leader.
        """
        self._raft = raft
        self._documents = documents
        self._leases = leases
        self._proposed: set[tuple[str, int]] = set()  # pairs of document name and version number

    def reset(self) -> None:
        """Forgets which activations were proposed, at the start of a term as leader."""
        self._proposed = set()

    def propose_due(self, now: int, own: AppliedBounds) -> None:
        """Proposes to activate the versions that every member with a lease has applied.

        Args:
            now: The current time.
            own: The bounds of the leader and the holders of its leases.
        """
        if now < self._raft.timing.earlier_leases_until(self._raft.leader_since):
            return  # members may hold leases from an earlier leader, and their applied index is unknown
        reports = self._leases.leased_reports(now)
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
                self._activate(now, name, version)

    def _lowest_quiesced(self, now: int, own: AppliedBounds) -> int:
        """Returns the index of the quotas that all open requests, also under expired leases, keep within."""
        request_duration = self._documents.max_request_duration()
        if now < self._raft.timing.earlier_leases_until(self._raft.leader_since) + request_duration:
            return 0
        reports = self._leases.leased_reports(now, request_duration)
        return min([own.quiesced, *(report.quiesced_index for report in reports)])

    def _activate(self, now: int, name: str, version: DocumentVersion) -> None:
        self._proposed.add((name, version.number))
        data = entry_data(ActivateData(name, version.number))
        self._raft.propose(now, EntryKind.ACTIVATE, data)
