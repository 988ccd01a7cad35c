"""The keys of the cluster status in the admin API, and their order."""

import unittest

from crankfold.cluster.status import cluster_status
from crankfold.consensus.follower import Follower
from crankfold.consensus.messages import FollowerHeartbeat, LeaseHolderStatus, MembershipGossip
from crankfold.consensus.raft_state import PersistentState
from crankfold.consensus.timing import Timing
from crankfold.consensus.voter import Voter
from crankfold.simulation.consensus.cluster import IdleHost, settings_document

TIMING = Timing(20_000)
COMMON_KEYS = ["name", "acts", "why-not", "applied", "lease-ms", "versions"]


class ClusterStatusTest(unittest.TestCase):
    def make_leader(self) -> Voter:
        voter = Voter(
            "v0",
            PersistentState(),
            {"v0": ""},
            timing=TIMING,
            now=0,
            seed=1,
            incarnation=5,
            folder_id="here",
            host=IdleHost(),
            initial_settings=settings_document("safe"),
        )
        for now in range(100, 60_000, 100):
            voter.tick(now)
            voter.advance(now, voter.take_ready(now))
        return voter

    def test_leader_status_lists_voters_and_all_lease_holders(self) -> None:
        leader = self.make_leader()
        leader.receive(60_000, "f", FollowerHeartbeat("f", 7, 1, 0, 0, {}))
        leader.receive(60_000, "v1", MembershipGossip([LeaseHolderStatus("g", 8, 20_000, 1, "there", {})]))
        status = cluster_status(leader, 60_100, acts=True, inactive_reason="")
        self.assertEqual(
            list(status), [*COMMON_KEYS, "leader", "term", "voters", "leases-ms", "lag", "members"]
        )
        self.assertEqual(status["versions"], {"settings": {"counts": 1, "newest": 1}})
        own, remote = status["members"]
        self.assertEqual(list(own), ["name", "state", "incarnation", "for-s", "heard-ms-ago", "lag", "at"])
        self.assertEqual((own["name"], own["heard-ms-ago"], own["at"]), ("f", 10, "v0"))
        self.assertEqual(list(remote), ["name", "state", "incarnation", "for-s", "lag", "at"])
        self.assertEqual((remote["name"], remote["for-s"], remote["at"]), ("g", 2, "v1"))

    def test_follower_status_names_its_voter(self) -> None:
        follower = Follower("f", ["v0"], timing=TIMING, now=0, seed=1, incarnation=1, host=IdleHost())
        status = cluster_status(follower, 0, acts=False, inactive_reason="no lease")
        self.assertEqual(list(status), [*COMMON_KEYS, "voter", "leader"])
        self.assertEqual((status["voter"], status["leader"], status["why-not"]), ("v0", "", "no lease"))
