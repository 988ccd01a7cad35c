"""This dispatcher's shares of limits for the whole fleet, and the units that hold places of them."""

from collections import Counter
from collections.abc import Sequence


class Quotas:
    """A limit is named after what it counts: `grade:NAME`, `tenant:NAME` or `all`."""

    def __init__(self) -> None:
        self.allocated: dict[str, int] = {}
        self.in_use: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()  # since it was told last

    def acquire(self, grade: str, tenant: str) -> Sequence[str] | None:
        """The places that one more unit takes, or nothing if one of them is not there."""
        limits = [name for name in ("all", f"grade:{grade}", f"tenant:{tenant}") if name in self.allocated]
        full = [name for name in limits if self.in_use[name] >= self.allocated[name]]
        if full:
            self.rejected.update(full)
            return None
        self.in_use.update(limits)
        return limits

    def release(self, limits: Sequence[str]) -> None:
        self.in_use.subtract(limits)

    def within_allocation(self) -> bool:
        """Whether all that is in hand fits into what the shares are by now."""
        return all(self.in_use[name] <= part for name, part in self.allocated.items())

    def collect_usage(self) -> dict[str, int]:
        told = {name: self.in_use[name] + self.rejected[name] for name in self.allocated}
        self.rejected.clear()
        return told
