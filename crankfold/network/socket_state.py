"""What the system holds of a connection and the program has not read."""

import asyncio
import select

PEER_CLOSED = select.POLLRDHUP  # the other side will send no more; errors and a reset are told of in any case
ANY_INPUT = select.POLLIN | PEER_CLOSED


def has_pending(writer: asyncio.StreamWriter, what: int) -> bool:
    """Whether it holds that at this moment; of a connection that is open here."""
    system = select.poll()
    system.register(writer.get_extra_info("socket").fileno(), what)
    return bool(system.poll(0))
