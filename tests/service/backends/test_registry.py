"""The backend registry: states in force, with drains and with what another process sends."""

import unittest
from unittest.mock import Mock

from crankfold.config.parser import read_service_config
from crankfold.protocol.discovery import DiscoveryEntry
from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.backends.registry import BackendRegistry, UnknownBackendError


class BackendRegistryTest(unittest.TestCase):
    def setUp(self) -> None:
        config = read_service_config({"rules.warm-after": "1000000"})
        self.registry = BackendRegistry(config, Mock(clock=Mock(now=lambda: 100_000)), Mock())

    def endpoint(self, backend_id: str, boot_ms: int = 0) -> Endpoint:
        return self.registry.register(
            DiscoveryEntry(backend_id, "h", 1, "z", "k", 0, EndpointState.READY, 1.0, boot_ms)
        )

    def states(self) -> list[EndpointState]:
        return [record.state for record in self.registry.records]

    def test_backends_that_warm_up_are_left_to_the_successor_and_taken_back(self) -> None:
        endpoints = [self.endpoint("old"), self.endpoint("warm", 8_000), self.endpoint("cold", 9_500)]
        self.registry.update_endpoints(endpoints, True)
        self.assertEqual(self.states(), [EndpointState.READY] * 3)
        self.registry.reserve_slow_start(True)
        self.assertEqual(self.states(), [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING])
        self.registry.update_endpoints(endpoints[2:], False)  # whatever the list says meanwhile
        self.assertEqual(self.states()[2], EndpointState.DRAINING)
        changed = self.registry.reserve_slow_start(False)
        self.assertEqual((self.states(), len(changed)), ([EndpointState.READY] * 3, 2))

    def test_only_backends_that_were_listed_can_be_drained(self) -> None:
        self.registry.update_endpoints([self.endpoint("a")], True)
        self.assertRaises(UnknownBackendError, self.registry.drain, "b")
        self.assertRaises(UnknownBackendError, self.registry.restore, "b")
        self.registry.known_ids.add("b")  # the process before this one had it
        self.assertIsNone(self.registry.drain("b"))
        drained = self.registry.drain("a")
        self.assertIsNotNone(drained)
        self.assertEqual(self.states(), [EndpointState.DRAINING])
        self.assertIsNone(self.registry.drain("a"))
        self.assertFalse(self.registry.any_ready())

    def test_cluster_drains_are_those_of_the_last_call_and_no_others(self) -> None:
        self.registry.update_endpoints([self.endpoint("a"), self.endpoint("b")], True)
        changed = self.registry.set_cluster_drains({"a"})
        self.assertEqual([(one.backend, one.state) for one in changed], [(0, EndpointState.DRAINING)])
        self.registry.set_cluster_drains({"b"})
        self.assertEqual(self.states(), [EndpointState.READY, EndpointState.DRAINING])
