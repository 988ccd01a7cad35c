"""The side towards a runner: one connection, one exchange at a time, nothing sent twice by itself."""

from collections.abc import Sequence

import h11

from crankfold.protocol.headers import MAX_BODY_SIZE, MAX_HEADER_SIZE, Headers
from crankfold.routing.interface import Outcome

ACCEPTED = -1  # the runner has taken the unit; how it ends comes by call-back
REJECTED = -2  # the runner can't use the unit: that says nothing about the runner


class BackendConnection:
    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_SIZE)
        self.status = 0  # of the answer to the present exchange, 0 before it
        self.not_processed = False
        self.complete = False  # the answer was read to its end
        self.load_header = b""
        self.body_bytes = 0
        self.body = bytearray()
        self.reusable = True  # another exchange may follow

    def send_request(self, method: bytes, target: bytes, heads: Headers, body: bytes) -> list[bytes]:
        self.status, self.not_processed, self.complete, self.load_header, self.body_bytes = (
            0,
            False,
            False,
            b"",
            0,
        )
        told = [*heads]
        if body or method == b"POST":
            told.append((b"Content-Length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=told)
        out = self.http.send_with_data_passthrough(head) or []
        if body:
            out += self.http.send_with_data_passthrough(h11.Data(data=body)) or []
        out += self.http.send_with_data_passthrough(h11.EndOfMessage()) or []
        return out

    def receive_data(self, data: bytes) -> bool:
        """True once the answer is read; one that nobody can read leaves status 0."""
        try:
            self.http.receive_data(data)
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return False
                if isinstance(event, h11.Response):
                    self._start_response(event)
                elif isinstance(event, h11.Data):
                    self.body_bytes += len(event.data)
                    if self.body_bytes > MAX_BODY_SIZE:  # an answer without end
                        self.reusable = False
                        return True
                    self.body += event.data
                elif isinstance(event, h11.EndOfMessage):
                    self.complete = True
                    self._finish_cycle()
                    return True
                elif isinstance(event, h11.ConnectionClosed):
                    self.reusable = False
                    return True
        except h11.RemoteProtocolError:
            self.reusable = False
            return True

    def _start_response(self, answer: h11.Response) -> None:
        self.status = answer.status_code
        self.body = bytearray()
        for name, value in answer.headers:
            if name == b"x-not-processed":
                self.not_processed = value.strip() == b"1"
            elif name == b"x-server-load":
                self.load_header = value

    def _finish_cycle(self) -> None:
        if self.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.http.start_next_cycle()
        else:
            self.reusable = False


def classify_response(status: int, not_run: bool) -> int:
    """What an answer to a dispatch says of it."""
    if status == 202:
        return ACCEPTED
    if status in (503, 504) and not_run:
        return Outcome.OVERLOADED
    if 400 <= status < 500 and status not in (408, 429):
        return REJECTED
    if status == 0:
        return Outcome.RESET  # garbage, or the end before an answer
    return Outcome.ERROR


def attempt_headers(heads: Sequence[tuple[bytes, bytes]], wait: int) -> list[tuple[bytes, bytes]]:
    return [*heads, (b"X-Timeout", f"{wait / 10_000:.4f}".encode())]
