"""Model checking of a small cluster of Raft nodes: all orders of events up to a limited depth."""

import unittest

from crankfold.consensus.messages import RequestVote
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_state import PersistentState
from crankfold.simulation.consensus import model_checker
from crankfold.simulation.consensus.model_checker import MoveKind

VOTERS = ("v0", "v1", "v2")


class DoubleVotingRaft(Raft):
    def _handle_request_vote(self, now: int, sender: str, request: RequestVote) -> None:
        self.vote = "" if request.term == self.term and not request.pre_vote else self.vote
        super()._handle_request_vote(now, sender, request)


class ModelCheckerTest(unittest.TestCase):
    def test_every_order_of_events_in_small_cluster_is_safe(self) -> None:
        states, violation = model_checker.explore(
            5,
            {
                MoveKind.PUBLISH: 2,
                MoveKind.CRASH: 1,
                MoveKind.TIME_OUT: 2,
                MoveKind.LOSE: 1,
                MoveKind.HEARTBEAT: 1,
            },
        )
        self.assertEqual(violation, "")
        self.assertGreater(states, 5000)

    def test_node_that_votes_twice_in_a_term_is_detected(self) -> None:
        def make_node(name: str, stored: PersistentState) -> Raft:
            return DoubleVotingRaft(
                name,
                stored,
                {voter: "" for voter in VOTERS},
                timing=model_checker.TIMING,
                now=0,
                seed=1,
                registry=model_checker.EveryoneMayVote(),
            )

        _, violation = model_checker.explore(10, {MoveKind.TIME_OUT: 2}, node_factory=make_node)
        self.assertRegex(violation, "lead in term")
