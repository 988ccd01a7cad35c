"""Baselines keep the rules, days repeat to the byte, and no verdict is passed that chance could explain."""

import io
import os
import subprocess
import sys
from dataclasses import replace

from click.testing import CliRunner

from crankfold.cli import main
from crankfold.dispatch.interface import Effect, Group, Standing
from crankfold.emulator import study
from crankfold.emulator.world import Scenario, World
from tests.scene import Kept

SMALL = Scenario(dispatchers=4, runners=8, rate=40.0, seconds=3)
ONE_DAY = """
import sys
from crankfold.emulator import study
from crankfold.emulator.world import Scenario
rows = [study.play(name, Scenario(dispatchers=4, runners=8, rate=40.0, seconds=2), study.ORDERS, 3)
        for name in study.POLICIES]
study.write(rows, sys.stdout)
"""


class Studies(Kept):
    def test_all_policies_keep_the_rules_whatever_the_grade(self) -> None:
        for effect in Effect:
            grade = replace(study.GRADE, effect=effect, group=Group.ZONE, window=100_000)
            for name, make in study.POLICIES.items():
                world = World(SMALL, replace(study.ORDERS, grades=[grade]), make)
                world.change(20_000, 0, Standing.DRAINING)
                world.change(25_000, 1, Standing.GONE)
                world.run()
                self.say(f"{effect.name.lower()}, {name}: {world.rules.broken[:1] or 'kept'}")
        self.close("study-rules")

    def test_a_day_is_the_same_to_the_byte_whatever_the_hash_seed(self) -> None:
        out = [subprocess.run([sys.executable, "-c", ONE_DAY], env={**os.environ, "PYTHONHASHSEED": seed},
                              capture_output=True, check=True).stdout for seed in ("1", "77")]
        self.assertEqual(out[0], out[1])
        self.assertEqual(out[0].count(b"\n"), 1 + len(study.POLICIES))

    def test_sees_all_is_better_than_random_and_random_than_itself_is_no_verdict(self) -> None:
        shares = {name: [study.play(name, SMALL, study.ORDERS, seed).in_time for seed in range(1, 7)]
                  for name in ("random", "sees-all")}
        for one, other in (("sees-all", "random"), ("random", "sees-all"), ("random", "random")):
            _, low, high = study.interval(shares[one], shares[other])
            self.say(f"{one} against {other}: {study.verdict(low, high)}")
        even = study.interval([0.5, 0.7, 0.6, 0.4], [0.6, 0.6, 0.5, 0.5])
        self.say(f"where pairs differ both ways: {study.verdict(*even[1:])}")
        self.close("study-verdicts")

    def test_a_calm_day_of_a_small_fleet_is_no_worse_than_the_baselines(self) -> None:
        day = Scenario(dispatchers=10, runners=15, work=3_500, seconds=5,
                       rate=0.6 * 15 * 4 / 0.35 / 10)
        mean = {name: sum(study.play(name, day, study.ORDERS, seed).in_time for seed in (1, 2, 3)) / 3
                for name in ("crankfold", "round-robin", "least-own")}
        self.assertGreater(mean["crankfold"], max(mean["round-robin"], mean["least-own"]) - 0.005, mean)

    def test_bad_options_are_one_line_and_exit_2(self) -> None:
        for options in (["--policy", "best"], ["--runners", "0"], ["--seeds", "1"],
                        ["--csv", "/nowhere/at/all.csv"]):
            done = CliRunner().invoke(main, ["emulate", *options])
            self.say(f"{done.exit_code} {done.output.splitlines()[-1]}")
        self.close("study-options")

    def test_a_table_has_a_row_for_each_day(self) -> None:
        out = io.StringIO()
        study.write([study.Row("random", 1, 200, 0.95, 0)], out)
        for line in out.getvalue().splitlines():
            self.say(line)
        self.close("study-table")
