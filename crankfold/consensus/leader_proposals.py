"""The log entries that a leader proposes by itself: initial settings, folders, activations and quotas.

Times are ticks of a tenth of a millisecond.
"""

from crankfold.consensus.activation import VersionActivator
from crankfold.consensus.leader_leases import LeaderLeases
from crankfold.consensus.leases import AppliedBounds
from crankfold.consensus.log_entries import EntryKind, PublishData, RegisterFolderData, entry_data
from crankfold.consensus.messages import DocumentContent, LeaseHolderStatus
from crankfold.consensus.quotas import QuotaAllocator
from crankfold.consensus.raft import Raft
from crankfold.consensus.versioned_documents import VersionedDocuments
from crankfold.document_names import SETTINGS

FIRST_SETTINGS_PROPOSAL_ID = "begin"  # the same for each leader, so that only one proposal takes effect


class LeaderProposals:
    """Proposes each entry once in a term; a later leader proposes uncommitted ones again."""

    def __init__(
        self,
        raft: Raft,
        documents: VersionedDocuments,
        leases: LeaderLeases,
        initial_settings: DocumentContent | None,
    ) -> None:
        """Starts without proposals.

        Args:
            raft: The Raft node of the voter.
            documents: The replicated documents of the voter.
            leases: The leases that the voter grants as the leader.
            initial_settings: The settings to propose if none were published; None to propose none.
        """
        self._raft = raft
        self._documents = documents
        self._initial_settings = initial_settings
        self._activator = VersionActivator(raft, documents, leases)
        self._quota_allocator = QuotaAllocator(raft, documents)
        self._settings_proposed = False
        self._folders_proposed: set[str] = set()

    def reset(self) -> None:
        """Forgets which entries were proposed, at the start of a term as leader."""
        self._activator.reset()
        self._settings_proposed = False
        self._folders_proposed = set()

    def propose_first_settings(self, now: int) -> None:
        """Proposes the initial settings if no settings were published."""
        if self._initial_settings is None or self._settings_proposed:
            return
        if self._documents.document(SETTINGS).versions:
            return
        self._settings_proposed = True
        data = PublishData(
            call=FIRST_SETTINGS_PROPOSAL_ID,
            doc=SETTINGS,
            made_from=0,
            author=self._raft.name,
            reason="what the fleet begins with",
            at=0,
            text=self._initial_settings,
        )
        self._raft.propose(now, EntryKind.PUBLISH, entry_data(data))

    def propose_folders(self, now: int, unregistered: dict[str, str]) -> None:
        """Proposes to register the folder ids of `unregistered` voters, by name."""
        for name, folder_id in unregistered.items():
            if name not in self._folders_proposed:
                self._folders_proposed.add(name)
                data = entry_data(RegisterFolderData(name, folder_id))
                self._raft.propose(now, EntryKind.REGISTER_FOLDER, data)

    def propose_activations(self, now: int, own: AppliedBounds) -> None:
        """Proposes to activate pending versions; `own` are the bounds of the leader and its lease holders."""
        self._activator.propose_due(now, own)

    def propose_quotas(self, now: int, alive: list[LeaseHolderStatus]) -> None:
        """Proposes an allocation of the quotas to the `alive` members, if one is due."""
        self._quota_allocator.propose_if_due(now, alive)
