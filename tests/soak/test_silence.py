"""Drains that a silent discovery agent learns at its return, with an event in the silence."""

import unittest
from functools import partial

from tests.soak.run import process_pool
from tests.soak.silence import CASES, play_silence

SEED = 1
LATEST_ATTEMPT = 0.35  # seconds after the drain: the grace of 0.3 s, and 50 ms for sockets


class DrainAtTheEndOfASilence(unittest.TestCase):
    # Guards against a reload, a start or a repeat that hides a silence of discovery for half a second.
    def test_no_attempt_begins_after_the_grace_whatever_happens_in_the_silence(self) -> None:
        with process_pool() as pool:
            results = pool.map(partial(play_silence, seed=SEED), CASES)
            for case, (broken, latest_attempt) in zip(CASES, results, strict=True):
                with self.subTest(case):
                    self.assertEqual(broken, [])
                    self.assertLess(latest_attempt, LATEST_ATTEMPT)
