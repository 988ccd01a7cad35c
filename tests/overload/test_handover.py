"""Callbacks for unknown requests at full speed while a process is replaced."""

import asyncio
import signal

from tests.fixtures import read_message
from tests.loopback import CALLBACK
from tests.replacement_scene import SERVE, ReplacementTestCase

CONNECTIONS = 60
MAX_TRIES = 10
RETRY_SECONDS = 0.1
BODY = b'{"id":"nobody","from":"a","state":"done","result":"' + b"x" * 60_000 + b'"}'
LARGE_CALLBACK = b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n%b" % (
    len(BODY),
    BODY,
)


class ForwardedCallbacksTest(ReplacementTestCase):
    # Guards against a handover channel that is cut, so that both processes serve without knowing each other.
    async def test_large_unknown_callbacks_do_not_cut_channel_to_suspended_successor(self) -> None:
        await self.start()
        first_output = await self.start_process(SERVE, self.folder)
        first = self.process
        connections = [await asyncio.open_connection("127.0.0.1", self.port) for _ in range(CONNECTIONS)]
        for reader, writer in connections:
            self.addCleanup(writer.close)
            writer.write(CALLBACK)
            await read_message(reader)
        await self.start_process(SERVE, self.folder)
        self.process.send_signal(signal.SIGSTOP)
        statuses = await asyncio.gather(*(self.send_large_callback(*streams) for streams in connections))
        self.process.send_signal(signal.SIGCONT)
        self.assertEqual(set(statuses), {"503"})  # the backend tries again
        self.assertEqual(await self.repeat_callback(*connections[0]), "204")
        first.terminate()
        self.assertNotIn("successor process has ended", await first_output)

    async def repeat_callback(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        """Sends a callback until it is acknowledged, ten times at most, as a backend does."""
        for _ in range(MAX_TRIES):
            status = await self.send_large_callback(reader, writer)
            if status == "204":
                break
            await asyncio.sleep(RETRY_SECONDS)
        return status

    async def send_large_callback(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> str:
        writer.write(LARGE_CALLBACK)
        async with asyncio.timeout(5):
            head, _ = await read_message(reader)
        return head.split()[1]
