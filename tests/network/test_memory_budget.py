"""What a process holds for its clients, and who releases memory first."""

import unittest

from crankfold.network.memory_budget import RELEASE_SHARE, MemoryBudget, UnfinishedTransfer, release_order


class MemoryBudgetTest(unittest.TestCase):
    def test_allocated_bytes_are_sum_of_last_charges(self) -> None:
        budget = MemoryBudget(limit=100)
        budget.charge("a", 60)
        budget.charge("b", 50)
        self.assertTrue(budget.is_exceeded())
        budget.charge("a", 10)
        self.assertEqual(budget.allocated, 60)
        budget.release("b")
        budget.release("b")
        self.assertEqual((budget.allocated, budget.is_exceeded()), (10, False))

    def test_release_goes_on_below_limit(self) -> None:
        budget = MemoryBudget(limit=1000)
        budget.charge("a", int(1000 * RELEASE_SHARE) + 1)
        self.assertEqual((budget.is_exceeded(), budget.needs_release()), (False, True))

    def test_small_requests_are_admitted_longest(self) -> None:
        budget = MemoryBudget(limit=1_000_000)
        self.assertEqual((budget.can_admit(45_000), budget.can_admit(60_000)), (True, False))
        budget.charge_admitted("a", 400_000)
        self.assertEqual((budget.can_admit(45_000), budget.can_admit(500)), (False, True))
        budget.charge_admitted("a", 750_000)
        self.assertFalse(budget.can_admit(500))

    def test_unfinished_transfers_do_not_prevent_admission(self) -> None:
        budget = MemoryBudget(limit=1_000_000)
        budget.charge("a", 2_000_000)
        self.assertTrue(budget.can_admit(500))

    def test_budget_without_limit_is_never_exceeded(self) -> None:
        budget = MemoryBudget()
        budget.charge("a", 1 << 40)
        self.assertFalse(budget.is_exceeded() or budget.needs_release())
        self.assertTrue(budget.can_admit(1 << 40))

    def test_who_holds_most_for_longest_releases_first(self) -> None:
        transfers = {
            "usual": UnfinishedTransfer(size=500, age=0.01),
            "large": UnfinishedTransfer(size=60_000, age=0.01),
            "stopped": UnfinishedTransfer(size=60_000, age=1.5),
            "slow": UnfinishedTransfer(size=2_000, age=4.0),
        }
        self.assertEqual(release_order(transfers.items()), ["stopped", "slow", "large", "usual"])
