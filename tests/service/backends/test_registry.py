"""The effective states of backends, with drains and with data of another process of the dispatcher."""

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

    def register(self, backend_id: str, boot_ms: int = 0) -> Endpoint:
        return self.registry.register(
            DiscoveryEntry(backend_id, "h", 1, "z", "k", 0, EndpointState.READY, 1.0, boot_ms)
        )

    def backend_states(self) -> list[EndpointState]:
        return [record.state for record in self.registry.records]

    def test_backends_in_slow_start_are_reserved_for_successor_until_reservation_ends(self) -> None:
        endpoints = [self.register("old"), self.register("warm", 8_000), self.register("cold", 9_500)]
        self.registry.update_endpoints(endpoints, True)
        self.assertEqual(self.backend_states(), [EndpointState.READY] * 3)
        self.registry.reserve_slow_start(True)
        self.assertEqual(
            self.backend_states(), [EndpointState.READY, EndpointState.READY, EndpointState.DRAINING]
        )
        self.registry.update_endpoints(endpoints[2:], False)  # a list update does not end the reservation
        self.assertEqual(self.backend_states()[2], EndpointState.DRAINING)
        changed = self.registry.reserve_slow_start(False)
        self.assertEqual((self.backend_states(), len(changed)), ([EndpointState.READY] * 3, 2))

    def test_only_known_backends_can_be_drained(self) -> None:
        self.registry.update_endpoints([self.register("a")], True)
        self.assertRaises(UnknownBackendError, self.registry.drain, "b")
        self.assertRaises(UnknownBackendError, self.registry.restore, "b")
        self.registry.known_ids.add("b")  # the predecessor process knew it
        self.assertIsNone(self.registry.drain("b"))
        drained = self.registry.drain("a")
        self.assertIsNotNone(drained)
        self.assertEqual(self.backend_states(), [EndpointState.DRAINING])
        self.assertIsNone(self.registry.drain("a"))
        self.assertFalse(self.registry.any_ready())

    def test_cluster_drains_are_replaced_by_each_call(self) -> None:
        self.registry.update_endpoints([self.register("a"), self.register("b")], True)
        changed = self.registry.set_cluster_drains({"a"})
        self.assertEqual(
            [(endpoint.backend, endpoint.state) for endpoint in changed], [(0, EndpointState.DRAINING)]
        )
        self.registry.set_cluster_drains({"b"})
        self.assertEqual(self.backend_states(), [EndpointState.READY, EndpointState.DRAINING])
