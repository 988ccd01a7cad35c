"""Keeps resident memory within `limits.memory_mb`, by a limit on the buffers for clients."""

import logging
from collections.abc import Callable, Mapping

from crankfold.network.memory_budget import MemoryBudget
from crankfold.network.process_memory import BYTES_PER_MEGABYTE, resident_bytes
from crankfold.service.config_file import SocketLimits

logger = logging.getLogger(__name__)

WARNING_SHARE = 0.8  # of the limit of the resident memory
RESERVED_BYTES = 6 * BYTES_PER_MEGABYTE  # for endpoint lists, queued events and what is freed a little later
CONNECTION_BYTES = 8 * 1024  # objects of an open connection, and of its transport
# Of what remains. The rest is for copies in transit between the kernel and the connections, and for
# fragmentation.
BUFFER_SHARE = 0.5
MIN_BUFFER_BYTES = 2 * BYTES_PER_MEGABYTE  # admits the largest request
LOG_CATEGORY = {"category": "memory"}


class MemoryLimiter:
    """Derives the limit of the memory budget, and watches the resident memory.

    Args:
        budget: The budget of this process.
        process_count: The number of processes that share the limit during a replacement. Each keeps to its
            share at all times, as what was used once stays resident for long.
        describe_buffers: Returns the bytes of buffers by purpose.
    """

    def __init__(
        self, budget: MemoryBudget, process_count: int, describe_buffers: Callable[[], Mapping[str, int]]
    ) -> None:
        self.budget = budget
        self._process_count = process_count
        self._describe_buffers = describe_buffers
        self._own_bytes = 0
        self._limit = 0

    def record_own_bytes(self) -> None:
        """Records what the process needs for itself; called before it serves clients."""
        self._own_bytes = resident_bytes()

    def apply(self, limit: int, sockets: SocketLimits) -> None:
        """Applies a limit of the resident memory of all processes of the dispatcher.

        Args:
            limit: Bytes; 0 for no limit.
            sockets: The connections that may be open.
        """
        self._limit = limit // self._process_count
        if not limit:
            self.budget.limit = 0
            return
        connections = sockets.accepted_connections + sockets.backend_connections
        needed = self._own_bytes + RESERVED_BYTES + connections * CONNECTION_BYTES
        self.budget.limit = max(int((self._limit - needed) * BUFFER_SHARE), MIN_BUFFER_BYTES)
        if self._limit <= needed:
            logger.warning(
                "%s MB of limits.memory_mb are for this process, which needs %s MB for itself",
                self._limit // BYTES_PER_MEGABYTE,
                needed // BYTES_PER_MEGABYTE,
                extra=LOG_CATEGORY,
            )

    def check(self) -> None:
        """Logs the sizes of buffers if the resident memory is over WARNING_SHARE of the limit."""
        resident = resident_bytes()
        if not self._limit or resident <= WARNING_SHARE * self._limit:
            return
        buffers = " ".join(f"{name}={value}" for name, value in self._describe_buffers().items())
        logger.warning(
            "%s of %s MB resident; %s",
            resident // BYTES_PER_MEGABYTE,
            self._limit // BYTES_PER_MEGABYTE,
            buffers,
            extra=LOG_CATEGORY,
        )
