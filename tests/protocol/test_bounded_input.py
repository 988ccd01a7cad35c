"""The bounds on what h11 is given to parse, and the messages behind one another."""

import unittest

import h11

from crankfold.protocol.bounded_input import MAX_HEADER_FIELDS, MAX_INFORMATIONAL_RESPONSES, BoundedInput
from crankfold.protocol.headers import MAX_HEADER_SIZE

HEAD = b"POST /api HTTP/1.1\r\nHost: b\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def events_of(received: BoundedInput, *pieces: bytes) -> list[str]:
    """Returns the names of all events of some received pieces."""
    names = []
    for piece in pieces:
        received.receive_data(piece)
        while (event := received.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            names.append(type(event).__name__)
    return names


class BoundedInputTest(unittest.TestCase):
    def assert_rejected(self, *pieces: bytes) -> None:
        received = BoundedInput(h11.SERVER)
        with self.assertRaises(h11.RemoteProtocolError) as raised:
            events_of(received, *pieces)
        self.assertEqual(raised.exception.error_status_hint, 431)
        self.assertIs(received.http.their_state, h11.IDLE)  # h11 has built no objects for the fields

    # Guards against heads that h11 parses at many times the cost of their bytes.
    def test_head_with_too_many_fields_is_rejected_before_it_is_parsed(self) -> None:
        allowed = HEAD + b"a:\r\n" * (MAX_HEADER_FIELDS - 1) + b"\r\n"
        self.assertEqual(events_of(BoundedInput(h11.SERVER), allowed), ["Request", "EndOfMessage"])
        too_many = HEAD + b"a:\r\n" * MAX_HEADER_FIELDS + b"\r\n"
        without_end = HEAD + b"a:\r\n" * (MAX_HEADER_FIELDS + 1)
        for data in (too_many, too_many.replace(b"\r\n", b"\n"), without_end):
            self.assert_rejected(data)
            self.assert_rejected(*(data[i : i + 1] for i in range(len(data))))

    def test_head_that_is_too_large_is_rejected_even_if_it_is_complete(self) -> None:
        self.assert_rejected(HEAD + b"X: " + b"x" * MAX_HEADER_SIZE + b"\r\n\r\n")
        self.assert_rejected(HEAD + b"X: ", b"x" * MAX_HEADER_SIZE)

    def test_too_many_trailers_are_rejected(self) -> None:
        received = BoundedInput(h11.SERVER)
        with self.assertRaises(h11.RemoteProtocolError):
            events_of(received, CHUNKED + b"0\r\n" + b"a:\r\n" * 3000 + b"\r\n")
        few = CHUNKED + b"1\r\nx\r\n0\r\nX: y\r\n\r\n"
        self.assertEqual(events_of(BoundedInput(h11.SERVER), few), ["Request", "Data", "EndOfMessage"])

    def test_too_many_informational_responses_are_rejected(self) -> None:
        received = BoundedInput(h11.CLIENT)
        received.http.send(h11.Request(method=b"GET", target=b"/", headers=[(b"Host", b"b")]))
        received.http.send(h11.EndOfMessage())
        continued = b"HTTP/1.1 100 Continue\r\n\r\n"
        self.assertEqual(
            events_of(received, continued * MAX_INFORMATIONAL_RESPONSES),
            ["InformationalResponse"] * MAX_INFORMATIONAL_RESPONSES,
        )
        with self.assertRaises(h11.RemoteProtocolError):
            events_of(received, continued)

    def test_messages_behind_one_another_are_parsed_whatever_their_framing(self) -> None:
        messages = [
            HEAD + b"Content-Length: 3\r\n\r\nabc",
            CHUNKED + b"2\r\nde\r\n0\r\n\r\n",
            HEAD + b"\r\n",
        ]
        data = b"".join(messages * 2)
        for size in (1, 7, len(data)):
            received = BoundedInput(h11.SERVER)
            bodies, body = [], bytearray()
            for start in range(0, len(data), size):
                received.receive_data(data[start : start + size])
                while (event := received.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                    if isinstance(event, h11.Data):
                        body += event.data
                    elif isinstance(event, h11.EndOfMessage):
                        bodies.append(bytes(body))
                        body.clear()
                        received.http.send(h11.Response(status_code=204, headers=[]))
                        received.http.send(h11.EndOfMessage())
                        received.start_next_cycle()
            self.assertEqual(bodies, [b"abc", b"de", b""] * 2, size)
            self.assertEqual(len(received), 0)
