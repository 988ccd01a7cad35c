"""This dispatcher's shares of limits for the whole fleet, and the units that hold places of them."""

from collections import Counter
from collections.abc import Sequence


class Shares:
    """A limit is named after what it counts: `grade:NAME`, `tenant:NAME` or `all`."""

    def __init__(self) -> None:
        self.parts: dict[str, int] = {}
        self.in_hand: Counter[str] = Counter()
        self.turned_away: Counter[str] = Counter()  # since it was told last

    def hold(self, grade: str, tenant: str) -> Sequence[str] | None:
        """The places that one more unit takes, or nothing if one of them is not there."""
        limits = [name for name in ("all", f"grade:{grade}", f"tenant:{tenant}") if name in self.parts]
        full = [name for name in limits if self.in_hand[name] >= self.parts[name]]
        if full:
            self.turned_away.update(full)
            return None
        self.in_hand.update(limits)
        return limits

    def let_go(self, limits: Sequence[str]) -> None:
        self.in_hand.subtract(limits)

    def fit(self) -> bool:
        """Whether all that is in hand fits into what the shares are by now."""
        return all(self.in_hand[name] <= part for name, part in self.parts.items())

    def carry(self) -> dict[str, int]:
        told = {name: self.in_hand[name] + self.turned_away[name] for name in self.parts}
        self.turned_away.clear()
        return told
