"""Watches the resident memory of the process against its limit."""

import logging
from collections.abc import Callable, Mapping

from crankfold.network.process_memory import BYTES_PER_MEGABYTE, resident_bytes

logger = logging.getLogger(__name__)

WARNING_SHARE = 0.8  # of the limit


class MemoryMonitor:
    """Logs what the process holds once its resident memory comes near the limit.

    Args:
        limit: Bytes, 0 for no limit.
        describe_held: Returns the bytes held by purpose.
    """

    def __init__(self, limit: int, describe_held: Callable[[], Mapping[str, int]]) -> None:
        self.limit = limit
        self._describe_held = describe_held

    def check(self) -> None:
        """Logs a warning if the resident memory is over WARNING_SHARE of the limit."""
        resident = resident_bytes()
        if not self.limit or resident <= WARNING_SHARE * self.limit:
            return
        held = " ".join(f"{name}={value}" for name, value in self._describe_held().items())
        logger.warning(
            "%s of %s MB resident; %s",
            resident // BYTES_PER_MEGABYTE,
            self.limit // BYTES_PER_MEGABYTE,
            held,
            extra={"category": "memory"},
        )
