"""Checks a connection for input in the kernel's buffers that was not read yet."""

import asyncio
import select

PEER_CLOSED = select.POLLRDHUP  # the peer has half-closed; poll reports errors and resets in any case
ANY_INPUT = select.POLLIN | PEER_CLOSED


def has_pending(writer: asyncio.StreamWriter, events: int) -> bool:
    """Whether one of the poll events is pending on a connection that this process has not closed."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
