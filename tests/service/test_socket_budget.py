"""The sockets of two processes of one dispatcher stay under the limit together."""

from typing import Any
from unittest.mock import Mock

from crankfold.network.admin_server import MAX_CALLERS
from crankfold.service.config_file import SocketLimits, divide_socket_limit
from crankfold.service.socket_budget import SocketBudget
from tests.scene import TraceTestCase


class TwoProcesses(TraceTestCase):
    """What the one that goes leaves to the one that comes."""

    def test_descriptors_of_both_stay_under_the_limit(self) -> None:
        given: dict[str, Any] = {"limits": {"sockets": 384}}
        to_runners, others = divide_socket_limit(given, True)
        for held in (0, 100, others):
            node, old = (SocketBudget(SocketLimits(to_runners, others), Mock(), Mock()) for _ in "no")
            old.yield_to_successor()
            node.reserve(held, old.connection_limiter.max_connections)
            self.assertLessEqual(node.listener.max_connections + held + to_runners + 2 * MAX_CALLERS, 384)
            self.assertLessEqual(
                node.connection_limiter.max_connections + old.connection_limiter.max_connections, to_runners
            )
            node.reserve(0, 0)  # the old one has left
            self.assertEqual(
                (node.connection_limiter.max_connections, node.listener.max_connections), (to_runners, others)
            )
