"""The drain of the dispatcher in this process, which moves its clients to other dispatchers."""

import logging

from crankfold.network.listener import Listener
from crankfold.service.requests.handler import RequestHandler

logger = logging.getLogger(__name__)

DRAIN_CHECK_INTERVAL = 0.05  # seconds between two checks of whether a drain is complete


class ServiceDrain:
    """Drains this process, or ends its drain; the other processes of the dispatcher are not told."""

    def __init__(self, request_handler: RequestHandler, listener: Listener) -> None:
        self.request_handler = request_handler
        self.lifecycle = request_handler.lifecycle
        self.metrics = request_handler.metrics
        self.listener = listener
        self.loop = request_handler.timers.loop
        self._checking = False

    def start(self, *, in_replacement: bool = False) -> None:
        """Drains this process; a repeated call has no effect.

        Args:
            in_replacement: Whether this process replaces another one, which has to complete all the same.
        """
        if self.lifecycle.start_drain(self.loop.time(), in_replacement=in_replacement):
            self.metrics.increment("drains")
            logger.info("out of service: draining")
        if not self._checking:
            self._checking = True
            self._check()

    def end(self) -> bool:
        """Ends the drain of this process; returns False if it is shutting down."""
        allowed = self.lifecycle.resume_serving(self.loop.time())
        if allowed and self.listener.closing:
            self.listener.closing = False
            logger.info("back in service")
        return allowed

    def _check(self) -> None:
        """Closes idle client connections; repeats itself until this process resumes service or shuts down."""
        self._checking = self.lifecycle.is_leaving()
        if not self._checking:
            return
        now = self.loop.time()
        self.listener.closing = True
        if self.lifecycle.closes_idle_connections(now):
            self.listener.close_idle(spare_backends=True)
        empty = not self.request_handler.open_request_count() and not self.listener.has_client_connections()
        if self.lifecycle.finish_drain(now, empty):
            logger.info("drain complete: no client connections left")
        self.loop.call_later(DRAIN_CHECK_INTERVAL, self._check)
