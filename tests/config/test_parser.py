"""Settings as a file nests them and as lines have them."""

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
    def test_settings_mean_the_same_nested_and_in_lines(self) -> None:
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

    def test_tenants_are_accepted_by_name_and_their_count_is_validated(self) -> None:
        without = read_service_config({})
        for orgs in (["a", "b"], [{"name": "a"}, {"name": "b", "quota-rps": 5}]):
            given = read_service_config(flatten_settings({"orgs": orgs}))
            self.assertEqual(given.request_classes.names, without.request_classes.names)
            self.assertEqual(given.max_pending, without.max_pending)
        with self.assertRaisesRegex(SettingsError, "'x'"):
            read_service_config({"orgs.count": "x"})

    def test_a_malformed_number_is_a_settings_error(self) -> None:
        self.assertTrue(issubclass(SettingsError, CrankfoldError))
        for name in ("balancers", "tick", "specifics.class-stretch", "rules.overload-factor"):
            with self.assertRaisesRegex(SettingsError, "'x'"):
                read_routing_config({name: "x"})
        for name in ("allowed.conn-idle", "allowed.most-held"):
            with self.assertRaisesRegex(SettingsError, "'x'"):
                read_service_config({name: "x"})
