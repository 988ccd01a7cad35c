"""Takes operators' calls on an address of its own."""

import asyncio
import socket

from crankfold.network.tally import Tally
from crankfold.protocol.operators import Operated, OperatorSide, carry_out

PLACES = 16  # callers at once; their descriptors are kept free of clients and runners
CALL_WITHIN = 2.0
LINGER = 0.2
LUMP = 4 * 1024


class Door:
    def __init__(self, operated: Operated, tally: Tally) -> None:
        self.operated, self.tally = operated, tally
        self.loop = asyncio.get_running_loop()
        # The first to come first. Who has said what he wants is not sent away for others.
        self.callers: dict[OperatorSide, asyncio.StreamWriter] = {}
        self.server: asyncio.Server | None = None

    async def open(self, host: str, port: int) -> None:
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        door = socket.create_server((host, port), family=family, backlog=256)
        self.server = await asyncio.start_server(self._taken, sock=door, backlog=2, limit=LUMP)
        door.listen(256)  # asyncio takes one figure for both: two are accepted in a turn

    def port(self) -> int:
        return int(self.server.sockets[0].getsockname()[1]) if self.server else 0

    async def _taken(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tally.count("operators-callers")
        while len(self.callers) >= PLACES:
            # Who stays and says nothing would keep out the call that matters.
            oldest = next((side for side in self.callers if not side.call), None)
            if oldest is None:
                writer.transport.abort()
                return
            self.tally.count("operators-sent-away")
            self.callers.pop(oldest).transport.abort()
        side = OperatorSide()
        self.callers[side] = writer
        began = self.loop.time()
        try:
            try:
                async with asyncio.timeout(CALL_WITHIN):
                    while not side.call and not side.over:
                        data = await reader.read(LUMP)
                        if not data:
                            return
                        side.feed(data)
                        if side.out and not side.over:  # go on sending
                            writer.writelines(side.out)
                            side.out.clear()
            except TimeoutError:
                side.answer(408)
            if side.call:
                await self._carry_out(side)
            writer.writelines(side.out)
            self.tally.count("operators-calls" if side.call else "operators-refused")
            self.tally.most("operators-longest-ms", int((self.loop.time() - began) * 1000))
            if writer.can_write_eof():
                writer.write_eof()
            async with asyncio.timeout(LINGER):  # a reset would overtake the answer
                while await reader.read(LUMP):
                    pass
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass
        finally:
            self.callers.pop(side, None)
            writer.close()

    async def _carry_out(self, side: OperatorSide) -> None:
        try:
            await carry_out(side, self.operated)
        except Exception as wrong:
            self.tally.failed(wrong)
            side.answer(500)
            if __debug__:
                raise

    async def close(self) -> None:
        if self.server:
            self.server.close()
        for writer in self.callers.values():
            writer.close()
