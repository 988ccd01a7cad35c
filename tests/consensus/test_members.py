"""Single voters and followers, on a clock that the tests advance."""

from typing import Any

from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.follower import Follower
from crankfold.consensus.messages import (
    FollowerUpdate,
    LeaseGrant,
    Leave,
    LogEntry,
    Message,
    ProposalRequest,
    RequestVote,
)
from crankfold.consensus.raft_state import PersistentState
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter import Voter
from crankfold.document_names import SETTINGS
from crankfold.simulation.consensus.cluster import IdleHost, settings_document
from tests.fixtures import TraceTestCase


class StubValidationHost(IdleHost):
    """Returns the same validation error for every document; an empty one accepts all documents."""

    def __init__(self, error: str) -> None:
        self.error = error

    def validate_document(self, name: str, content: dict[str, Any]) -> str:  # noqa: ARG002 - the signature of the base class
        return self.error


class SingleMemberTest(TraceTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.timing = Timing(20_000)

    def make_voter(self, validation_error: str = "") -> Voter:
        """Returns the leader of a cluster in which it is the only voter."""
        voter = Voter(
            "v0",
            PersistentState(),
            {"v0": ""},
            timing=self.timing,
            now=0,
            seed=1,
            incarnation=5,
            folder_id="here",
            host=StubValidationHost(validation_error),
            initial_settings=settings_document("safe"),
        )
        self.now = 0
        self.run_until(voter, 60_000)
        return voter

    def make_follower(self, seed: int, incarnation: int, now: int | None = None) -> Follower:
        return Follower(
            "f",
            ["v0"],
            timing=self.timing,
            now=self.now if now is None else now,
            seed=seed,
            incarnation=incarnation,
            host=IdleHost(),
        )

    def run_until(self, voter: Voter, until: int) -> list[tuple[str, Message]]:
        messages: list[tuple[str, Message]] = []
        while self.now < until:
            self.now += 100
            voter.tick(self.now)
            ready = voter.take_ready(self.now)
            voter.advance(self.now, ready)
            messages += voter.take_immediate_messages() + ready.messages
        return messages

    def publish(
        self,
        voter: Voter,
        proposal_id: str,
        made_from: int,
        document: str = SETTINGS,
        content: dict[str, Any] | None = None,
    ) -> None:
        voter.propose(
            self.now,
            proposal_id,
            "publish",
            {
                "doc": document,
                "made_from": made_from,
                "author": "o",
                "reason": "r",
                "at": 0,
                "text": content or settings_document("unsafe"),
            },
        )

    def record_responses(self, voter: Voter) -> None:
        self.run_until(voter, self.now + 200)
        for response in voter.proposal_responses:
            self.record(
                f"{response.proposal_id}: "
                f"{'version ' + str(response.version_number) if response.accepted else response.reason}"
            )
        voter.proposal_responses.clear()

    def test_repeated_publish_has_one_outcome(self) -> None:
        voter = self.make_voter()
        self.record(f"at first {voter.documents.version_numbers()}")
        self.publish(voter, "a", 1)
        self.publish(voter, "b", 1)  # from another operator at the same time
        self.record_responses(voter)
        self.publish(voter, "a", 1)  # retransmitted after the response was dropped
        self.record_responses(voter)
        self.record(
            f"then {voter.documents.version_numbers()}, "
            f"{len(voter.documents.document(SETTINGS).versions)} in the history"
        )
        rejecting = self.make_voter("settings.service-grades: missing")
        self.publish(rejecting, "c", 1)
        self.record_responses(rejecting)
        self.assert_matches_trace("consensus-publish")

    def test_follower_gets_snapshot_and_second_process_of_its_name_is_rejected(self) -> None:
        voter = self.make_voter()
        for version in range(1, 160):
            self.publish(voter, f"c{version}", version)
            self.run_until(voter, self.now + 200)
        self.assertGreater(voter.raft.log.snapshot.index, 0)
        follower = self.make_follower(1, 9)
        self.exchange_messages(voter, follower)
        self.assertEqual(follower.documents.version_numbers(), voter.documents.version_numbers())
        self.assertTrue(follower.has_lease(self.now))
        # Another process with the same name is rejected while the first one holds its lease.
        second = self.make_follower(2, 10)
        self.exchange_messages(voter, second)
        self.assertFalse(second.has_lease(self.now))
        self.assertEqual(second.rejection_reason, "the name f is in use by another process")
        # A departing follower releases its name immediately.
        follower.leave(self.now)
        voter.receive(self.now, "f", Leave("f", 9))
        self.exchange_messages(voter, second)
        self.assertTrue(second.has_lease(self.now))

    # Guards against a voter that shows the reason of an old rejection when it is isolated later.
    def test_voter_clears_rejection_reason_when_granted_lease(self) -> None:
        voter = self.make_voter()
        voter.rejection_reason = "another folder"  # from before its election
        voter.receive(self.now, "v1", LeaseGrant(voter.raft.term, self.now, 1000, voter.last_applied))
        self.assertEqual(voter.rejection_reason, "")

    def exchange_messages(self, voter: Voter, follower: Follower) -> None:
        until = self.now + 5000
        while self.now < until:
            messages = self.run_until(voter, self.now + 100)
            for receiver, message in messages:
                if receiver == follower.name:
                    follower.receive(self.now, "v0", message)
            follower.tick(self.now)
            for _, message in follower.take_immediate_messages():
                voter.receive(self.now, follower.name, message)

    def test_lease_requested_by_earlier_process_is_ignored(self) -> None:
        follower = self.make_follower(1, 9, now=50_000)
        follower.receive(50_100, "v0", FollowerUpdate(49_000, 16_000, 0, None, [], 0, 0))
        self.assertFalse(follower.has_lease(50_100))
        follower.receive(50_100, "v0", FollowerUpdate(50_050, 16_000, 0, None, [], 0, 0))
        self.assertTrue(follower.has_lease(50_100))
        self.assertFalse(follower.has_lease(66_050))

    def change_voters_error(self, voter: Voter, voters: dict[str, str]) -> str:
        """Returns why the change to these voters is not permitted; empty if it is proposed."""
        try:
            voter.raft.change_voters(self.now, voters)
        except MembershipChangeError as error:
            return str(error)
        return ""

    def test_voters_change_one_at_a_time(self) -> None:
        voter = self.make_voter()
        self.record(self.change_voters_error(voter, {"v0": "", "v1": "", "v2": ""}))
        self.record(self.change_voters_error(voter, {}))
        self.record(self.change_voters_error(voter, {"v0": "", "v1": "x"}) or "taken")
        self.record(self.change_voters_error(voter, {"v0": "", "v1": "x", "v2": ""}))
        self.record(f"voters {sorted(voter.raft.voters)}")
        self.assert_matches_trace("consensus-voters")

    def test_voter_with_another_folder_is_not_admitted(self) -> None:
        voter = self.make_voter()
        self.record(voter.admit("v0", "here") or "admitted")
        self.record(voter.admit("v0", "elsewhere"))
        voter.documents.apply(99, LogEntry(1, "voters", {"voters": {}}))  # removes the voter
        self.record(voter.admit("v0", "elsewhere") or "admitted anew")
        self.assert_matches_trace("consensus-folders")

    def test_invalid_messages_from_unknown_senders_are_ignored(self) -> None:
        voter = self.make_voter()
        voter.receive(self.now, "x", ProposalRequest("z", "nonsense", {}))
        voter.receive(self.now, "x", RequestVote(0, 0, 0, False))
        self.assertTrue(voter.is_leader())
