"""Experiments described in files: results are reproducible, invalid files are reported in one line."""

import sys
import tempfile
from pathlib import Path
from unittest.mock import patch

from click.testing import CliRunner

from crankfold.cli.main import main
from tests.fixtures import TraceTestCase

PLAN = """
name = "small"
seeds = 2
policies = ["random", "two-choices"]
across = "load"
[day]
seconds = 3
dispatchers = 2
[[case]]
name = "half"
at = 0.5
[[case]]
name = "more, a runner hangs"
at = 0.8
[case.day]
load = 0.8
faults = [{kind = "hang", at = 1, until = 2, share = 0.2}]
"""


class ExperimentTest(TraceTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def run_experiment(self, plan: str, *options: str) -> tuple[int, str]:
        plan_path = self.folder / "plan.toml"
        plan_path.write_text(plan)
        result = CliRunner().invoke(main, ["experiment", str(plan_path), *options])
        return result.exit_code, result.output.replace(str(self.folder), "HERE")

    def test_same_plan_gives_same_files_with_any_number_of_workers(self) -> None:
        results = []
        for workers in ("1", "3"):
            result_folder = self.folder / f"{workers} workers"
            code, output = self.run_experiment(PLAN, "--out", str(result_folder), "--workers", workers)
            self.assertEqual(code, 0, output)
            results.append([(result_folder / f"small.{kind}").read_bytes() for kind in ("csv", "txt", "svg")])
        self.assertEqual(results[0], results[1])
        self.assertEqual(results[0][0].count(b"\n"), 1 + 2 * 3 * 2)
        self.assertIn(b"more, a runner hangs: crankfold", results[0][1])

    def test_missing_matplotlib_is_reported_and_other_results_are_written(self) -> None:
        with patch.dict(sys.modules, {"matplotlib": None}):
            code, output = self.run_experiment(PLAN, "--out", str(self.folder / "bare"), "--workers", "1")
        self.assertEqual(code, 0, output)
        self.assertIn("no chart: matplotlib is not installed\n", output)
        file_names = sorted(path.name for path in (self.folder / "bare").iterdir())
        self.assertEqual(file_names, ["small.csv", "small.txt"])

    def test_invalid_experiment_is_reported_in_one_line(self) -> None:
        for problem, plan in {
            "no TOML": "name = ",
            "no case": 'name = "x"',
            "an unknown key": PLAN.replace("across", "accross"),
            "an unknown policy": PLAN.replace("two-choices", "oracle"),
            "an unknown fault": PLAN.replace('"hang"', '"flood"'),
            "no runners": PLAN.replace("load = 0.8", "runners = 0"),
            "a load that is none": PLAN.replace("load = 0.8", 'load = "much"'),
            "a fault beyond the day": PLAN.replace("until = 2", "until = 5"),
            "a case twice": PLAN.replace("more, a runner hangs", "half"),
            "one seed": PLAN.replace("seeds = 2", "seeds = 1"),
            "a name that is a path": PLAN.replace('"small"', '"../small"'),
        }.items():
            code, output = self.run_experiment(plan, "--out", str(self.folder))
            self.record(f"{problem}: {code}, {output.splitlines()[-1]}")
            self.assertNotIn("Traceback", output)
        (self.folder / "a file").write_text("")
        code, output = self.run_experiment(PLAN, "--out", str(self.folder / "a file"))
        self.record(f"results into a file: {code}, {output.splitlines()[-1]}")
        self.assert_matches_trace("experiment-unfit")
