"""Keeps the sockets of this process, and of the one that it replaces or is replaced by, under the limit."""

from crankfold.network.connection_pool import ConnectionLimiter
from crankfold.network.listener import Listener
from crankfold.service.config_file import SocketLimits

MIN_BACKEND_CONNECTIONS = 4


class SocketBudget:
    """Sets how many connections the listener and the backend pools may have open.

    While one process replaces another both stay under the limits that one process has alone.
    """

    def __init__(
        self, limits: SocketLimits, listener: Listener, connection_limiter: ConnectionLimiter
    ) -> None:
        self.limits = limits
        self.listener = listener
        self.connection_limiter = connection_limiter
        self._yielded = False
        self._other_clients = 0
        self._other_backends = 0

    def change_limits(self, limits: SocketLimits) -> None:
        """Puts other limits in force; what the other process holds still counts."""
        self.limits = limits
        self._apply()

    def reserve(self, client_connections: int, backend_connections: int) -> None:
        """Leaves room for what the predecessor holds; with zeros all is for this process."""
        self._yielded = False
        self._other_clients = client_connections
        self._other_backends = backend_connections
        self._apply()

    def yield_to_successor(self) -> None:
        """Keeps the least with which this process can finish its requests."""
        self._yielded = True
        self._other_clients = 0
        self._other_backends = 0
        self._apply()

    def _apply(self) -> None:
        for_backends, for_accepted = self.limits
        least = max(for_backends // 4, MIN_BACKEND_CONNECTIONS)
        if self._yielded:
            # Clients as before: nobody new comes, and who was just accepted must not push another out.
            self.connection_limiter.max_connections = least
        else:
            self.connection_limiter.max_connections = max(for_backends - self._other_backends, least)
            # Never nothing: an eighth is less than what is kept free on either side.
            self.listener.max_connections = max(for_accepted - self._other_clients, for_accepted // 8)
