"""Checks a connection for input that is in the kernel's buffers and not read yet."""

import asyncio
import select

# The peer has half-closed the connection; poll reports errors and resets even if they are not requested.
PEER_CLOSED = select.POLLRDHUP
ANY_INPUT = select.POLLIN | PEER_CLOSED


def has_pending(writer: asyncio.StreamWriter, events: int) -> bool:
    """Whether one of the poll events is pending on a connection that this process has not closed."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
