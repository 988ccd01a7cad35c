"""What a configuration file must look like."""

import copy
from typing import Any

from crankfold.config import schema
from tests.fixtures import TraceTestCase

FILE: dict[str, Any] = {
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "1f",
    "limits": {"sockets": 256},
    "known": None,
    "settings": {
        "allowed": {"most-dispatches": 3, "cancel": True},
        "tick": 2000,
        "specifics": {"tells-start": True},
        "service-grades": [
            {"name": "a", "effect": "safe", "cut-off": 3e6, "expected-time": 1000},
            {"name": "b", "effect": "keyed", "group": "zone", "cut-off": 3_000_000, "expected-time": 0},
        ],
    },
}


class SchemaTest(TraceTestCase):
    def tried(self, what: str, *path: Any, value: Any = None, lacks: bool = False) -> None:
        given = copy.deepcopy(FILE)
        at: Any = given
        for step in path[:-1]:
            at = at[step]
        if lacks:
            del at[path[-1]]
        elif path:
            at[path[-1]] = value
        try:
            schema.validate(given, FILE)
        except schema.SchemaError as wrong:
            self.record(f"{what}: {wrong}")
        else:
            self.record(f"{what}: taken")

    def test_an_invalid_file_is_rejected_with_the_path_of_the_field(self) -> None:
        request_classes = ("settings", "service-grades")
        self.tried("the same")
        for name in ("listen", "discovery", "settings", "limits", "seed", "known"):
            self.tried(f"no {name}", name, lacks=True)
        for name in ("service-grades", "allowed", "tick", "specifics"):
            self.tried(f"no {name}", "settings", name, lacks=True)
        self.tried("no key deep inside", "settings", "specifics", "tells-start", lacks=True)
        self.tried("no cut-off", *request_classes, 1, "cut-off", lacks=True)
        self.tried("no group, which not all have", *request_classes, 1, "group", lacks=True)
        for value in (0, -1, "soon", None, True, "5"):
            self.tried(f"cut-off {value!r}", *request_classes, 0, "cut-off", value=value)
        for most in (0, -3, 2.5, "many", None):
            self.tried(f"dispatches {most!r}", "settings", "allowed", "most-dispatches", value=most)
        self.tried("no grade at all", *request_classes, value=[])
        self.tried("one grade fewer", *request_classes, value=FILE["settings"]["service-grades"][:1])
        self.tried("a name twice", *request_classes, 1, "name", value="a")
        self.tried("an effect unknown", *request_classes, 0, "effect", value="harmless")
        self.tried("settings a list", "settings", value=[])
        self.tried("a grade no object", *request_classes, 0, value="a")
        self.assert_matches_trace("renewal-forms")
