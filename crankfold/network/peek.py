"""What the system holds of a connection and the program has not read."""

import asyncio
import select

ENDED = select.POLLRDHUP  # the other side will send no more; errors and a reset are told of in any case
ANYTHING = select.POLLIN | ENDED


def holds(writer: asyncio.StreamWriter, what: int) -> bool:
    """Whether it holds that at this moment; of a connection that is open here."""
    system = select.poll()
    system.register(writer.get_extra_info("socket").fileno(), what)
    return bool(system.poll(0))
