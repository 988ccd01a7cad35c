"""By which folder each voter is known: a voter that lost its folder has forgotten its votes and its log.

Such a voter must not take part in elections under its old name, or a majority could forget what it committed.
"""

from typing import Protocol

from crankfold.consensus.log_entries import folder_ids_after
from crankfold.consensus.raft_log import RaftLog
from crankfold.consensus.versioned_documents import VersionedDocuments


class VoterRegistry(Protocol):
    """What a Raft node asks about the voters."""

    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:
        """Whether this node, with that log, may take part in an election.

        Args:
            log: Of this node.
            candidate_last_index: How long the candidate's log is.
            founding_member: Whether this node voted before there was any log.
        """

    def folder_ids_of(self, names: set[str]) -> dict[str, str]:
        """The folder ids of those of the voters that showed theirs."""


class FolderRegistry:
    """Binds voters' names to folder ids, by the log.

    Attributes:
        folder_ids: By voter, as each showed its own when it connected.
    """

    def __init__(self, name: str, folder_id: str, documents: VersionedDocuments) -> None:
        """For the voter of that name and folder, whose applied log entries made `documents`."""
        self.name = name
        self.folder_id = folder_id
        self.documents = documents
        self.folder_ids = {name: folder_id}

    def admission_error(self, log: RaftLog, voter: str, folder_id: str) -> str:
        """Why a voter with that folder may not vote under that name; empty if it may."""
        if self._registered(log).get(voter, folder_id) != folder_id:
            return f"{voter} is known by another folder; take the voter out and add it anew"
        self.folder_ids[voter] = folder_id
        return ""

    def _registered(self, log: RaftLog) -> dict[str, str]:
        """By the whole log: after a start nobody knows yet how much of it is committed."""
        registered = self.documents.replicated.voter_folder_ids
        for entry in log.entries_between(self.documents.last_applied, log.last_index()):
            registered = folder_ids_after(registered, entry)
        return registered

    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:
        """Whether it is registered by its folder, voted before there was a log, or there is no log yet."""
        registered = self._registered(log).get(self.name)
        if registered:
            return registered == self.folder_id
        return founding_member or (candidate_last_index == 0 and log.last_index() == 0)

    def folder_ids_of(self, names: set[str]) -> dict[str, str]:
        """The folder ids of those of the voters that showed theirs."""
        return {name: self.folder_ids[name] for name in names & self.folder_ids.keys()}

    def unregistered(self, voters: dict[str, str]) -> dict[str, str]:
        """Folder ids of those of the voters that showed one and are not registered by the applied log."""
        registered = self.documents.replicated.voter_folder_ids
        return {
            name: folder_id
            for name, folder_id in self.folder_ids.items()
            if name in voters and name not in registered
        }
