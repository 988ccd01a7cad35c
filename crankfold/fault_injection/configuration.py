"""The configuration of a trial's processes, and the request classes that its operators publish."""

from typing import Any

from crankfold.fault_injection.http_client import HOST
from crankfold.fault_injection.plan import TrialPlan

Settings = dict[str, Any]  # in the form of the configuration file

DEADLINE_US = 3_000_000
LATENCY_OBJECTIVE_US = 1_000_000
DEDUPLICATION_WINDOW_US = 2_000_000
MICROSECONDS_PER_SECOND = 1_000_000
REQUEST_CLASSES = ["flips", "once", "free"]
# What operators make of the request class `flips`; "dropped" leaves it out.
IDEMPOTENCY_VALUES = ("safe", "keyed", "unsafe", "dropped")
ALLOWED: Settings = {"most-dispatches": 3, "cancel": True, "second-copies": True}


def request_class_settings(idempotency: str) -> list[Settings]:
    """The request classes, with `flips` of that idempotency."""
    times = {"cut-off": DEADLINE_US, "expected-time": LATENCY_OBJECTIVE_US}
    constant = [
        {"name": "once", "effect": "unsafe", **times},
        {"name": "free", "effect": "safe", **times},
    ]
    if idempotency == "dropped":
        return constant
    flips = {"name": "flips", "effect": idempotency, **times}
    if idempotency == "keyed":
        flips |= {"group": "all", "repeat-window": DEDUPLICATION_WINDOW_US}
    return [flips, *constant]


def process_configuration(
    plan: TrialPlan,
    *,
    seed: int,
    name: str,
    ports: dict[str, int],
    voters: dict[str, str],
    storage: str,
) -> Settings:
    """The configuration file of one process, over thirty lines as it is one document.

    `ports` has its ports for clients ("listen"), discovery and the admin server; `voters` the address of
    each voter as this process is to see it.
    """
    return {
        "listen": f"{HOST}:{ports['listen']}",
        "discovery": f"{HOST}:{ports['discovery']}",
        "admin_addr": f"{HOST}:{ports['admin']}",
        "seed": f"{seed:x}",
        "peers": {
            "name": name,
            "voters": voters,
            "folder": storage,
            "record": "-",
            "stated-time": plan.staleness_bound,
            "when-cut-off": plan.without_lease,
        },
        "settings": {
            "allowed": ALLOWED,
            "tick": 2000,
            "zones": sorted(set(plan.machine_zones().values())),
            "balancers": len(plan.process_names()),
            "rules": {
                "cold-from": 0.5,
                "warm-after": int(plan.slow_start_seconds * MICROSECONDS_PER_SECOND),
                "overload-factor": 3.0,
                "overload-for": 1_000_000,
            },
            "specifics": {"tells-start": False, "report-x0": "free slots"},
            "report": {"names": ["queue", "x0"], "via": "inline"},
            "service-grades": request_class_settings("safe"),
        },
    }
