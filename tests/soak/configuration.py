"""The configuration file of a dispatcher of the soak."""

from typing import Any

from crankfold.fault_injection.http_client import HOST
from tests.soak.judge import SlowStartSettings
from tests.soak.observations import RequestClass
from tests.soak.plan import RunPlan

DISPATCHERS = ("d0", "d1")
MICROSECONDS = 1e6  # of a second
LATENCY_OBJECTIVE_SHARE = 0.9  # of a class's deadline
SOCKET_LIMIT = 512
CROWDED_SOCKET_LIMIT = 128  # which a crowd of connections reaches


def dispatcher_configuration(
    plan: RunPlan, name: str, *, listen_port: int, discovery_port: int, endpoints: list[dict[str, Any]]
) -> dict[str, Any]:
    """The configuration of the dispatcher of that name; `endpoints` are known at its start."""
    return {
        "name": name,
        "listen": f"{HOST}:{listen_port}",
        "discovery": f"{HOST}:{discovery_port}",
        "seed": "1f",
        "limits": {"sockets": CROWDED_SOCKET_LIMIT if plan.crowd else SOCKET_LIMIT},
        "known": {"rev": 0, "all": True, "targets": endpoints},
        "settings": {
            "allowed": {
                "most-dispatches": 3,
                "cancel": True,
                "second-copies": True,
                "conn-idle": 4_000_000,
                "connect-timeout": 250_000,
            },
            "tick": 2000,
            "balancers": len(DISPATCHERS),
            "me": DISPATCHERS.index(name),
            "zones": ["x", "y"],
            "service-grades": [_class_settings(request_class) for request_class in plan.classes],
            "rules": _rule_settings(),
        },
    }


def _class_settings(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "effect": request_class.effect,
        "group": "zone",
        "repeat-window": int(request_class.window * MICROSECONDS),
        "cut-off": int(request_class.timeout * MICROSECONDS),
        "expected-time": int(request_class.timeout * MICROSECONDS * LATENCY_OBJECTIVE_SHARE),
    }


def _rule_settings() -> dict[str, Any]:
    return {
        "drain-grace": 300_000,
        "cold-from": SlowStartSettings.initial_capacity,
        "warm-after": int(SlowStartSettings.warm_up * MICROSECONDS),
        "overload-factor": SlowStartSettings.factor,
        "overload-for": int(SlowStartSettings.span * MICROSECONDS),
    }
