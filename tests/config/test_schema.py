"""Validation of a configuration file against its schema."""

import copy
from typing import Any

from crankfold.config import schema
from tests.fixtures import TraceTestCase

CONFIG_FILE: dict[str, Any] = {
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
    def validate_changed(self, change: str, *path: Any, value: Any = None, remove: bool = False) -> None:
        """Validates `CONFIG_FILE` with one value replaced or removed, and records the result."""
        config_file = copy.deepcopy(CONFIG_FILE)
        parent: Any = config_file
        for key in path[:-1]:
            parent = parent[key]
        if remove:
            del parent[path[-1]]
        elif path:
            parent[path[-1]] = value
        try:
            schema.validate(config_file, CONFIG_FILE)
        except schema.SchemaError as error:
            self.record(f"{change}: {error}")
        else:
            self.record(f"{change}: taken")

    def test_invalid_file_is_rejected_with_path_of_field(self) -> None:
        request_classes = ("settings", "service-grades")
        self.validate_changed("the same")
        for name in ("listen", "discovery", "settings", "limits", "seed", "known"):
            self.validate_changed(f"no {name}", name, remove=True)
        for name in ("service-grades", "allowed", "tick", "specifics"):
            self.validate_changed(f"no {name}", "settings", name, remove=True)
        self.validate_changed("no key deep inside", "settings", "specifics", "tells-start", remove=True)
        self.validate_changed("no cut-off", *request_classes, 1, "cut-off", remove=True)
        self.validate_changed("no group, which not all have", *request_classes, 1, "group", remove=True)
        for value in (0, -1, "soon", None, True, "5"):
            self.validate_changed(f"cut-off {value!r}", *request_classes, 0, "cut-off", value=value)
        for max_attempts in (0, -3, 2.5, "many", None):
            self.validate_changed(
                f"dispatches {max_attempts!r}", "settings", "allowed", "most-dispatches", value=max_attempts
            )
        self.validate_changed("no grade at all", *request_classes, value=[])
        self.validate_changed(
            "one grade fewer", *request_classes, value=CONFIG_FILE["settings"]["service-grades"][:1]
        )
        self.validate_changed("a name twice", *request_classes, 1, "name", value="a")
        self.validate_changed("an effect unknown", *request_classes, 0, "effect", value="harmless")
        self.validate_changed("settings a list", "settings", value=[])
        self.validate_changed("a grade no object", *request_classes, 0, value="a")
        self.assert_matches_trace("renewal-forms")
