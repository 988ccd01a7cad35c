"""The bounded set of ids that are not executed again."""

import unittest
from unittest.mock import patch

from crankfold.service.requests.executed_ids import ExecutedIds


class ExecutedIdsTest(unittest.TestCase):
    def test_ids_are_adopted_by_another_process(self) -> None:
        first, second = ExecutedIds(), ExecutedIds()
        for request_id in ("a", "b" * 256, "\u00fc"):
            first.add(request_id)
        second.add("c")
        second.adopt(first.encode())
        second.adopt("")
        for request_id in ("a", "b" * 256, "\u00fc", "c"):
            self.assertTrue(request_id in second)
        self.assertFalse("d" in second)
        self.assertEqual(len(second), 4)

    def test_malformed_text_is_rejected(self) -> None:
        for text in ("?", "AAAA", "AAAAAAAAAAA"):
            with self.assertRaises(ValueError):
                ExecutedIds().adopt(text)

    def test_oldest_ids_are_forgotten_beyond_bound(self) -> None:
        with patch("crankfold.service.requests.executed_ids.MAX_EXECUTED_IDS", 3):
            executed_ids = ExecutedIds()
            for request_id in ("a", "b", "c", "a", "d"):
                executed_ids.add(request_id)
        self.assertEqual([name for name in "abcd" if name in executed_ids], ["a", "c", "d"])
        self.assertEqual((len(executed_ids), executed_ids.forgotten), (3, 1))
