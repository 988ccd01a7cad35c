"""The side towards a runner: one connection, one exchange at a time, nothing sent twice by itself."""

from collections.abc import Sequence

import h11

from crankfold.dispatch.interface import Outcome
from crankfold.protocol.heads import MOST_BODY, MOST_HEAD, Heads

TAKEN = -1  # the runner has taken the unit; how it ends comes by call-back
UNFIT = -2  # the runner can't use the unit: that says nothing about the runner


class RunnerSide:
    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEAD)
        self.status = 0  # of the answer to the present exchange, 0 before it
        self.not_run = False
        self.whole = False  # the answer was read to its end
        self.load = b""
        self.read = 0
        self.body = bytearray()
        self.usable = True  # another exchange may follow

    def ask(self, method: bytes, target: bytes, heads: Heads, body: bytes) -> list[bytes]:
        self.status, self.not_run, self.whole, self.load, self.read = 0, False, False, b"", 0
        told = [*heads]
        if body or method == b"POST":
            told.append((b"Content-Length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=told)
        out = self.http.send_with_data_passthrough(head) or []
        if body:
            out += self.http.send_with_data_passthrough(h11.Data(data=body)) or []
        out += self.http.send_with_data_passthrough(h11.EndOfMessage()) or []
        return out

    def feed(self, data: bytes) -> bool:
        """True once the answer is read; one that nobody can read leaves status 0."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return False
                if isinstance(event, h11.Response):
                    self._head(event)
                elif isinstance(event, h11.Data):
                    self.read += len(event.data)
                    if self.read > MOST_BODY:  # an answer without end
                        self.usable = False
                        return True
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self.whole = True
                    self._close_cycle()
                    return True
                elif isinstance(event, h11.ConnectionClosed):
                    self.usable = False
                    return True
        except h11.RemoteProtocolError:
            self.usable = False
            return True

    def _head(self, answer: h11.Response) -> None:
        self.status = answer.status_code
        self.body = bytearray()
        for name, value in answer.headers:
            if name == b"x-not-processed":
                self.not_run = value.strip() == b"1"
            elif name == b"x-server-load":
                self.load = value

    def _close_cycle(self) -> None:
        if self.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.http.start_next_cycle()
        else:
            self.usable = False


def outcome_of(status: int, not_run: bool) -> int:
    """What an answer to a dispatch says of it."""
    if status == 202:
        return TAKEN
    if status in (503, 504) and not_run:
        return Outcome.FULL
    if 400 <= status < 500 and status not in (408, 429):
        return UNFIT
    if status == 0:
        return Outcome.RESET  # garbage, or the end before an answer
    return Outcome.ERROR


def dispatch_heads(heads: Sequence[tuple[bytes, bytes]], wait: int) -> list[tuple[bytes, bytes]]:
    return [*heads, (b"X-Timeout", f"{wait / 10_000:.4f}".encode())]
