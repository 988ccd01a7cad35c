"""Quotas allocated to a dispatcher limit its requests in progress."""

import unittest

from crankfold.service.requests.quotas import Quotas


class QuotasTest(unittest.TestCase):
    def test_request_counts_against_its_quotas_until_released(self) -> None:
        quotas = Quotas()
        quotas.allocated = {"grade:g": 2, "all": 3}
        acquired = [quotas.acquire("g", "t") for _ in range(3)]
        self.assertEqual(acquired, [["all", "grade:g"], ["all", "grade:g"], None])
        self.assertEqual(quotas.acquire("h", "t"), ["all"])
        self.assertIsNone(quotas.acquire("h", "t"))
        self.assertEqual(quotas.collect_usage(), {"grade:g": 3, "all": 4})
        quotas.allocated = {"grade:g": 1, "all": 3}
        self.assertFalse(quotas.within_allocation())
        quotas.release(["all", "grade:g"])
        self.assertTrue(quotas.within_allocation())
        self.assertIsNone(quotas.acquire("g", "t"))
