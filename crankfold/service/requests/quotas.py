"""Quotas: this dispatcher's allocation of the cluster-wide limits on requests in progress."""

from collections import Counter
from collections.abc import Sequence

# Names of limits in the cluster's documents: all requests, or those of a request class or a tenant.
ALL_REQUESTS = "all"
REQUEST_CLASS_PREFIX = "grade:"
TENANT_PREFIX = "tenant:"


class Quotas:
    """The allocation and the usage of each limit at this dispatcher.

    Attributes:
        allocated: Requests that each limit allows at this dispatcher, by the name of the limit.
        in_use: Requests in progress that count against each limit.
        rejected: Requests that each limit rejected since the last `collect_usage`.
    """

    def __init__(self) -> None:
        self.allocated: dict[str, int] = {}
        self.in_use: Counter[str] = Counter()
        self.rejected: Counter[str] = Counter()

    def acquire(self, request_class: str, tenant: str) -> Sequence[str] | None:
        """Counts a request against its limits, unless one of them is used up.

        Returns:
            The names of these limits, for `release`; None if one is used up.
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
        """Stops counting a request against its limits."""
        self.in_use.subtract(limits)

    def within_allocation(self) -> bool:
        """Whether no limit is exceeded; one may be after its allocation was reduced."""
        return all(self.in_use[name] <= allocated for name, allocated in self.allocated.items())

    def collect_usage(self) -> dict[str, int]:
        """Returns the demand for each limit: requests in progress and those rejected since the last call."""
        usage = {name: self.in_use[name] + self.rejected[name] for name in self.allocated}
        self.rejected.clear()
        return usage
