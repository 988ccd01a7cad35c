"""Registration of voters by the id of their storage folder.

A voter with a new folder has lost its votes and its log. In elections under its old name it could help elect
a leader without committed entries, so a voter whose folder is not the registered one does not vote.
"""

from typing import Protocol

from crankfold.consensus.log_entries import folder_ids_after
from crankfold.consensus.raft_log import RaftLog
from crankfold.consensus.versioned_documents import VersionedDocuments


class VoterRegistry(Protocol):
    """Decides whether a Raft node takes part in elections."""

    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:
        """Whether this node may take part in an election.

        Args:
            log: The log of this node.
            candidate_last_index: The last index of the candidate's log.
            founding_member: Whether this node voted while its log was empty.
        """

    def folder_ids_of(self, names: set[str]) -> dict[str, str]:
        """Returns the folder ids, by name, of those named voters that sent theirs in a `Hello`."""


class FolderRegistry:
    """Reads the registered folder ids from the log and the replicated documents.

    Attributes:
        name: The name of this voter.
        folder_id: The id of its folder.
        documents: The replicated documents, with the registered folder ids.
        folder_ids: The folder ids that voters sent in a `Hello`, by voter.
    """

    def __init__(self, name: str, folder_id: str, documents: VersionedDocuments) -> None:
        """Starts with the folder of the voter `name` alone."""
        self.name = name
        self.folder_id = folder_id
        self.documents = documents
        self.folder_ids = {name: folder_id}

    def admit(self, log: RaftLog, voter: str, folder_id: str) -> str:
        """Records the folder that a voter sent in its `Hello`, unless another one is registered.

        Returns:
            The reason why the voter is not admitted; empty if it is.
        """
        if self._registered(log).get(voter, folder_id) != folder_id:
            return f"{voter} is known by another folder; take the voter out and add it anew"
        self.folder_ids[voter] = folder_id
        return ""

    def _registered(self, log: RaftLog) -> dict[str, str]:
        """Returns the registered folder ids as of the last log entry.

        Includes uncommitted entries, because a node does not know its commit index after a start.
        """
        registered = self.documents.replicated.voter_folder_ids
        for entry in log.entries_between(self.documents.last_applied, log.last_index()):
            registered = folder_ids_after(registered, entry)
        return registered

    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:
        """Whether this voter is registered by its folder, is a founding member, or both logs are empty."""
        registered = self._registered(log).get(self.name)
        if registered:
            return registered == self.folder_id
        return founding_member or (candidate_last_index == 0 and log.last_index() == 0)

    def folder_ids_of(self, names: set[str]) -> dict[str, str]:
        """Returns the folder ids, by name, of those named voters that sent theirs in a `Hello`."""
        return {name: self.folder_ids[name] for name in names & self.folder_ids.keys()}

    def unregistered(self, voters: dict[str, str]) -> dict[str, str]:
        """Returns the folder ids, by name, of voters that sent one and that no applied entry registers."""
        registered = self.documents.replicated.voter_folder_ids
        return {
            name: folder_id
            for name, folder_id in self.folder_ids.items()
            if name in voters and name not in registered
        }
