"""The sockets of two processes of one dispatcher stay under the limit together."""

from typing import Any
from unittest.mock import Mock

from crankfold.network.admin_server import MAX_CALLERS
from crankfold.service.config_file import SocketLimits, divide_socket_limit
from crankfold.service.socket_budget import SocketBudget
from tests.fixtures import TraceTestCase


class SocketBudgetTest(TraceTestCase):
    """What the one that goes leaves to the one that comes."""

    def test_descriptors_of_both_stay_under_the_limit(self) -> None:
        given: dict[str, Any] = {"limits": {"sockets": 384}}
        backend_connections, others = divide_socket_limit(given, True)
        for open_connections in (0, 100, others):
            node, old = (
                SocketBudget(SocketLimits(backend_connections, others), Mock(), Mock()) for _ in "no"
            )
            old.yield_to_successor()
            node.reserve(open_connections, old.connection_limiter.max_connections)
            self.assertLessEqual(
                node.listener.max_connections + open_connections + backend_connections + 2 * MAX_CALLERS, 384
            )
            self.assertLessEqual(
                node.connection_limiter.max_connections + old.connection_limiter.max_connections,
                backend_connections,
            )
            node.reserve(0, 0)  # the old one has left
            self.assertEqual(
                (node.connection_limiter.max_connections, node.listener.max_connections),
                (backend_connections, others),
            )
