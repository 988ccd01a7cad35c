"""Faults in the emulated world, and experiments described in files."""

import sys
import tempfile
from dataclasses import replace
from pathlib import Path
from unittest.mock import patch

from click.testing import CliRunner

from crankfold.cli.main import main
from crankfold.routing.router import Router
from crankfold.simulation.traffic.comparison import DEFAULT_CONFIG
from crankfold.simulation.traffic.faults import Fault, FaultKind, affected_indices
from crankfold.simulation.traffic.fleet import SimulatedFleet
from crankfold.simulation.traffic.invariants import Answer
from crankfold.simulation.traffic.scenario import Scenario
from tests.scene import Kept

DAY = Scenario(
    dispatcher_count=6, backend_count=9, arrival_rate=12.0, mean_service_time=3_500, seconds=8, seed=3
)
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


class Faults(Kept):
    def play(self, *faults: Fault, **day: object) -> tuple[SimulatedFleet, float]:
        world = SimulatedFleet(
            replace(DAY, faults=faults, **day),  # type: ignore[arg-type]
            replace(DEFAULT_CONFIG, hedging_allowed=True),
            Router,
        )
        world.run()
        return world, world.on_time_count / world.request_count

    def test_every_kind_of_fault_is_felt_and_no_rule_breaks(self) -> None:
        _, calm = self.play()
        self.say(f"calm: over 95 of a hundred in time: {calm > 0.95}")
        factor = {FaultKind.ERRORS: 0.7, FaultKind.BURST: 2.5}
        for kind in FaultKind:
            # With reports that stand still or lists that are down something else has to happen to be felt.
            release = (Fault(FaultKind.ROLLING_RELEASE, 2.0, 3.5, 0.4),)
            more = {
                FaultKind.DISCOVERY_DOWN: release,
                FaultKind.SILENT_WATCH: release,
                FaultKind.STALE_REPORTS: (Fault(FaultKind.SLOW, 1.0, 7.0, 0.3),),
            }.get(kind, ())
            day = {"dispatcher_count": 2, "arrival_rate": 36.0} if kind == FaultKind.STALE_REPORTS else {}
            base = self.play(*more, **day)[1] if more else calm
            world, share = self.play(Fault(kind, 2.0, 5.0, 0.4, factor=factor.get(kind, 4.0)), *more, **day)
            answers = [record.answer for record in world.invariants.requests.values()]
            self.say(
                f"{kind.value}: felt {share != base}, all answered {all(answers)}, "
                f"lost with a dispatcher {'lost' in answers}, rules broken {len(world.invariants.violations)}"
            )
        self.close("emulator-faults")

    def test_what_a_fault_does(self) -> None:
        def errors(share: float) -> int:
            world, _ = self.play(Fault(FaultKind.ERRORS, 1.0, 7.0, 1.0, factor=share))
            return sum(record.answer != Answer.COMPLETED for record in world.invariants.requests.values())

        self.assertLess(errors(0.1), errors(0.9))
        world, _ = self.play(Fault(FaultKind.ZONE_LOSS, 2.0, 4.0, zone=1))
        self.assertEqual([r.index for r in world.backends if r.ready_since], [1, 4, 7])
        world, _ = self.play(Fault(FaultKind.DISPATCHERS_KILLED, 2.0, 4.0, 0.5))
        self.assertEqual(sum(post.alive for post in world.dispatchers), 6)
        before, after = (
            self.play(Fault(FaultKind.BURST, 2.0, 4.0, factor=f))[0].request_count for f in (1.0, 3.0)
        )
        self.assertGreater(after, 1.3 * before)
        shed, _ = self.play(Fault(FaultKind.BURST, 1.0, 7.0, factor=6.0), client_retries=3)
        self.assertGreater(len(shed.invariants.requests), shed.request_count)  # who was shed came again
        far, near = self.play(cross_zone_delay=300)[1], self.play(cross_zone_delay=0)[1]
        self.assertLess(far, near)

    def test_whom_it_hits_depends_on_the_seed_alone(self) -> None:
        fault = Fault(FaultKind.SLOW, 1.0, 2.0, 0.25)
        self.assertEqual(affected_indices(fault, 1, 40), affected_indices(fault, 1, 40))
        self.assertNotEqual(affected_indices(fault, 1, 40), affected_indices(fault, 2, 40))
        self.assertEqual((len(affected_indices(fault, 1, 40)), len(affected_indices(fault, 1, 1))), (10, 1))


class Experiments(Kept):
    def setUp(self) -> None:
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def made(self, plan: str, *more: str) -> tuple[int, str]:
        file = self.folder / "plan.toml"
        file.write_text(plan)
        result = CliRunner().invoke(main, ["experiment", str(file), *more])
        return result.exit_code, result.output.replace(str(self.folder), "HERE")

    def test_the_same_file_gives_the_same_bytes_whoever_plays(self) -> None:
        kept = []
        for workers in ("1", "3"):
            out = self.folder / f"by {workers}"
            code, output = self.made(PLAN, "--out", str(out), "--workers", workers)
            self.assertEqual(code, 0, output)
            kept.append([(out / f"small.{kind}").read_bytes() for kind in ("csv", "txt", "svg")])
        self.assertEqual(kept[0], kept[1])
        self.assertEqual(kept[0][0].count(b"\n"), 1 + 2 * 3 * 2)
        self.assertIn(b"more, a runner hangs: crankfold", kept[0][1])

    def test_without_the_library_for_charts_the_rest_is_kept_and_a_line_says_what_is_missing(self) -> None:
        with patch.dict(sys.modules, {"matplotlib": None}):
            code, output = self.made(PLAN, "--out", str(self.folder / "bare"), "--workers", "1")
        self.assertEqual(code, 0, output)
        self.assertIn("no chart: matplotlib is not installed\n", output)
        kept = sorted(path.name for path in (self.folder / "bare").iterdir())
        self.assertEqual(kept, ["small.csv", "small.txt"])

    def test_what_can_not_be_played_is_said_in_a_line(self) -> None:
        for what, plan in {
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
            code, output = self.made(plan, "--out", str(self.folder))
            self.say(f"{what}: {code}, {output.splitlines()[-1]}")
            self.assertNotIn("Traceback", output)
        (self.folder / "a file").write_text("")
        code, output = self.made(PLAN, "--out", str(self.folder / "a file"))
        self.say(f"results into a file: {code}, {output.splitlines()[-1]}")
        self.close("experiment-unfit")
