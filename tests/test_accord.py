"""Members agree, or stop acting, whatever is lost or dies; and the checks that say so find planted faults."""

import re
from dataclasses import replace
from typing import Any

import msgspec

from crankfold.consensus.conservative_merge import QUOTAS, SETTINGS, conservative_merge
from crankfold.consensus.errors import MembershipChangeError
from crankfold.consensus.follower import Follower
from crankfold.consensus.messages import (
    FollowerHeartbeat,
    FollowerUpdate,
    Leave,
    LogEntry,
    Message,
    ProposalRequest,
    RequestVote,
)
from crankfold.consensus.quotas import allocate_quotas
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_state import PersistentState
from crankfold.consensus.timing import Timing
from crankfold.consensus.versioned_documents import VersionedDocuments
from crankfold.consensus.voter import Voter
from crankfold.simulation import model_checker
from crankfold.simulation.consensus_cluster import (
    ClusterCase,
    ClusterFault,
    ClusterFaultKind,
    IdleHost,
    SimulatedCluster,
    random_scenario,
    settings_document,
)
from crankfold.simulation.model_checker import MoveKind
from tests.planted import CASES, fleets
from tests.scene import Kept

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


class Drawn(Kept):
    def test_schedules_of_fixed_seeds_keep_every_promise(self) -> None:
        longest = dealt = 0
        for seed in range(60):
            voters, followers = ((3, 2), (5, 3), (3, 6))[seed % 3]
            fleet = SimulatedCluster(
                random_scenario(
                    seed, voters, followers, allocates_quotas=seed % 2 == 1, publishes_limits=seed % 4 == 0
                )
            ).run()
            self.assertEqual(fleet.violations, [], f"seed {seed}")
            longest, dealt = (
                max(longest, fleet.longest_contradiction),
                dealt + fleet.allocation_count() * (seed % 4 == 0),
            )
        self.assertGreater(longest, 5000)  # the troubles were some
        self.assertGreater(dealt, 20)

    def test_every_planted_fault_is_caught_by_its_check_and_the_product_is_clean_there(self) -> None:
        for fault, (case, check) in CASES.items():
            drawn = case(CAUGHT_AT[fault])
            broken = fleets(drawn)[fault]().run().violations
            self.assertTrue([b for b in broken if re.search(check, b)], f"{fault}: {broken}")
            self.assertEqual(SimulatedCluster(drawn).run().violations, [], fault)

    def test_the_same_seed_gives_the_same_day(self) -> None:
        one, other = (SimulatedCluster(random_scenario(7)).run() for _ in range(2))
        self.assertEqual(one.invariants.state_by_index, other.invariants.state_by_index)
        self.assertEqual(one.message_counts, other.message_counts)


class VotesTwice(Raft):
    def _handle_request_vote(self, now: int, sender: str, ask: RequestVote) -> None:
        self.vote = "" if ask.term == self.term and not ask.pre_vote else self.vote
        super()._handle_request_vote(now, sender, ask)


class Small(Kept):
    def test_all_orders_of_a_small_case(self) -> None:
        states, wrong = model_checker.explore(
            5,
            {
                MoveKind.PUBLISH: 2,
                MoveKind.CRASH: 1,
                MoveKind.TIME_OUT: 2,
                MoveKind.LOSE: 1,
                MoveKind.HEARTBEAT: 1,
            },
        )
        self.assertEqual(wrong, "")
        self.assertGreater(states, 5000)

    def test_the_search_finds_a_voter_that_votes_twice(self) -> None:
        def begin(name: str, stored: PersistentState) -> Raft:
            return VotesTwice(
                name,
                stored,
                {voter: "" for voter in VOTERS},
                timing=model_checker.TIMING,
                now=0,
                seed=1,
                registry=model_checker.EveryoneMayVote(),
            )

        _, wrong = model_checker.explore(10, {MoveKind.TIME_OUT: 2}, node_factory=begin)
        self.assertRegex(wrong, "lead in term")


