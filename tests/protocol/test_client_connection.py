"""Parsing of client and backend connections: complete, fragmented and malformed input."""

from collections.abc import Sequence
from unittest.mock import Mock

from crankfold.protocol import callbacks
from crankfold.protocol.client_connection import ClientChannel, ClientConnection
from crankfold.protocol.client_request import MAX_ATTRIBUTES, ClientRequest
from crankfold.routing.interface import Outcome
from tests.fixtures import TraceTestCase

HEAD = b"POST /api?k=1 HTTP/1.1\r\nHost: b\r\nX-Request-ID: u1\r\nX-Priority-Class: g\r\nX-Timeout: 0.48\r\n"
REQUEST = (
    HEAD
    + b"Idempotency-Key: t\r\nX-Cost: 12001\r\nX-Attrs: slots=2,memory=0.5\r\nContent-Length: 2\r\n\r\nhi"
)


def receive(connection: ClientConnection, data: bytes = b"") -> None:
    """Passes bytes to a connection, which processes them up to the end of a request."""
    if data:
        connection.receive_data(data)
    while connection.can_proceed:
        connection.process_portion()


class ClientConnectionTest(TraceTestCase):
    """Handles the requests and callbacks of its connections by recording them in the trace."""

    @property
    def callbacks(self) -> "ClientConnectionTest":
        return self

    def is_serving(self) -> bool:
        return True

    def knows_request_class(self, name: str) -> bool:
        return name == "g"

    def submit(self, _client: ClientChannel, request: ClientRequest) -> None:
        self.record(
            f"{request.request_id} {request.request_class} waits {request.timeout} "
            f"work {request.work} slots {request.slots:g}"
        )
        http = request.http
        self.record(
            f"  on goes {http.method.decode()} {http.target.decode()} {http.body.decode()} "
            + " ".join(f"{name.decode()}={value.decode()}" for name, value in http.headers)
        )

    def has_request(self, request_id: str) -> bool:
        return request_id != "elsewhere"

    def forward_unknown_callback(self, _client: ClientChannel, body: bytes) -> bool:
        self.record(f"passed on {body.decode()}")
        return True

    def execution_started(self, request_id: str, backend_id: str) -> None:
        self.record(f"{request_id} started on {backend_id}")

    def execution_progressed(self, request_id: str, backend_id: str, progress: float) -> None:
        self.record(f"{request_id} on {backend_id}: {progress:g} done")

    def execution_ended(
        self, request_id: str, backend_id: str, outcome: Outcome, result: bytes, report: Sequence[float]
    ) -> None:
        self.record(f"{request_id} on {backend_id}: {outcome.name.lower()} {result.decode()} {tuple(report)}")

    def create_connection(self) -> ClientConnection:
        return ClientConnection(self, Mock(), ("queue", "x0"))

    def record_output(self, connection: ClientConnection) -> None:
        if connection.outgoing:
            self.record("< " + b"".join(connection.outgoing).decode().replace("\r\n", " "))
            connection.outgoing.clear()

    def test_complete_fragmented_and_pipelined_requests(self) -> None:
        pipelined, split = self.create_connection(), self.create_connection()
        receive(pipelined, REQUEST + REQUEST.replace(b"u1", b"u2"))
        self.record("nothing of the second is read before the first is answered")
        pipelined.respond(200, [], b"done")
        receive(pipelined)
        self.record_output(pipelined)
        for position in range(len(REQUEST)):
            receive(split, REQUEST[position : position + 1])
        split.close_after_response = True
        split.respond(503, [(b"Retry-After", b"0.500")])
        self.record_output(split)
        self.record(f"closing {split.closing}")
        chunked, expecting_continue = self.create_connection(), self.create_connection()
        receive(
            chunked,
            HEAD + b"Transfer-Encoding: chunked\r\nX-Odd: \x80\r\nX-Own: 1\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
        )
        receive(expecting_continue, HEAD + b"Expect: 100-continue\r\nContent-Length: 2\r\n\r\n")
        self.record_output(expecting_continue)
        receive(expecting_continue, b"hi")
        http_1_0 = self.create_connection()
        receive(http_1_0, REQUEST.replace(b"HTTP/1.1\r\nHost: b", b"HTTP/1.0"))
        http_1_0.respond(200)
        self.record_output(http_1_0)
        self.assert_matches_trace("units")

    def test_input_split_at_any_byte_has_same_effect(self) -> None:
        callback = b'{"id":"u1","from":"a","state":"done","result":"r","load":{"queue":1,"x0":2}}'
        unrouted = b"GET /control/ready HTTP/1.1\r\nHost: b\r\n\r\n"
        for data in (
            REQUEST,
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n2;x=y\r\nhi\r\n0\r\nX: y\r\n\r\n",
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % len(callback)
            + callback,
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 30\r\n\r\n" + callback[:30],
            b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: 18\r\n\r\n" + b'{"id":"elsewhere"}',
            REQUEST.replace(b"Class: g", b"Class: h") + REQUEST,
            unrouted,
        ):
            traces = []
            for position in range(1, len(data)):
                connection, self.lines = self.create_connection(), []
                receive(connection, data[:position])
                receive(connection, data[position:])
                self.record_output(connection)
                traces.append(
                    [
                        *self.lines,
                        f"awaiting response {connection.awaiting_response}, closing {connection.closing}",
                    ]
                )
            self.assertEqual([trace for trace in traces if trace != traces[0]], [])
            self.assertGreater(len(traces[0]), 1)

    def test_malformed_request_is_neither_forwarded_nor_answered_as_shed(self) -> None:
        chunks = b"Transfer-Encoding: chunked\r\n\r\n"
        for name, data in {
            "garbage": b"\x00\x01\r\n\r\n",
            "two lengths": HEAD + b"Content-Length: 2\r\n" + chunks,
            "lengths that differ": HEAD + b"Content-Length: 2\r\nContent-Length: 3\r\n\r\nhi",
            "broken chunk": HEAD + chunks + b"zz\r\n",
            "large head": HEAD + b"X: " + b"a" * 20_000,
            "large body": HEAD + b"Content-Length: 70000\r\n\r\n",
            "large chunks": HEAD + chunks + b"11000\r\n" + b"a" * 0x11000 + b"\r\n",
            "no time-out": REQUEST.replace(b"X-Timeout: 0.48\r\n", b""),
            "no id": REQUEST.replace(b"X-Request-ID: u1\r\n", b""),
            "time-out nan": REQUEST.replace(b"0.48", b"nan"),
            "time-out negative": REQUEST.replace(b"0.48", b"-1"),
            "time-out absurd": REQUEST.replace(b"0.48", b"1e9"),
            "time-out 1_0": REQUEST.replace(b"0.48", b"1_0"),
            "grade": REQUEST.replace(b"Class: g", b"Class: h"),
            "cost": REQUEST.replace(b"12001", b"much"),
            "attributes": REQUEST.replace(b"slots=2", b"slots=x"),
            "attribute without value": REQUEST.replace(b"=0.5", b""),
            "two ids": REQUEST.replace(b"X-Cost", b"X-Request-ID: u3\r\nX-Cost"),
            "id too long": REQUEST.replace(b"u1", b"u" * 300),
            "id no text": REQUEST.replace(b"u1", b"\xff\xfe"),
            "path": REQUEST.replace(b"/api", b"/apis"),
            "method": REQUEST.replace(b"POST", b"PUT"),
            "method on health": b"POST /healthz HTTP/1.1\r\nHost: b\r\nContent-Length: 0\r\n\r\n",
            "method on call-backs": b"GET /v1/job-events HTTP/1.1\r\nHost: b\r\n\r\n",
            "health": b"GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
            "health, head": b"HEAD /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
        }.items():
            connection = self.create_connection()
            receive(connection, data)
            status_line = b"".join(connection.outgoing).partition(b"\r\n")[0].decode()
            self.record(f"{name}: {status_line}{', closing' if connection.closing else ''}")
        self.assert_matches_trace("bad-requests")

    # Guards against a header whose thousands of short attributes take milliseconds to parse.
    def test_request_with_too_many_attributes_is_rejected(self) -> None:
        for count, status in ((MAX_ATTRIBUTES, b""), (MAX_ATTRIBUTES + 1, b"400")):
            connection = self.create_connection()
            attributes = b",".join(b"a%d=1" % number for number in range(count))
            receive(connection, REQUEST.replace(b"slots=2,memory=0.5", attributes))
            self.assertEqual(b"".join(connection.outgoing)[9:12], status)

    def test_callbacks_are_decoded_or_rejected(self) -> None:
        for body in (
            b'{"id":"u1","from":"a","state":"started"}',
            b'{"id":"u1","from":"a","state":"running","share":0.4}',
            b'{"id":"u1","from":"a","state":"running","share":7}',
            b'{"id":"u1","from":"a","state":"done","result":"gr\\u00fc\\u00df","load":{"x0":2,"queue":1}}',
            b'{"id":"u1","from":"a","state":"done","result":{"n":1}}',
            b'{"id":"u1","from":"a","state":"failed","load":{"queue":1}}',
            b'{"id":"u1","from":"a","state":"returned","load":{"queue":"1","x0":2}}',
            b'{"id":"u1","from":"a","state":"lost","load":7}',
            b'{"id":"u1","from":"a","state":"odd"}',
            b'{"id":1,"from":"a","state":"done"}',
            b'{"id":"u1","state":"done"}',
            b"[]",
            b"{",
            b"\xff",
            b'{"id":"u1","from":"a","state":"running","share":true}',
            b"[" * 60_000,
        ):
            self.record(
                f"{callbacks.handle_callback(body, self, ('queue', 'x0'))}: {body[:80].decode('latin-1')}"
            )
        connection = self.create_connection()
        for body in (b'{"id":"u1","from":"a","state":"lost"}', b"{}"):
            receive(
                connection,
                b"POST /v1/job-events HTTP/1.1\r\nHost: b\r\nContent-Length: %d\r\n\r\n" % len(body) + body,
            )
            self.record_output(connection)
        self.assert_matches_trace("call-backs")
