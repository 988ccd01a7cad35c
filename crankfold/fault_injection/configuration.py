"""The configuration of a trial's processes, and the request classes that its operators publish."""

from crankfold.fault_injection.loopback import HOST
from crankfold.fault_injection.plan import TrialPlan
from crankfold.fault_injection.records import JsonObject

Settings = JsonObject  # encoded as in the configuration file

DEADLINE_US = 3_000_000
LATENCY_OBJECTIVE_US = 1_000_000
DEDUPLICATION_WINDOW_US = 2_000_000
MICROSECONDS_PER_SECOND = 1_000_000
REQUEST_CLASSES = ["flips", "once", "free"]
INITIAL_CAPACITY = 0.5  # share of its full capacity with which a backend begins slow start
OVERLOAD_FACTOR = 3.0
OVERLOAD_PERIOD_US = 1_000_000
TICK_US = 2000
# Idempotency of the request class `flips` in published settings; "dropped" removes the class.
IDEMPOTENCY_VALUES = ("safe", "keyed", "unsafe", "dropped")
ALLOWED: Settings = {"most-dispatches": 3, "cancel": True, "second-copies": True}


def request_class_settings(idempotency: str) -> list[Settings]:
    """Returns the request classes; `idempotency` is one of `IDEMPOTENCY_VALUES`, for the class `flips`."""
    times = {"cut-off": DEADLINE_US, "expected-time": LATENCY_OBJECTIVE_US}
    fixed_classes = [
        {"name": "once", "effect": "unsafe", **times},
        {"name": "free", "effect": "safe", **times},
    ]
    if idempotency == "dropped":
        return fixed_classes
    flips = {"name": "flips", "effect": idempotency, **times}
    if idempotency == "keyed":
        flips |= {"group": "all", "repeat-window": DEDUPLICATION_WINDOW_US}
    return [flips, *fixed_classes]


def process_configuration(
    plan: TrialPlan,
    *,
    seed: int,
    name: str,
    ports: dict[str, int],
    voters: dict[str, str],
    storage: str,
) -> Settings:
    """Returns the contents of the configuration file of one process.

    Args:
        plan: The plan of the trial.
        seed: The seed of the process.
        name: The name of the process.
        ports: The ports "listen" (for clients), "discovery" and "admin".
        voters: The address by which this process reaches each voter.
        storage: The folder for its state.
    """
    return {
        "listen": f"{HOST}:{ports['listen']}",
        "discovery": f"{HOST}:{ports['discovery']}",
        "admin_addr": f"{HOST}:{ports['admin']}",
        "seed": f"{seed:x}",
        "peers": _cluster_settings(plan, name, voters, storage),
        "settings": _initial_settings(plan),
    }


def _cluster_settings(plan: TrialPlan, name: str, voters: dict[str, str], storage: str) -> Settings:
    return {
        "name": name,
        "voters": voters,
        "folder": storage,
        "record": "-",
        "stated-time": plan.staleness_bound,
        "when-cut-off": plan.without_lease,
    }


def _initial_settings(plan: TrialPlan) -> Settings:
    return {
        "allowed": ALLOWED,
        "tick": TICK_US,
        "zones": sorted(set(plan.machine_zones().values())),
        "balancers": len(plan.process_names()),
        "rules": {
            "cold-from": INITIAL_CAPACITY,
            "warm-after": int(plan.slow_start_seconds * MICROSECONDS_PER_SECOND),
            "overload-factor": OVERLOAD_FACTOR,
            "overload-for": OVERLOAD_PERIOD_US,
        },
        "specifics": {"tells-start": False, "report-x0": "free slots"},
        "report": {"names": ["queue", "x0"], "via": "inline"},
        "service-grades": request_class_settings("safe"),
    }
