"""The client side of HTTP without I/O: one exchange at a time with a backend, without automatic retries."""

from collections.abc import Sequence
from enum import Enum
from http import HTTPStatus

import h11

from crankfold.errors import drop_traceback
from crankfold.protocol.bounded_input import BoundedInput
from crankfold.protocol.headers import MAX_BODY_SIZE, Header, Headers
from crankfold.routing.interface import Outcome
from crankfold.time_units import TICKS_PER_SECOND

PORTION_EVENTS = 32  # events of h11 in one call of `receive_data`
NO_STATUS = 0  # no response header was received
ACCEPTED_STATUS = HTTPStatus.ACCEPTED.value
SUCCESS_STATUSES = range(200, 300)
OVERLOADED_STATUSES = (HTTPStatus.SERVICE_UNAVAILABLE.value, HTTPStatus.GATEWAY_TIMEOUT.value)
CLIENT_ERROR_STATUSES = range(400, 500)
# Client errors that depend on the state of the backend, and not on the request alone.
TRANSIENT_CLIENT_ERRORS = (HTTPStatus.REQUEST_TIMEOUT.value, HTTPStatus.TOO_MANY_REQUESTS.value)


class Acceptance(Enum):
    """The meaning of a response that does not end its attempt, or ends it without an `Outcome`."""

    ACCEPTED = "accepted"  # the backend executes the request and reports its end by callback
    REJECTED = "rejected"  # the request is invalid at any backend: final, and not charged to this one


class BackendConnection:
    """The state of one connection to a backend.

    Attributes:
        status: Status of the response in the present exchange; NO_STATUS before its header.
        not_processed: Whether the response has `X-Not-Processed: 1`: the request was not executed.
        complete: Whether the response was received to its end.
        load_header: The value of the response's load report header; empty without one.
        body: Body of the response to a GET request; no other is used.
        can_proceed: Whether received bytes are left that `receive_data` has not processed.
        unsolicited_data: Whether more bytes were received than those of the response.
        reusable: Whether another exchange may follow on this connection.
    """

    def __init__(self) -> None:
        self.input = BoundedInput(h11.CLIENT)
        self.status = 0
        self.not_processed = False
        self.complete = False
        self.load_header = b""
        self.body_bytes = 0
        self.body = bytearray()
        self.keeps_body = False
        self.can_proceed = False
        self.unsolicited_data = False
        self.reusable = True

    def send_request(self, method: bytes, target: bytes, headers: Headers, body: bytes) -> list[bytes]:
        """Begins an exchange; returns the bytes to be written."""
        self.status = 0
        self.not_processed = False
        self.complete = False
        self.load_header = b""
        self.body_bytes = 0
        self.body = bytearray()
        self.keeps_body = method == b"GET"
        sent_headers = [*headers]
        if body or method == b"POST":
            sent_headers.append((b"Content-Length", str(len(body)).encode()))
        head = h11.Request(method=method, target=target, headers=sent_headers)
        outgoing = self.input.http.send_with_data_passthrough(head) or []
        if body:
            outgoing += self.input.http.send_with_data_passthrough(h11.Data(data=body)) or []
        outgoing += self.input.http.send_with_data_passthrough(h11.EndOfMessage()) or []
        return outgoing

    def receive_data(self, data: bytes) -> bool:
        """Receives bytes of the response, and processes up to PORTION_EVENTS events.

        While `can_proceed` is set, the caller continues with no bytes.

        Returns:
            True once the response has ended; `complete` is False if it is malformed, too long or cut off.
        """
        try:
            self.input.receive_data(data)
            return self._process_events()
        except h11.RemoteProtocolError as error:
            drop_traceback(error)
            self.reusable = False
            return True

    def _process_events(self) -> bool:
        """Reads a portion of the events that are complete; returns whether the response has ended."""
        self.can_proceed = False
        for _ in range(PORTION_EVENTS):
            event = self.input.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return False
            if isinstance(event, h11.Response):
                self._start_response(event)
            elif isinstance(event, h11.Data):
                self.body_bytes += len(event.data)
                if self.body_bytes > MAX_BODY_SIZE:
                    self.reusable = False
                    return True
                if self.keeps_body:
                    self.body += event.data
            elif isinstance(event, h11.EndOfMessage):
                self.complete = True
                self._finish_cycle()
                return True
            elif isinstance(event, h11.ConnectionClosed):
                self.reusable = False
                return True
        self.can_proceed = True
        return False

    def _start_response(self, response: h11.Response) -> None:
        self.status = response.status_code
        for name, value in response.headers:
            if name == b"x-not-processed":
                self.not_processed = value.strip() == b"1"
            elif name == b"x-server-load":
                self.load_header = value

    def _finish_cycle(self) -> None:
        self.unsolicited_data = self.input.has_unparsed_bytes()
        is_done = self.input.http.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if is_done and not self.unsolicited_data:
            self.input.start_next_cycle()
        else:
            # Unsolicited data would be read as the response to the next request.
            self.reusable = False


def classify_response(status: int, not_processed: bool) -> Acceptance | Outcome:
    """Returns what a response means for its attempt.

    ==============================  ====================  =============================================
    response                        result                the request may be executed
    ==============================  ====================  =============================================
    202                             Acceptance.ACCEPTED   yes; its end is reported by callback
    503 or 504, X-Not-Processed: 1  Outcome.OVERLOADED    no: the backend says so
    4xx except 408 and 429          Acceptance.REJECTED   irrelevant: this response is the final one
    none, or malformed              Outcome.RESET         yes
    any other                       Outcome.ERROR         yes: a status alone does not rule it out
    ==============================  ====================  =============================================
    """
    if status == ACCEPTED_STATUS:
        return Acceptance.ACCEPTED
    if status in OVERLOADED_STATUSES and not_processed:
        return Outcome.OVERLOADED
    if status in CLIENT_ERROR_STATUSES and status not in TRANSIENT_CLIENT_ERRORS:
        return Acceptance.REJECTED
    if status == NO_STATUS:
        return Outcome.RESET
    return Outcome.ERROR


def confirms_cancellation(status: int) -> bool:
    """Whether the response says that the request is cancelled, or that the backend does not know it."""
    return status in SUCCESS_STATUSES or status == HTTPStatus.NOT_FOUND


def attempt_headers(headers: Sequence[Header], timeout: int) -> list[Header]:
    """Returns the headers of an attempt; `timeout` is its remaining time in ticks."""
    return [*headers, (b"X-Timeout", f"{timeout / TICKS_PER_SECOND:.4f}".encode())]
