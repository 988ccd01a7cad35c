"""Parsing of backend connections and load reports: complete, fragmented and malformed input."""

from crankfold.protocol import load_reports
from crankfold.protocol.backend_connection import (
    BackendConnection,
    attempt_headers,
    classify_response,
)
from tests.fixtures import TraceTestCase


class BackendConnectionTest(TraceTestCase):
    def test_complete_and_fragmented_response_parse_alike(self) -> None:
        headers = attempt_headers([(b"host", b"b"), (b"x-request-id", b"u1")], 4807)
        for response in (
            b"202 Accepted\r\nContent-Length: 0\r\n\r\n",
            b"500 No\r\nContent-Length: 2\r\n\r\nno",
            b"503 No\r\nX-Not-Processed: 1\r\nX-Server-Load: TEXT queue=3, x0=0\r\nContent-Length: 0\r\n\r\n",
            b"504 No\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n",
            b"503 No\r\nContent-Length: 0\r\n\r\n",
            b"429 No\r\nContent-Length: 0\r\n\r\n",
            b"400 No\r\nContent-Length: 0\r\n\r\n",
            b"200 Odd\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            b"500 No\r\n\r\n" + b"endless" * 10_000,
            b"garbage\x00\r\n\r\n",
            b"202 Accepted\r\nContent-Length: -1\r\n\r\n",
            b"100 Go on\r\n\r\nHTTP/1.1 202 A\r\nContent-Length: 0\r\n\r\n",
        ):
            for chunk_size in (len(response) + 9, 1):
                connection = BackendConnection()
                outgoing = connection.send_request(b"POST", b"/api", headers, b"hi")
                data = b"HTTP/1.1 " + response
                finished = any(
                    connection.receive_data(data[start : start + chunk_size])
                    for start in range(0, len(data), chunk_size)
                )
                verdict = classify_response(connection.status, connection.not_processed)
                outcome = verdict.name.lower()
                description = (
                    f"{response[:60]!r}: {outcome}, over {finished}"
                    f", again {connection.reusable}, "
                    f"{load_reports.report_from_header(connection.load_header, ('queue', 'x0'))}"
                )
                if chunk_size > 1:
                    self.record(description)
                self.assertEqual(description, self.lines[-1])  # split input gives the same result
        self.record(b"".join(outgoing).decode().replace("\r\n", " "))
        for load_header in (
            b"TEXT queue=1, x0=2",
            b"TEXT queue=1",
            b"JSON queue=1, x0=2",
            b"TEXT queue=x, x0=2",
            b"",
            b"TEXT queue=nan, x0=1",
        ):
            self.record(
                f"{load_header.decode()!r}: {load_reports.report_from_header(load_header, ('queue', 'x0'))}"
            )
        self.assert_matches_trace("answers")

    # Guards against a response that keeps the event loop, or memory, at many times the cost of its bytes.
    def test_response_is_processed_in_portions_and_its_body_is_kept_only_for_get(self) -> None:
        connection = BackendConnection()
        connection.send_request(b"POST", b"/api", [(b"Host", b"b")], b"hi")
        head = b"HTTP/1.1 500 No\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertFalse(connection.receive_data(head + b"1\r\nx\r\n" * 1000 + b"0\r\n\r\n"))
        self.assertLess(connection.body_bytes, 100)
        calls = 1
        while connection.can_proceed and not connection.receive_data(b""):
            calls += 1
        self.assertTrue(connection.complete)
        self.assertGreater(calls, 20)
        self.assertEqual((connection.body_bytes, connection.body, connection.reusable), (1000, b"", True))

    def test_response_with_too_many_fields_is_malformed(self) -> None:
        connection = BackendConnection()
        connection.send_request(b"GET", b"/load", [(b"Host", b"b")], b"")
        self.assertTrue(connection.receive_data(b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * 3000 + b"\r\n"))
        self.assertEqual((connection.complete, connection.reusable, connection.status), (False, False, 0))
