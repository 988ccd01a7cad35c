"""HTTP towards a backend, without I/O: one connection, one exchange at a time, nothing resent by itself."""

from collections.abc import Sequence
from enum import Enum

import h11

from crankfold.protocol.headers import MAX_BODY_SIZE, MAX_HEADER_SIZE, Header, Headers
from crankfold.routing.interface import Outcome
from crankfold.time_units import TICKS_PER_SECOND


class Acceptance(Enum):
    """What a backend says of a request beside the outcomes of an attempt."""

    ACCEPTED = "accepted"  # the backend has the request; how it ends comes by callback
    REJECTED = "rejected"  # the backend can't use the request: that says nothing about the backend


class BackendConnection:
    """The state of one connection to a backend.

    Attributes:
        status: of the response to the present exchange, 0 before it.
        not_processed: the response says that the request never ran.
        complete: the response was read to its end.
        load_header: the load report of the response as the header has it, or nothing.
        body: of the response.
        reusable: another exchange may follow on this connection.
    """

    def __init__(self) -> None:
        self.http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_SIZE)
        self.status = 0
        self.not_processed = False
        self.complete = False
        self.load_header = b""
        self.body_bytes = 0
        self.body = bytearray()
        self.reusable = True

    def send_request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> list[bytes]:
        """Begins an exchange; gives the bytes to be written."""
        self.status = 0
        self.not_processed = False
        self.complete = False
        self.load_header = b""
        self.body_bytes = 0
        sent_headers = [*headers]
        if body or method == b"POST":
            sent_headers.append((b"Content-Length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=sent_headers)
        outgoing = self.http.send_with_data_passthrough(head) or []
        if body:
            outgoing += self.http.send_with_data_passthrough(h11.Data(data=body)) or []
        outgoing += self.http.send_with_data_passthrough(h11.EndOfMessage()) or []
        return outgoing

    def receive_data(self, data: bytes) -> bool:
        """True once the response is over; one that nobody can read leaves status 0."""
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
                    if self.body_bytes > MAX_BODY_SIZE:  # a response without end
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

    def _start_response(self, response: h11.Response) -> None:
        self.status = response.status_code
        self.body = bytearray()
        for name, value in response.headers:
            if name == b"x-not-processed":
                self.not_processed = value.strip() == b"1"
            elif name == b"x-server-load":
                self.load_header = value

    def _finish_cycle(self) -> None:
        if self.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.http.start_next_cycle()
        else:
            self.reusable = False


def classify_response(status: int, not_processed: bool) -> Acceptance | Outcome:
    """What the response to an attempt says of it."""
    if status == 202:
        return Acceptance.ACCEPTED
    if status in (503, 504) and not_processed:
        return Outcome.OVERLOADED
    if 400 <= status < 500 and status not in (408, 429):
        return Acceptance.REJECTED
    if status == 0:
        return Outcome.RESET  # garbage, or the end before a response
    return Outcome.ERROR


def attempt_headers(headers: Sequence[Header], timeout: int) -> list[Header]:
    """The headers of an attempt with its time left, in tenths of a millisecond."""
    return [*headers, (b"X-Timeout", f"{timeout / TICKS_PER_SECOND:.4f}".encode())]
