"""Simulated clusters agree, or stop acting, whatever is lost or dies; planted faults are caught."""

import re
from dataclasses import replace
from typing import Any

from crankfold.consensus.messages import FollowerHeartbeat, Message
from crankfold.consensus.voter import Voter
from crankfold.document_names import SETTINGS
from crankfold.simulation.consensus.cluster import (
    ClusterCase,
    ClusterFault,
    ClusterFaultKind,
    SimulatedCluster,
    random_scenario,
)
from tests.consensus.planted_faults import CASES, planted_clusters
from tests.fixtures import TraceTestCase

# By planted fault, a seed of its case at which it shows.
CAUGHT_AT = {
    "answers before the disk": 36,
    "forgets a vote at a restart": 92,
    "votes twice": 1,
    "counts a lease from the answer's arrival": 0,
    "counts with a follower unheard": 1,
    "counts with a voter unheard": 2,
    "counts before old leases are over": 19,
    "acts on an old read": 0,
    "deals out a share twice": 1,
    "votes without its folder": 1,
}
VOTERS = ("v0", "v1", "v2")


class RandomSchedulesTest(TraceTestCase):
    def test_schedules_of_fixed_seeds_violate_no_invariant(self) -> None:
        longest = allocations = 0
        for seed in range(60):
            voters, followers = ((3, 2), (5, 3), (3, 6))[seed % 3]
            cluster = SimulatedCluster(
                random_scenario(
                    seed, voters, followers, allocates_quotas=seed % 2 == 1, publishes_limits=seed % 4 == 0
                )
            ).run()
            self.assertEqual(cluster.violations, [], f"seed {seed}")
            longest, allocations = (
                max(longest, cluster.longest_contradiction),
                allocations + cluster.allocation_count() * (seed % 4 == 0),
            )
        self.assertGreater(longest, 5000)  # the faults mattered
        self.assertGreater(allocations, 20)

    def test_every_planted_fault_is_caught_by_its_check_and_the_program_is_clean_there(self) -> None:
        for fault, (make_case, check) in CASES.items():
            scenario = make_case(CAUGHT_AT[fault])
            violations = planted_clusters(scenario)[fault]().run().violations
            self.assertTrue([text for text in violations if re.search(check, text)], f"{fault}: {violations}")
            self.assertEqual(SimulatedCluster(scenario).run().violations, [], fault)

    def test_the_same_seed_gives_the_same_run(self) -> None:
        first, second = (SimulatedCluster(random_scenario(7)).run() for _ in range(2))
        self.assertEqual(first.invariants.state_by_index, second.invariants.state_by_index)
        self.assertEqual(first.message_counts, second.message_counts)


