"""What the system holds of a connection and the program has not read."""

import asyncio
import select

PEER_CLOSED = (
    select.POLLRDHUP
)  # the other side will send no more; errors and a reset are reported in any case
ANY_INPUT = select.POLLIN | PEER_CLOSED


def has_pending(writer: asyncio.StreamWriter, events: int) -> bool:
    """Whether one of the poll events is pending at this moment on a connection that is open here."""
    poll = select.poll()
    poll.register(writer.get_extra_info("socket").fileno(), events)
    return bool(poll.poll(0))
