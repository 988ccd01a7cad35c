"""Reading the configuration from nested settings and from lines."""

import unittest

from crankfold.config.parser import (
    SettingsError,
    flatten_settings,
    parse_lines,
    read_routing_config,
    read_service_config,
)
from crankfold.errors import CrankfoldError


class ParserTest(unittest.TestCase):
    def test_nested_settings_and_lines_give_same_configuration(self) -> None:
        nested = {
            "allowed": {"cancel": True, "conn-idle": 10000000, "second-copies": False, "most-dispatches": 5},
            "zones": ["north side", "south"],
            "kinds": [],
            "report": {"names": ["queue", "x0"], "via": "inline"},
            "service-grades": [
                {"name": "a", "effect": "safe", "cut-off": 5000049, "expected-time": 80000},
                {"name": "b", "effect": "keyed", "group": "zone", "cut-off": 12000000},
            ],
            "specifics": {"class-stretch": [2.0, 1.75], "report-x0": "free slots"},
            "tick": 2000,
            "odd": None,
        }
        lines = (
            "allowed.cancel=true\nallowed.conn-idle=10000000\nallowed.second-copies=false\n"
            "allowed.most-dispatches=5\nzones=north_side,south\nkinds=\nreport.names=queue,x0\n"
            "report.via=inline\nservice-grades.count=2\nservice-grades.0.name=a\nservice-grades.0.effect=safe\n"
            "service-grades.0.cut-off=5000049\nservice-grades.0.expected-time=80000\nservice-grades.1.name=b\n"
            "service-grades.1.effect=keyed\nservice-grades.1.group=zone\nservice-grades.1.cut-off=12000000\n"
            "specifics.class-stretch=2.0,1.75\nspecifics.report-x0=free_slots\ntick=2000\nodd=\n"
        )
        self.assertEqual(flatten_settings(nested), parse_lines(lines))
        routing = read_routing_config(flatten_settings(nested))
        self.assertEqual(routing, read_routing_config(parse_lines(lines)))
        self.assertEqual(
            (routing.report_fields, routing.request_classes[0].deadline), (["queue", "free_slots"], 50000)
        )
        service = read_service_config(flatten_settings(nested))
        self.assertEqual(
            (service.request_classes.find("b"), service.request_classes.find("c"), service.longest_deadline),
            (1, -1, 120000),
        )

    def test_service_config_accepts_tenants_and_validates_their_count(self) -> None:
        config_without_tenants = read_service_config({})
        for tenants in (["a", "b"], [{"name": "a"}, {"name": "b", "quota-rps": 5}]):
            config = read_service_config(flatten_settings({"orgs": tenants}))
            self.assertEqual(config.request_classes.names, config_without_tenants.request_classes.names)
            self.assertEqual(config.max_pending, config_without_tenants.max_pending)
        with self.assertRaisesRegex(SettingsError, "'x'"):
            read_service_config({"orgs.count": "x"})

    def test_malformed_number_raises_settings_error(self) -> None:
        self.assertTrue(issubclass(SettingsError, CrankfoldError))
        for path in ("balancers", "tick", "specifics.class-stretch", "rules.overload-factor"):
            with self.assertRaisesRegex(SettingsError, "'x'"):
                read_routing_config({path: "x"})
        for path in ("allowed.conn-idle", "allowed.most-held"):
            with self.assertRaisesRegex(SettingsError, "'x'"):
                read_service_config({path: "x"})
