"""The bounded set of ids of requests that are over."""

import unittest
from unittest.mock import patch

from crankfold.service.requests.request_id_set import RequestIdSet


class RequestIdSetTest(unittest.TestCase):
    def test_ids_are_adopted_by_another_process(self) -> None:
        first, second = RequestIdSet(), RequestIdSet()
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
                RequestIdSet().adopt(text)

    def test_oldest_ids_are_forgotten_beyond_bound(self) -> None:
        with patch("crankfold.service.requests.request_id_set.MAX_REQUEST_IDS", 3):
            request_ids = RequestIdSet()
            for request_id in ("a", "b", "c", "a", "d"):
                request_ids.add(request_id)
        self.assertEqual([name for name in "abcd" if name in request_ids], ["a", "c", "d"])
        self.assertEqual((len(request_ids), request_ids.forgotten), (3, 1))
