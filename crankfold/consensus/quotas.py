"""The allocation of cluster-wide limits to members as quotas, which the leader proposes."""

from crankfold.consensus.log_entries import EntryKind, PublishData, entry_data
from crankfold.consensus.messages import LeaseHolderStatus
from crankfold.consensus.raft import Raft
from crankfold.consensus.versioned_documents import VersionedDocuments
from crankfold.document_names import LIMITS, QUOTAS

Allocation = dict[str, dict[str, int]]  # quotas by limit and member

# The leader proposes new quotas if a member that uses all of its quota would gain over a tenth of the limit.
MIN_GAIN_DIVISOR = 10


def allocate_quotas(limits: dict[str, int], usage: dict[str, dict[str, int]]) -> Allocation:
    """Divides each limit among the members.

    A member's quota is proportional to its usage plus one. What rounding down leaves over goes to the members
    with the largest fractions, ties in order of name, so that the quotas of a limit add up to it.

    Args:
        limits: The highest number of open requests in the cluster, by limit.
        usage: The number of open and wanted requests, by member and limit.

    Returns:
        Quotas in open requests.
    """
    quotas: Allocation = {}
    for limit, total in limits.items():
        weights = {name: used.get(limit, 0) + 1 for name, used in sorted(usage.items())}
        weight_sum = sum(weights.values())
        allocated = {name: total * weight // weight_sum for name, weight in weights.items()}
        remainders = {name: total * weight % weight_sum for name, weight in weights.items()}
        by_remainder = sorted(allocated, key=lambda name: (-remainders[name], name))
        for name in by_remainder[: total - sum(allocated.values())]:
            allocated[name] += 1
        quotas[limit] = allocated
    return quotas


def _same_members_and_limits(limits: dict[str, int], current: Allocation, target: Allocation) -> bool:
    return current.keys() == target.keys() and all(
        current[limit].keys() == target[limit].keys() and sum(current[limit].values()) == total
        for limit, total in limits.items()
    )


def needs_allocation(
    limits: dict[str, int], usage: dict[str, dict[str, int]], current: Allocation, target: Allocation
) -> bool:
    """Whether new quotas are due: members or limits changed, or a member at its quota would gain enough.

    Args:
        limits: The highest number of open requests in the cluster, by limit.
        usage: The number of open and wanted requests, by member and limit.
        current: The newest allocation.
        target: The allocation for the current usage.
    """
    if not _same_members_and_limits(limits, current, target):
        return True
    return any(
        usage[name].get(limit, 0) >= quota
        and MIN_GAIN_DIVISOR * (target[limit][name] - quota) > limits[limit]
        for limit, quotas in current.items()
        for name, quota in quotas.items()
    )


class QuotaAllocator:
    """Proposes allocations while its voter leads."""

    def __init__(self, raft: Raft, documents: VersionedDocuments) -> None:
        """Makes the allocator of the voter with this Raft node and these replicated documents."""
        self._raft = raft
        self._documents = documents

    def propose_if_due(self, now: int, alive: list[LeaseHolderStatus]) -> None:
        """Proposes an allocation to the `alive` members, unless one is pending or none is needed."""
        quota_document = self._documents.document(QUOTAS)
        if quota_document.pending() or not self._documents.document(LIMITS).versions:
            return
        limits = (self._documents.effective_content(LIMITS) or {}).get("limits", {})
        usage = {member.name: member.quota_usage for member in alive}
        target = allocate_quotas(limits, usage)
        current = quota_document.versions[-1].text["shares"] if quota_document.versions else {}
        if not needs_allocation(limits, usage, current, target):
            return
        data = PublishData(
            call=f"deal {self._raft.term} {self._raft.log.last_index()}",
            doc=QUOTAS,
            made_from=quota_document.latest_number(),
            author=self._raft.name,
            reason="dealt by what each carries",
            at=0,
            text={"shares": target},
        )
        self._raft.propose(now, EntryKind.PUBLISH, entry_data(data))
