"""The soak in short: some seeds hold, and each planted fault is found by the judge."""

import asyncio
import tempfile
import unittest
from pathlib import Path
from unittest.mock import patch

from tests.soak.dispatcher import DispatcherProcess
from tests.soak.faulty_process import ProcessFaults
from tests.soak.observations import Observations
from tests.soak.plan import RunPlan
from tests.soak.planted import PLANTS
from tests.soak.run import SoakRun, play, process_pool

SEEDS = (101, 102, 103, 104, 105, 106)
PLANT_SEED = 1


def broken_in(seed: int, plant: str = "") -> list[str]:
    """What the judge finds in one run."""
    return play(seed, plant)[0]


class Soak(unittest.TestCase):
    def test_every_clause_holds_on_seeds_that_are_drawn(self) -> None:
        with process_pool() as pool:
            for seed, broken in zip(SEEDS, pool.map(broken_in, SEEDS), strict=True):
                with self.subTest(seed):
                    self.assertEqual(broken, [])

    def test_each_planted_fault_is_found(self) -> None:
        with process_pool() as pool:
            found = pool.map(broken_in, [PLANT_SEED] * len(PLANTS), PLANTS)
            for plant, broken in zip(PLANTS, found, strict=True):
                with self.subTest(plant):
                    clause = plant.partition(":")[0]
                    self.assertTrue(any(line.startswith(clause) for line in broken), broken[:3])


class EarlySignal(unittest.IsolatedAsyncioTestCase):
    async def test_a_process_that_outlives_early_signals_is_recorded_and_killed(self) -> None:
        async def spawn_deaf(_dispatcher: DispatcherProcess) -> asyncio.subprocess.Process:
            self.process = await asyncio.create_subprocess_exec(
                *("sh", "-c", "trap '' TERM; echo deaf; exec sleep 60"), stdout=asyncio.subprocess.PIPE
            )
            assert self.process.stdout
            await self.process.stdout.readline()
            return self.process

        observations = Observations()
        dispatcher = DispatcherProcess("d0", 0, Path(), ProcessFaults())
        with (
            patch.object(DispatcherProcess, "_spawn", spawn_deaf),
            patch("tests.soak.dispatcher.READY_TIMEOUT_SECONDS", 0.1),
        ):
            await dispatcher._end_before_ready(observations)
        self.assertEqual(observations.exits, ["d0 did not end by an early SIGTERM within 0 s"])
        self.assertIsNotNone(self.process.returncode)


class RunTimeout(unittest.IsolatedAsyncioTestCase):
    async def test_a_run_that_does_not_end_is_recorded_with_what_it_awaits(self) -> None:
        async def hang(_run: SoakRun, _name: str) -> None:
            await asyncio.Event().wait()

        with (
            tempfile.TemporaryDirectory() as folder,
            patch.object(SoakRun, "_start_dispatcher", hang),
            patch("tests.soak.run.RUN_TIMEOUT_SECONDS", 0.1),
        ):
            broken = await SoakRun(RunPlan.draw(SEEDS[0]), Path(folder)).play()
        self.assertEqual(len(broken), 1, broken)
        self.assertRegex(broken[0], r"did not end within 0 s; awaited: .*hang:\d+ > Event\.wait:\d+")

    async def test_a_failure_of_the_run_itself_is_raised(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            patch.object(SoakRun, "_start_dispatcher", side_effect=TimeoutError("of a part")),
            self.assertRaisesRegex(TimeoutError, "of a part"),
        ):
            await SoakRun(RunPlan.draw(SEEDS[0]), Path(folder)).play()
