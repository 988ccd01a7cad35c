"""The soak in short: some seeds hold, and each planted fault is found by the judge."""

import unittest

from tests.soak.planted import PLANTS
from tests.soak.run import play, process_pool

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
