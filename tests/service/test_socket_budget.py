"""During a handover both processes of a dispatcher together stay under its socket limit."""

from typing import Any
from unittest.mock import Mock

from crankfold.network.admin_server import MAX_CALLERS
from crankfold.service.config_file import SocketLimits, divide_socket_limit
from crankfold.service.socket_budget import SocketBudget
from tests.fixtures import TraceTestCase


class SocketBudgetTest(TraceTestCase):
    def test_sockets_of_predecessor_and_successor_stay_under_limit(self) -> None:
        document: dict[str, Any] = {"limits": {"sockets": 384}}
        backend_connections, accepted_connections = divide_socket_limit(document, True)
        for open_connections in (0, 100, accepted_connections):
            successor, predecessor = (
                SocketBudget(SocketLimits(backend_connections, accepted_connections), Mock(), Mock())
                for _ in "no"
            )
            predecessor.yield_to_successor()
            successor.reserve(open_connections, predecessor.connection_limiter.max_connections)
            self.assertLessEqual(
                successor.listener.max_connections + open_connections + backend_connections + 2 * MAX_CALLERS,
                384,
            )
            self.assertLessEqual(
                successor.connection_limiter.max_connections + predecessor.connection_limiter.max_connections,
                backend_connections,
            )
            successor.reserve(0, 0)  # the predecessor has exited
            self.assertEqual(
                (successor.connection_limiter.max_connections, successor.listener.max_connections),
                (backend_connections, accepted_connections),
            )
