"""Limits the sockets of this process together with those of its predecessor or successor."""

from crankfold.network.connection_pool import ConnectionLimiter
from crankfold.network.listener import Listener
from crankfold.service.config_file import SocketLimits

MIN_BACKEND_CONNECTIONS = 4
MIN_BACKEND_DIVISOR = 4  # during a handover a process keeps at least a quarter of its backend connections
MIN_ACCEPTED_DIVISOR = 8  # and an eighth of its accepted connections, which is less than the spare sockets


class SocketBudget:
    """Sets the connection limits of the listener and of the backend pools.

    During a handover both processes together stay within the limits of a single process.
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
        """Applies new limits; the connections of the other process still count."""
        self.limits = limits
        self._apply()

    def reserve(self, client_connections: int, backend_connections: int) -> None:
        """Reserves sockets for the connections of the predecessor; zeros end the reservation."""
        self._yielded = False
        self._other_clients = client_connections
        self._other_backends = backend_connections
        self._apply()

    def yield_to_successor(self) -> None:
        """Reduces the backend connections to the minimum for finishing the requests in progress."""
        self._yielded = True
        self._other_clients = 0
        self._other_backends = 0
        self._apply()

    def _apply(self) -> None:
        for_backends, for_accepted = self.limits
        min_for_backends = max(for_backends // MIN_BACKEND_DIVISOR, MIN_BACKEND_CONNECTIONS)
        if self._yielded:
            # The limit of accepted connections stays: the successor accepts the new ones, and a lower limit
            # would evict clients.
            self.connection_limiter.max_connections = min_for_backends
        else:
            self.connection_limiter.max_connections = max(
                for_backends - self._other_backends, min_for_backends
            )
            min_for_accepted = for_accepted // MIN_ACCEPTED_DIVISOR
            self.listener.max_connections = max(for_accepted - self._other_clients, min_for_accepted)
