"""Quotas: this dispatcher's part of limits on requests in hand that bind the whole cluster."""

from collections import Counter
from collections.abc import Sequence

# Limits are named after what they count; the names stand in the cluster's documents.
ALL_REQUESTS = "all"
REQUEST_CLASS_PREFIX = "grade:"
TENANT_PREFIX = "tenant:"


class Quotas:
    """How many requests each limit allows here, and how many it counts.

    Attributes:
        allocated: The part of each limit that is allocated to this dispatcher, by the limit's name.
        in_use: The requests in hand that a limit counts.
        rejected: The requests that a limit rejected since its usage was collected last.
    """

    def __init__(self) -> None:
        self.allocated: dict[str, int] = {}
        self.in_use: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()

    def acquire(self, request_class: str, tenant: str) -> Sequence[str] | None:
        """Counts one more request.

        Returns:
            The names of the limits that count it, for `release`; None where one of them is used up.
        """
        names = (ALL_REQUESTS, REQUEST_CLASS_PREFIX + request_class, TENANT_PREFIX + tenant)
        limits = [name for name in names if name in self.allocated]
        used_up = [name for name in limits if self.in_use[name] >= self.allocated[name]]
        if used_up:
            self.rejected.update(used_up)
            return None
        self.in_use.update(limits)
        return limits

    def release(self, limits: Sequence[str]) -> None:
        """Counts a request no longer."""
        self.in_use.subtract(limits)

    def within_allocation(self) -> bool:
        """Whether the requests in hand fit into what is allocated by now, which may have shrunk."""
        return all(self.in_use[name] <= allocated for name, allocated in self.allocated.items())

    def collect_usage(self) -> dict[str, int]:
        """The demand for each limit: requests in hand and those rejected since the last call."""
        usage = {name: self.in_use[name] + self.rejected[name] for name in self.allocated}
        self.rejected.clear()
        return usage
