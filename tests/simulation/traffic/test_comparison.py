"""Baselines keep the rules, days repeat to the byte, and no verdict is passed that chance could explain."""

import io
import os
import subprocess
import sys
from dataclasses import replace

from click.testing import CliRunner

from crankfold.cli.main import main
from crankfold.routing.interface import DeduplicationScope, EndpointState, Idempotency
from crankfold.simulation.traffic import comparison
from crankfold.simulation.traffic.fleet import SimulatedFleet
from crankfold.simulation.traffic.scenario import Scenario
from tests.fixtures import TraceTestCase

SMALL = Scenario(dispatcher_count=4, backend_count=8, arrival_rate=40.0, seconds=3)
ONE_DAY = """
import sys
from crankfold.simulation.traffic import comparison
from crankfold.simulation.traffic.scenario import Scenario
day = Scenario(dispatcher_count=4, backend_count=8, arrival_rate=40.0, seconds=2)
rows = [comparison.simulate_day(name, day, comparison.DEFAULT_CONFIG, 3) for name in comparison.POLICIES]
comparison.write_table(rows, sys.stdout)
"""


class ComparisonTest(TraceTestCase):
    def test_all_policies_keep_the_rules_whatever_the_grade(self) -> None:
        for effect in Idempotency:
            request_class = replace(
                comparison.DEFAULT_CLASS,
                idempotency=effect,
                deduplication_scope=DeduplicationScope.ZONE,
                deduplication_window=100_000,
            )
            for name, make in comparison.POLICIES.items():
                world = SimulatedFleet(
                    SMALL, replace(comparison.DEFAULT_CONFIG, request_classes=[request_class]), make
                )
                world.change_state(20_000, 0, EndpointState.DRAINING)
                world.change_state(25_000, 1, EndpointState.REMOVED)
                world.run()
                self.record(f"{effect.name.lower()}, {name}: {world.invariants.violations[:1] or 'kept'}")
        self.assert_matches_trace("study-rules")

    def test_a_day_is_the_same_to_the_byte_whatever_the_hash_seed(self) -> None:
        out = [
            subprocess.run(
                [sys.executable, "-c", ONE_DAY],
                env={**os.environ, "PYTHONHASHSEED": seed},
                capture_output=True,
                check=True,
            ).stdout
            for seed in ("1", "77")
        ]
        self.assertEqual(out[0], out[1])
        self.assertEqual(out[0].count(b"\n"), 1 + len(comparison.POLICIES))

    def test_verdicts_rank_sees_all_over_random_and_find_no_difference_of_random_to_itself(self) -> None:
        shares = {
            name: [
                comparison.simulate_day(name, SMALL, comparison.DEFAULT_CONFIG, seed).on_time_share
                for seed in range(1, 7)
            ]
            for name in ("random", "sees-all")
        }
        for one, other in (("sees-all", "random"), ("random", "sees-all"), ("random", "random")):
            _, low, high = comparison.confidence_interval(shares[one], shares[other])
            self.record(f"{one} against {other}: {comparison.verdict(low, high)}")
        even = comparison.confidence_interval([0.5, 0.7, 0.6, 0.4], [0.6, 0.6, 0.5, 0.5])
        self.record(f"where pairs differ both ways: {comparison.verdict(*even[1:])}")
        self.assert_matches_trace("study-verdicts")

    def test_a_calm_day_of_a_small_fleet_is_no_worse_than_the_baselines(self) -> None:
        day = Scenario(
            dispatcher_count=10,
            backend_count=15,
            mean_service_time=3_500,
            seconds=5,
            arrival_rate=0.6 * 15 * 4 / 0.35 / 10,
        )
        mean = {
            name: sum(
                comparison.simulate_day(name, day, comparison.DEFAULT_CONFIG, seed).on_time_share
                for seed in (1, 2, 3)
            )
            / 3
            for name in ("crankfold", "round-robin", "least-own")
        }
        self.assertGreater(mean["crankfold"], max(mean["round-robin"], mean["least-own"]) - 0.005, mean)

    def test_bad_options_are_one_line_and_exit_2(self) -> None:
        for options in (
            ["--policy", "best"],
            ["--runners", "0"],
            ["--seeds", "1"],
            ["--csv", "/nowhere/at/all.csv"],
        ):
            done = CliRunner().invoke(main, ["emulate", *options])
            self.record(f"{done.exit_code} {done.output.splitlines()[-1]}")
        self.assert_matches_trace("study-options")

    def test_a_table_has_a_row_for_each_day(self) -> None:
        out = io.StringIO()
        comparison.write_table([comparison.DayResult("random", 1, 200, 0.95, 0)], out)
        for line in out.getvalue().splitlines():
            self.record(line)
        self.assert_matches_trace("study-table")