class HardCases(Kept):
    def play(self, *troubles: ClusterFault, **case: Any) -> SimulatedCluster:
        self.case = ClusterCase(
            **{
                "seconds": 12.0,
                "seed": 3,
                "publish_every": 0.3,
                "publish_until": 10,
                "with_load": False,
                **case,
            },
            faults=troubles,
        )
        fleet = SimulatedCluster(self.case).run()
        self.assertEqual(fleet.violations, [])
        return fleet

    def leader_of(self, **case: Any) -> str:
        """Of the same case without troubles, until the trouble comes."""
        fleet = SimulatedCluster(
            ClusterCase(**{"seconds": 4.0, "seed": 3, "publish_every": 0.3, "with_load": False, **case})
        ).run()
        return next(
            name
            for name, p in fleet.processes.items()
            if isinstance(p.member, Voter) and p.member.is_leader()
        )

    def agreed(self, fleet: SimulatedCluster) -> set[tuple[int, int]]:
        return {
            p.member.documents.version_numbers().get(SETTINGS, (0, 0))
            for p in fleet.processes.values()
            if p.member
        }

    def test_the_leader_sleeps_in_the_middle_of_a_publish_for_longer_than_its_lease(self) -> None:
        leader = self.leader_of()
        fleet = self.play(ClusterFault(ClusterFaultKind.PAUSE, 40_000, 65_000, leader))
        self.assertEqual(len(self.agreed(fleet)), 1)
        self.assertGreater(len(set(fleet.invariants.leaders_by_term.values())), 1)

    def test_one_that_hears_and_is_not_heard(self) -> None:
        leader = self.leader_of()
        for at in VOTERS:
            fleet = self.play(ClusterFault(ClusterFaultKind.LOSS, 40_000, 90_000, at))
            self.assertEqual(len(self.agreed(fleet)), 1)
            if at != leader:  # nobody else is led astray
                self.assertEqual(len(set(fleet.invariants.leaders_by_term.values())), 1)

    def test_two_halves_that_each_reach_one_common_voter(self) -> None:
        cut = [
            ClusterFault(ClusterFaultKind.LOSS, 30_000, 90_000, a, b) for a, b in (("v0", "v2"), ("v2", "v0"))
        ]
        fleet = self.play(*cut)
        self.assertEqual(len(self.agreed(fleet)), 1)
        self.assertLess(
            len(fleet.invariants.leaders_by_term), 5
        )  # the two do not go on unseating one another

    def test_a_link_that_flaps_faster_than_an_election(self) -> None:
        cut = [
            ClusterFault(ClusterFaultKind.LOSS, at, at + 1000, *ends)
            for at in range(30_000, 90_000, 2000)
            for ends in (("v2", ""), ("", "v2"))
        ]
        fleet = self.play(*cut)
        self.assertEqual(len(self.agreed(fleet)), 1)
        self.assertLess(len(fleet.invariants.leaders_by_term), 5)

    def test_the_majority_is_gone_for_a_while_and_nobody_acts(self) -> None:
        gone = [ClusterFault(ClusterFaultKind.KILL, 30_000, 90_000, voter) for voter in ("v0", "v1")]
        held: list[int] = []
        fleet = SimulatedCluster(
            replace(ClusterCase(seconds=12.0, seed=3, with_load=False), faults=tuple(gone))
        )
        fleet.events.schedule(
            60_000,
            lambda: held.extend(
                p.member.has_lease(p.local_time()) for p in fleet.processes.values() if p.member
            ),
        )
        fleet.run()
        self.assertEqual((held, fleet.violations), ([False] * 3, []))
        self.assertTrue(
            all(p.member and p.member.has_lease(p.local_time()) for p in fleet.processes.values())
        )

    def test_all_voters_die_at_once_and_come_back_in_any_order(self) -> None:
        for order in ((0, 5000, 9000), (9000, 5000, 0), (0, 0, 0)):
            fleet = self.play(
                *(
                    ClusterFault(ClusterFaultKind.KILL, 40_000, 45_000 + later, voter)
                    for voter, later in zip(VOTERS, order, strict=True)
                )
            )
            self.assertEqual(len(self.agreed(fleet)), 1)

    def test_a_leader_is_found_though_disks_take_longer_than_elections(self) -> None:
        late = 0
        for seed in range(12):
            fleet = SimulatedCluster(
                ClusterCase(
                    follower_count=0, seconds=8.0, seed=seed, with_load=False, disk_write_range=(4000, 9000)
                )
            ).run()
            self.assertEqual(fleet.violations, [])
            members = [p.member for p in fleet.processes.values()]
            late += not any(isinstance(m, Voter) and m.is_leader() for m in members)
        self.assertEqual(late, 0)

    def test_losses_of_a_twentieth_are_lived_with(self) -> None:
        fleet = self.play(ClusterFault(ClusterFaultKind.LOSS, 0, 120_000, magnitude=0.05))
        well = [told for told in fleet.outcomes.values() if told.accepted]
        self.assertGreater(len(well), 20)
        self.assertLessEqual(len(fleet.invariants.leaders_by_term), 3)

    def test_two_hundred_that_lose_their_voter_do_not_fall_on_the_next_at_once(self) -> None:
        fleet = SimulatedCluster(
            ClusterCase(
                follower_count=200,
                seconds=8.0,
                with_load=False,
                publish_every=99.0,
                faults=(ClusterFault(ClusterFaultKind.KILL, 40_000, 200_000, "v2"),),
            )
        )
        came: dict[tuple[str, int], set[str]] = {}
        arrive = fleet._message_arrived

        def counted(sender: str, receiver: str, message: Message) -> None:
            if isinstance(message, FollowerHeartbeat) and fleet.events.now > 40_000:
                came.setdefault((receiver, fleet.events.now // 100), set()).add(sender)
            arrive(sender, receiver, message)

        fleet._message_arrived = counted  # type: ignore[method-assign]
        fleet.run()
        self.assertEqual(fleet.violations, [])
        most = max(len(senders) for (to, _), senders in came.items() if to != "v2")
        self.assertLess(most, 25)  # in any 10 ms, of 67 that turned and 67 that were there
        self.assertTrue(
            all(
                p.member and p.member.has_lease(p.local_time())
                for name, p in fleet.processes.items()
                if name != "v2"
            )
        )


class PickyHost(IdleHost):
    """Finds the same fault with each document."""

    def __init__(self, fault: str) -> None:
        self.fault = fault

    def validate_document(self, name: str, content: dict[str, Any]) -> str:
        return self.fault


class Alone(Kept):
    """Single members, told the time by hand."""

    def setUp(self) -> None:
        super().setUp()
        self.timing = Timing(20_000)

    def voter(self, check: str = "") -> Voter:
        """Leads alone, as the only one: its own majority."""
        voter = Voter(
            "v0",
            PersistentState(),
            {"v0": ""},
            timing=self.timing,
            now=0,
            seed=1,
            incarnation=5,
            folder_id="here",
            host=PickyHost(check),
            initial_settings=settings_document("safe"),
        )
        self.now = 0
        self.turn(voter, 60_000)
        return voter

    def follower(self, seed: int, incarnation: int, now: int | None = None) -> Follower:
        return Follower(
            "f",
            ["v0"],
            timing=self.timing,
            now=self.now if now is None else now,
            seed=seed,
            incarnation=incarnation,
            host=IdleHost(),
        )

    def turn(self, voter: Voter, upto: int) -> list[tuple[str, Message]]:
        sent: list[tuple[str, Message]] = []
        while self.now < upto:
            self.now += 100
            voter.tick(self.now)
            batch = voter.take_ready(self.now)
            voter.advance(self.now, batch)
            sent += voter.take_immediate_messages() + batch.messages
        return sent

    def publish(
        self, voter: Voter, call: str, made_from: int, doc: str = SETTINGS, text: dict[str, Any] | None = None
    ) -> None:
        voter.propose(
            self.now,
            call,
            "publish",
            {
                "doc": doc,
                "made_from": made_from,
                "author": "o",
                "reason": "r",
                "at": 0,
                "text": text or settings_document("unsafe"),
            },
        )

    def heard(self, voter: Voter) -> None:
        self.turn(voter, self.now + 200)
        for told in voter.proposal_responses:
            self.say(
                f"{told.proposal_id}: "
                f"{'version ' + str(told.version_number) if told.accepted else told.reason}"
            )
        voter.proposal_responses.clear()

    def test_publishing(self) -> None:
        voter = self.voter()
        self.say(f"at first {voter.documents.version_numbers()}")
        self.publish(voter, "a", 1)
        self.publish(voter, "b", 1)  # another operator at the same moment
        self.heard(voter)
        self.publish(voter, "a", 1)  # its answer was lost
        self.heard(voter)
        self.say(
            f"then {voter.documents.version_numbers()}, "
            f"{len(voter.documents.document(SETTINGS).versions)} in the history"
        )
        bad = self.voter("settings.service-grades: missing")
        self.publish(bad, "c", 1)
        self.heard(bad)
        self.close("accord-publish")

    def test_a_follower_that_was_away_for_longer_than_the_history_goes_back(self) -> None:
        voter = self.voter()
        for n in range(1, 160):
            self.publish(voter, f"c{n}", n)
            self.turn(voter, self.now + 200)
        self.assertGreater(voter.raft.log.snapshot.index, 0)
        follower = self.follower(1, 9)
        self.exchange(voter, follower)
        self.assertEqual(follower.documents.version_numbers(), voter.documents.version_numbers())
        self.assertTrue(follower.has_lease(self.now))
        # A second process of the same name is refused while the first one holds its lease.
        second = self.follower(2, 10)
        self.exchange(voter, second)
        self.assertFalse(second.has_lease(self.now))
        self.assertEqual(second.rejection_reason, "the name f is in use by another process")
        # Whoever says goodbye leaves the name free at once.
        follower.leave(self.now)
        voter.receive(self.now, "f", Leave("f", 9))
        self.exchange(voter, second)
        self.assertTrue(second.has_lease(self.now))

    def exchange(self, voter: Voter, follower: Follower) -> None:
        upto = self.now + 5000
        while self.now < upto:
            sent = self.turn(voter, self.now + 100)
            for to, message in sent:
                if to == follower.name:
                    follower.receive(self.now, "v0", message)
            follower.tick(self.now)
            for _, message in follower.take_immediate_messages():
                voter.receive(self.now, follower.name, message)

    def test_a_lease_of_an_earlier_life_is_none(self) -> None:
        follower = self.follower(1, 9, now=50_000)
        follower.receive(50_100, "v0", FollowerUpdate(49_000, 16_000, 0, None, [], 0, 0))
        self.assertFalse(follower.has_lease(50_100))
        follower.receive(50_100, "v0", FollowerUpdate(50_050, 16_000, 0, None, [], 0, 0))
        self.assertTrue(follower.has_lease(50_100))
        self.assertFalse(follower.has_lease(66_050))

    def change(self, voter: Voter, voters: dict[str, str]) -> str:
        """Why they can't be the voters; empty if the change is proposed."""
        try:
            voter.raft.change_voters(self.now, voters)
        except MembershipChangeError as error:
            return str(error)
        return ""

    def test_voters_change_one_at_a_time(self) -> None:
        voter = self.voter()
        self.say(self.change(voter, {"v0": "", "v1": "", "v2": ""}))
        self.say(self.change(voter, {}))
        self.say(self.change(voter, {"v0": "", "v1": "x"}) or "taken")
        self.say(self.change(voter, {"v0": "", "v1": "x", "v2": ""}))
        self.say(f"voters {sorted(voter.raft.voters)}")
        self.close("accord-voters")

    def test_a_voter_with_another_folder_is_not_admitted(self) -> None:
        voter = self.voter()
        self.say(voter.admission_error("v0", "here") or "admitted")
        self.say(voter.admission_error("v0", "elsewhere"))
        voter.documents.apply(99, LogEntry(1, "voters", {"voters": {}}))  # taken out
        self.say(voter.admission_error("v0", "elsewhere") or "admitted anew")
        self.close("accord-folders")

    def test_what_nobody_knows_who_asks_is_no_trouble(self) -> None:
        voter = self.voter()
        voter.receive(self.now, "x", ProposalRequest("z", "nonsense", {}))
        voter.receive(self.now, "x", RequestVote(0, 0, 0, False))
        self.assertTrue(voter.is_leader())


class Shared(Kept):
    def test_a_limit_is_dealt_out_whole_by_what_each_carries(self) -> None:
        for carries in ({"a": 0, "b": 0, "c": 0}, {"a": 20, "b": 1, "c": 0}, {"a": 5}):
            shares = allocate_quotas({"l": 10}, {name: {"l": much} for name, much in carries.items()})
            self.say(f"{carries}: {shares['l']}")
            self.assertEqual(sum(shares["l"].values()), 10)
        self.close("accord-dealt")


class Stricter(Kept):
    def test_of_two_rules_the_one_that_permits_less(self) -> None:
        def show(doc: str, old: dict[str, Any], new: dict[str, Any]) -> None:
            self.say(f"{doc}: {msgspec.json.encode(conservative_merge(doc, old, new)).decode()}")

        def grade(**more: Any) -> dict[str, Any]:
            return {"service-grades": [{"name": "g", "effect": "safe", "cut-off": 5, **more}], "allowed": {}}

        tagged = grade(effect="keyed", group="all")
        tagged["service-grades"][0]["repeat-window"] = 9
        narrow = grade(effect="keyed", group="zone")
        narrow["service-grades"][0]["repeat-window"] = 7
        show(SETTINGS, grade(), grade(effect="unsafe"))
        show(SETTINGS, grade(effect="unsafe"), tagged)
        show(SETTINGS, grade(), tagged)
        show(SETTINGS, tagged, narrow)
        show(SETTINGS, grade(), {"service-grades": [], "allowed": {"most-dispatches": 2}})
        show(
            SETTINGS,
            {**grade(), "allowed": {"most-dispatches": 2, "second-copies": True}},
            {**grade(), "allowed": {"most-dispatches": 3, "second-copies": False}},
        )
        show("runners-out", {"runners": {"a": "why"}}, {"runners": {"b": "why"}})
        show("limits", {"limits": {"grade:g": 5}}, {"limits": {"grade:g": 3, "tenant:t": 2}})
        show(QUOTAS, {"shares": {"l": {"a": 5, "b": 1, "c": 2}}}, {"shares": {"l": {"a": 1, "b": 5}}})
        self.close("accord-stricter")

    def test_a_runner_out_and_in_again_is_out_until_the_second_counts(self) -> None:
        docs = VersionedDocuments()
        for n, runners in ((1, {}), (2, {"a": "work"}), (3, {})):
            made = {"call": str(n), "doc": "runners-out", "made_from": n - 1, "author": "o", "reason": ""}
            docs.apply(n, LogEntry(1, "publish", {**made, "at": 0, "text": {"runners": runners}}))
            self.say(f"published {n}: out {sorted((docs.effective_content('runners-out') or {})['runners'])}")
        for n in (1, 2, 3):
            docs.apply(3 + n, LogEntry(1, "count", {"doc": "runners-out", "number": n}))
            self.say(f"counts {n}: out {sorted((docs.effective_content('runners-out') or {})['runners'])}")
        self.close("accord-out-and-in")

    def test_the_same_entries_make_the_same_of_documents(self) -> None:
        one = VersionedDocuments()
        for n in range(1, 70):
            made = {"call": str(n), "doc": SETTINGS, "made_from": n - 1, "author": "o", "reason": "", "at": 0}
            one.apply(n, LogEntry(1, "publish", {**made, "text": settings_document("safe")}))
            one.apply(n, LogEntry(1, "count", {"doc": SETTINGS, "number": n}))
        other = VersionedDocuments(one.encode())
        self.assertEqual(other.version_numbers(), {SETTINGS: (69, 69)})
        self.assertEqual(other.encode(), one.encode())
        self.assertEqual(len(other.document(SETTINGS).versions), 50)
