"""The log of one Raft node: entries replaced, compacted, and synced while they change."""

import unittest

from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_log import NO_TERM, RaftLog
from crankfold.consensus.raft_state import PersistentState

VOTERS = {"v0": "a", "v1": "b"}


def entry(term: int) -> LogEntry:
    return LogEntry(term, EntryKind.PUBLISH, {})


def voter_change(term: int, voters: dict[str, str]) -> LogEntry:
    return LogEntry(term, EntryKind.CHANGE_VOTERS, {"voters": voters})


class RaftLogTest(unittest.TestCase):
    def log_with(self, *terms: int) -> RaftLog:
        log = RaftLog(PersistentState(), VOTERS)
        log.write(1, [entry(term) for term in terms])
        return log

    def test_written_entries_replace_what_stood_there(self) -> None:
        log = self.log_with(1, 1, 1)
        log.synced_entries(1, list(log.entries))
        log.write(2, [entry(2)])
        self.assertEqual([log.term_at(index) for index in range(4)], [0, 1, 2, NO_TERM])
        self.assertEqual(log.durable_index, 1)

    def test_entries_that_were_replaced_while_they_were_stored_do_not_count_as_durable(self) -> None:
        log = self.log_with(1, 1, 1)
        stored = list(log.entries)
        log.write(3, [entry(2)])
        log.synced_entries(1, stored)
        self.assertEqual(log.durable_index, 2)

    def test_voters_are_those_of_the_newest_change_until_it_is_replaced(self) -> None:
        log = self.log_with(1)
        log.write(2, [voter_change(1, {"v0": "a"})])
        self.assertEqual(log.voters, {"v0": "a"})
        log.write(2, [entry(2)])
        self.assertEqual(log.voters, VOTERS)

    def test_a_compacted_log_keeps_the_entries_after_its_snapshot(self) -> None:
        log = self.log_with(1, 2, 3)
        log.compact(2, b"state")
        self.assertEqual(log.snapshot, Snapshot(2, 2, VOTERS, b"state"))
        self.assertEqual((log.last_index(), log.term_at(1), log.term_at(3)), (3, NO_TERM, 3))
        self.assertEqual(log.entries_between(0, 9), [entry(3)])

    def test_an_installed_snapshot_keeps_later_entries_only_where_the_logs_agree(self) -> None:
        for snapshot_term, last_index in ((2, 3), (4, 2)):
            log = self.log_with(1, 2, 3)
            log.install(Snapshot(2, snapshot_term, VOTERS, b""))
            self.assertEqual(log.last_index(), last_index)

    def test_a_mismatch_is_retried_before_the_whole_conflicting_term(self) -> None:
        log = self.log_with(1, 3, 3, 3)
        self.assertEqual(log.retry_index(prev_index=4, prev_term=2, commit_index=0), 1)
        self.assertEqual(log.retry_index(prev_index=4, prev_term=2, commit_index=2), 2)
        self.assertEqual(log.retry_index(prev_index=9, prev_term=5, commit_index=0), 4)

    def test_only_one_voter_changes_at_a_time(self) -> None:
        log = self.log_with(1)
        log.check_voter_change({"v0": "a"}, commit_index=1)
        for voters in ({"v2": "c"}, {}):
            with self.assertRaises(MembershipChangeError):
                log.check_voter_change(voters, commit_index=1)
        log.write(2, [voter_change(1, {"v0": "a"})])
        with self.assertRaisesRegex(MembershipChangeError, "under way"):
            log.check_voter_change(VOTERS, commit_index=1)
