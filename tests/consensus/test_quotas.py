"""The allocation of limits among the members."""

from crankfold.consensus.quotas import allocate_quotas
from tests.fixtures import TraceTestCase


class QuotaAllocationTest(TraceTestCase):
    def test_limit_is_allocated_completely_in_proportion_to_usage(self) -> None:
        for usage in ({"a": 0, "b": 0, "c": 0}, {"a": 20, "b": 1, "c": 0}, {"a": 5}):
            quotas = allocate_quotas({"l": 10}, {name: {"l": used} for name, used in usage.items()})
            self.record(f"{usage}: {quotas['l']}")
            self.assertEqual(sum(quotas["l"].values()), 10)
        self.assert_matches_trace("consensus-quotas")
