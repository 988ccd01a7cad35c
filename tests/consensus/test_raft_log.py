"""The log of one Raft node: entries that are replaced, compacted, and synced while they change."""

import unittest

from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import LogEntry, Snapshot
from crankfold.consensus.raft_log import NO_TERM, RaftLog
from crankfold.consensus.raft_state import PersistentState

VOTERS = {"v0": "a", "v1": "b"}


def make_entry(term: int) -> LogEntry:
    return LogEntry(term, EntryKind.PUBLISH, {})


def make_voter_change(term: int, voters: dict[str, str]) -> LogEntry:
    return LogEntry(term, EntryKind.CHANGE_VOTERS, {"voters": voters})


class RaftLogTest(unittest.TestCase):
    def make_log(self, *terms: int) -> RaftLog:
        log = RaftLog(PersistentState(), VOTERS)
        log.write(1, [make_entry(term) for term in terms])
        return log

    def test_written_entries_replace_all_entries_from_their_index_on(self) -> None:
        log = self.make_log(1, 1, 1)
        log.synced_entries(1, list(log.entries))
        log.write(2, [make_entry(2)])
        self.assertEqual([log.term_at(index) for index in range(4)], [0, 1, 2, NO_TERM])
        self.assertEqual(log.durable_index, 1)

    def test_entries_replaced_during_sync_are_not_durable(self) -> None:
        log = self.make_log(1, 1, 1)
        entries_in_sync = list(log.entries)
        log.write(3, [make_entry(2)])
        log.synced_entries(1, entries_in_sync)
        self.assertEqual(log.durable_index, 2)

    def test_voters_follow_newest_change_until_it_is_replaced(self) -> None:
        log = self.make_log(1)
        log.write(2, [make_voter_change(1, {"v0": "a"})])
        self.assertEqual(log.voters, {"v0": "a"})
        log.write(2, [make_entry(2)])
        self.assertEqual(log.voters, VOTERS)

    def test_compacted_log_keeps_entries_after_its_snapshot(self) -> None:
        log = self.make_log(1, 2, 3)
        log.compact(2, b"state")
        self.assertEqual(log.snapshot, Snapshot(2, 2, VOTERS, b"state"))
        self.assertEqual((log.last_index(), log.term_at(1), log.term_at(3)), (3, NO_TERM, 3))
        self.assertEqual(log.entries_between(0, 9), [make_entry(3)])

    def test_installed_snapshot_keeps_later_entries_only_if_log_matches(self) -> None:
        for snapshot_term, last_index in ((2, 3), (4, 2)):
            log = self.make_log(1, 2, 3)
            log.install(Snapshot(2, snapshot_term, VOTERS, b""))
            self.assertEqual(log.last_index(), last_index)

    def test_retry_index_skips_all_entries_of_conflicting_term(self) -> None:
        log = self.make_log(1, 3, 3, 3)
        self.assertEqual(log.retry_index(prev_index=4, prev_term=2, commit_index=0), 1)
        self.assertEqual(log.retry_index(prev_index=4, prev_term=2, commit_index=2), 2)
        self.assertEqual(log.retry_index(prev_index=9, prev_term=5, commit_index=0), 4)

    def test_voters_change_one_at_a_time(self) -> None:
        log = self.make_log(1)
        log.check_voter_change({"v0": "a"}, commit_index=1)
        for voters in ({"v2": "c"}, {}):
            with self.assertRaises(MembershipChangeError):
                log.check_voter_change(voters, commit_index=1)
        log.write(2, [make_voter_change(1, {"v0": "a"})])
        with self.assertRaisesRegex(MembershipChangeError, "under way"):
            log.check_voter_change(VOTERS, commit_index=1)
