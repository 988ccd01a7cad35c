"""Quotas: each member's part of the limits that hold for the whole cluster, allocated by the leader."""

from crankfold.consensus.conservative_merge import LIMITS, QUOTAS
from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import LeaseHolderStatus
from crankfold.consensus.raft import Raft
from crankfold.consensus.versioned_documents import VersionedDocuments

Allocation = dict[str, dict[str, int]]  # quotas by limit and member

# A member that has used up its quota gets more only if that is over a tenth of the limit.
MIN_GAIN_PARTS = 10


def allocate_quotas(limits: dict[str, int], usage: dict[str, dict[str, int]]) -> Allocation:
    """Divides each limit in proportion to what each member uses of it, plus one; the quotas sum up to it.

    Args:
        limits: Open requests of the whole cluster, by the limit's name.
        usage: By member and limit, open requests and those wanted.
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


def _same_members(limits: dict[str, int], current: Allocation, target: Allocation) -> bool:
    return current.keys() == target.keys() and all(
        current[limit].keys() == target[limit].keys() and sum(current[limit].values()) == total
        for limit, total in limits.items()
    )


def needs_allocation(
    limits: dict[str, int], usage: dict[str, dict[str, int]], current: Allocation, target: Allocation
) -> bool:
    """Whether members or limits changed, or one has used up its quota and would gain enough.

    Args:
        limits: Open requests of the whole cluster, by the limit's name.
        usage: By member and limit, open requests and those wanted.
        current: The newest allocation.
        target: What would be allocated now.
    """
    if not _same_members(limits, current, target):
        return True
    return any(
        usage[name].get(limit, 0) >= quota and MIN_GAIN_PARTS * (target[limit][name] - quota) > limits[limit]
        for limit, quotas in current.items()
        for name, quota in quotas.items()
    )


class QuotaAllocator:
    """Proposes a new allocation at the leader when one is due."""

    def __init__(self, raft: Raft, documents: VersionedDocuments) -> None:
        """For the node that `raft` is."""
        self._raft = raft
        self._documents = documents

    def propose_if_due(self, now: int, alive: list[LeaseHolderStatus]) -> None:
        """Proposes an allocation to the members that are alive, unless the last one is still pending."""
        quota_document = self._documents.document(QUOTAS)
        if quota_document.pending() or not self._documents.document(LIMITS).versions:
            return
        limits = (self._documents.effective_content(LIMITS) or {}).get("limits", {})
        usage = {member.name: member.quota_usage for member in alive}
        target = allocate_quotas(limits, usage)
        current = quota_document.versions[-1].text["shares"] if quota_document.versions else {}
        if not needs_allocation(limits, usage, current, target):
            return
        data = {
            "call": f"deal {self._raft.term} {self._raft.log.last_index()}",
            "doc": QUOTAS,
            "made_from": quota_document.latest_number(),
            "author": self._raft.name,
            "reason": "dealt by what each carries",
            "at": 0,
            "text": {"shares": target},
        }
        self._raft.propose(now, EntryKind.PUBLISH, data)