class HardFaultsTest(TraceTestCase):
    def play(self, *faults: ClusterFault, **case: Any) -> SimulatedCluster:
        self.case = ClusterCase(
            **{
                "seconds": 12.0,
                "seed": 3,
                "publish_every": 0.3,
                "publish_until": 10,
                "with_load": False,
                **case,
            },
            faults=faults,
        )
        cluster = SimulatedCluster(self.case).run()
        self.assertEqual(cluster.violations, [])
        return cluster

    def leader_of(self, **case: Any) -> str:
        """Of the same case without faults, until they begin."""
        cluster = SimulatedCluster(
            ClusterCase(**{"seconds": 4.0, "seed": 3, "publish_every": 0.3, "with_load": False, **case})
        ).run()
        return next(
            name
            for name, process in cluster.processes.items()
            if isinstance(process.member, Voter) and process.member.is_leader()
        )

    def settings_versions(self, cluster: SimulatedCluster) -> set[tuple[int, int]]:
        return {
            process.member.documents.version_numbers().get(SETTINGS, (0, 0))
            for process in cluster.processes.values()
            if process.member
        }

    def test_a_leader_that_pauses_for_longer_than_its_lease_is_replaced(self) -> None:
        leader = self.leader_of()
        cluster = self.play(ClusterFault(ClusterFaultKind.PAUSE, 40_000, 65_000, leader))
        self.assertEqual(len(self.settings_versions(cluster)), 1)
        self.assertGreater(len(set(cluster.invariants.leaders_by_term.values())), 1)

    def test_a_voter_that_receives_but_cannot_send_misleads_nobody(self) -> None:
        leader = self.leader_of()
        for at in VOTERS:
            cluster = self.play(ClusterFault(ClusterFaultKind.LOSS, 40_000, 90_000, at))
            self.assertEqual(len(self.settings_versions(cluster)), 1)
            if at != leader:  # the others keep their leader
                self.assertEqual(len(set(cluster.invariants.leaders_by_term.values())), 1)

    def test_two_voters_that_reach_only_the_third_do_not_unseat_each_other(self) -> None:
        losses = [
            ClusterFault(ClusterFaultKind.LOSS, 30_000, 90_000, a, b) for a, b in (("v0", "v2"), ("v2", "v0"))
        ]
        cluster = self.play(*losses)
        self.assertEqual(len(self.settings_versions(cluster)), 1)
        self.assertLess(
            len(cluster.invariants.leaders_by_term), 5
        )  # the two do not go on unseating one another

    def test_a_link_that_flaps_faster_than_an_election_does_not_raise_terms(self) -> None:
        losses = [
            ClusterFault(ClusterFaultKind.LOSS, begin, begin + 1000, *ends)
            for begin in range(30_000, 90_000, 2000)
            for ends in (("v2", ""), ("", "v2"))
        ]
        cluster = self.play(*losses)
        self.assertEqual(len(self.settings_versions(cluster)), 1)
        self.assertLess(len(cluster.invariants.leaders_by_term), 5)

    def test_without_a_majority_nobody_acts(self) -> None:
        dead = [ClusterFault(ClusterFaultKind.KILL, 30_000, 90_000, voter) for voter in ("v0", "v1")]
        has_lease: list[int] = []
        cluster = SimulatedCluster(
            replace(ClusterCase(seconds=12.0, seed=3, with_load=False), faults=tuple(dead))
        )
        cluster.events.schedule(
            60_000,
            lambda: has_lease.extend(
                process.member.has_lease(process.local_time())
                for process in cluster.processes.values()
                if process.member
            ),
        )
        cluster.run()
        self.assertEqual((has_lease, cluster.violations), ([False] * 3, []))
        self.assertTrue(
            all(
                process.member and process.member.has_lease(process.local_time())
                for process in cluster.processes.values()
            )
        )

    def test_all_voters_die_at_once_and_restart_in_any_order(self) -> None:
        for order in ((0, 5000, 9000), (9000, 5000, 0), (0, 0, 0)):
            cluster = self.play(
                *(
                    ClusterFault(ClusterFaultKind.KILL, 40_000, 45_000 + later, voter)
                    for voter, later in zip(VOTERS, order, strict=True)
                )
            )
            self.assertEqual(len(self.settings_versions(cluster)), 1)

    def test_a_leader_is_elected_though_storage_takes_longer_than_an_election(self) -> None:
        leaderless = 0
        for seed in range(12):
            cluster = SimulatedCluster(
                ClusterCase(
                    follower_count=0, seconds=8.0, seed=seed, with_load=False, disk_write_range=(4000, 9000)
                )
            ).run()
            self.assertEqual(cluster.violations, [])
            members = [process.member for process in cluster.processes.values()]
            leaderless += not any(isinstance(m, Voter) and m.is_leader() for m in members)
        self.assertEqual(leaderless, 0)

    def test_a_loss_of_a_twentieth_of_all_messages_changes_little(self) -> None:
        cluster = self.play(ClusterFault(ClusterFaultKind.LOSS, 0, 120_000, magnitude=0.05))
        accepted = [response for response in cluster.outcomes.values() if response.accepted]
        self.assertGreater(len(accepted), 20)
        self.assertLessEqual(len(cluster.invariants.leaders_by_term), 3)

    def test_two_hundred_followers_that_lose_a_voter_do_not_switch_at_once(self) -> None:
        cluster = SimulatedCluster(
            ClusterCase(
                follower_count=200,
                seconds=8.0,
                with_load=False,
                publish_every=99.0,
                faults=(ClusterFault(ClusterFaultKind.KILL, 40_000, 200_000, "v2"),),
            )
        )
        senders_by_slot: dict[tuple[str, int], set[str]] = {}
        deliver = cluster._message_arrived

        def count_and_deliver(sender: str, receiver: str, message: Message) -> None:
            if isinstance(message, FollowerHeartbeat) and cluster.events.now > 40_000:
                senders_by_slot.setdefault((receiver, cluster.events.now // 100), set()).add(sender)
            deliver(sender, receiver, message)

        cluster._message_arrived = count_and_deliver  # type: ignore[method-assign]
        cluster.run()
        self.assertEqual(cluster.violations, [])
        most_senders = max(len(senders) for (to, _), senders in senders_by_slot.items() if to != "v2")
        self.assertLess(most_senders, 25)  # in any 10 ms, of 67 that switched and 67 that were there
        self.assertTrue(
            all(
                process.member and process.member.has_lease(process.local_time())
                for name, process in cluster.processes.items()
                if name != "v2"
            )
        )
