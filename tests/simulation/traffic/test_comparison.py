"""Comparison of policies: all keep the invariants, days repeat, and chance alone gives no verdict."""

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

SMALL_SCENARIO = Scenario(dispatcher_count=4, backend_count=8, arrival_rate=40.0, seconds=3)
# Simulates a day with each policy and prints the table.
DAY_SCRIPT = """
import sys
from crankfold.simulation.traffic import comparison
from crankfold.simulation.traffic.scenario import Scenario
scenario = Scenario(dispatcher_count=4, backend_count=8, arrival_rate=40.0, seconds=2)
rows = [comparison.simulate_day(name, scenario, comparison.DEFAULT_CONFIG, 3) for name in comparison.POLICIES]
comparison.write_table(rows, sys.stdout)
"""


class ComparisonTest(TraceTestCase):
    def test_policies_violate_no_invariant_with_any_idempotency(self) -> None:
        for idempotency in Idempotency:
            request_class = replace(
                comparison.DEFAULT_CLASS,
                idempotency=idempotency,
                deduplication_scope=DeduplicationScope.ZONE,
                deduplication_window=100_000,
            )
            for name, policy_factory in comparison.POLICIES.items():
                fleet = SimulatedFleet(
                    SMALL_SCENARIO,
                    replace(comparison.DEFAULT_CONFIG, request_classes=[request_class]),
                    policy_factory,
                )
                fleet.change_state(20_000, 0, EndpointState.DRAINING)
                fleet.change_state(25_000, 1, EndpointState.REMOVED)
                fleet.run()
                self.record(
                    f"{idempotency.name.lower()}, {name}: {fleet.invariants.violations[:1] or 'kept'}"
                )
        self.assert_matches_trace("study-rules")

    def test_day_gives_same_bytes_with_different_hash_seeds(self) -> None:
        tables = [
            subprocess.run(
                [sys.executable, "-c", DAY_SCRIPT],
                env={**os.environ, "PYTHONHASHSEED": hash_seed},
                capture_output=True,
                check=True,
            ).stdout
            for hash_seed in ("1", "77")
        ]
        self.assertEqual(tables[0], tables[1])
        self.assertEqual(tables[0].count(b"\n"), 1 + len(comparison.POLICIES))

    def test_verdict_ranks_global_knowledge_above_random_and_random_equal_to_itself(self) -> None:
        on_time_shares = {
            name: [
                comparison.simulate_day(name, SMALL_SCENARIO, comparison.DEFAULT_CONFIG, seed).on_time_share
                for seed in range(1, 7)
            ]
            for name in ("random", "sees-all")
        }
        for policy, baseline in (("sees-all", "random"), ("random", "sees-all"), ("random", "random")):
            _, low, high = comparison.confidence_interval(on_time_shares[policy], on_time_shares[baseline])
            self.record(f"{policy} against {baseline}: {comparison.verdict(low, high)}")
        interval = comparison.confidence_interval([0.5, 0.7, 0.6, 0.4], [0.6, 0.6, 0.5, 0.5])
        self.record(f"where pairs differ both ways: {comparison.verdict(*interval[1:])}")
        self.assert_matches_trace("study-verdicts")

    def test_product_is_no_worse_than_baselines_without_faults(self) -> None:
        scenario = Scenario(
            dispatcher_count=10,
            backend_count=15,
            mean_service_time=3_500,
            seconds=5,
            arrival_rate=0.6 * 15 * 4 / 0.35 / 10,
        )
        mean_on_time_shares = {
            name: sum(
                comparison.simulate_day(name, scenario, comparison.DEFAULT_CONFIG, seed).on_time_share
                for seed in (1, 2, 3)
            )
            / 3
            for name in ("crankfold", "round-robin", "least-own")
        }
        self.assertGreater(
            mean_on_time_shares["crankfold"],
            max(mean_on_time_shares["round-robin"], mean_on_time_shares["least-own"]) - 0.005,
            mean_on_time_shares,
        )

    def test_invalid_options_are_reported_in_one_line_with_status_2(self) -> None:
        for options in (
            ["--policy", "best"],
            ["--runners", "0"],
            ["--seeds", "1"],
            ["--csv", "/nowhere/at/all.csv"],
        ):
            result = CliRunner().invoke(main, ["emulate", *options])
            self.record(f"{result.exit_code} {result.output.splitlines()[-1]}")
        self.assert_matches_trace("study-options")

    def test_table_has_row_for_each_day(self) -> None:
        table = io.StringIO()
        comparison.write_table([comparison.DayResult("random", 1, 200, 0.95, 0)], table)
        for line in table.getvalue().splitlines():
            self.record(line)
        self.assert_matches_trace("study-table")
