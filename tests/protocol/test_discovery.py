"""Parsing of discovery responses: complete, fragmented and malformed."""

import unittest

from crankfold.protocol.discovery import (
    MAX_LIST_VALUES,
    DiscoveryConnection,
    DiscoveryEntry,
    DiscoveryError,
    decode_endpoints,
    snapshot_document,
    without_weights,
)
from crankfold.routing.interface import Endpoint, EndpointState
from tests.fixtures import TraceTestCase


class EndpointDocumentTest(unittest.TestCase):
    def test_snapshot_is_encoded_as_discovery_response(self) -> None:
        entry = DiscoveryEntry("a", "10.0.0.1", 84, "n", "m", 3, EndpointState.DRAINING, 1.5, 7)
        target = {
            "uid": "a",
            "endpoint": "10.0.0.1:84",
            "boot_ms": 7,
            "az": "n",
            "model": "m",
            "pod_group": 3,
            "state": "terminating",
            "capacity_hint": 1.5,
        }
        self.assertEqual(snapshot_document([entry]), {"rev": 0, "all": True, "targets": [target]})

    def test_without_weights_keeps_rest_of_list(self) -> None:
        document = {
            "rev": 3,
            "new": 1,
            "targets": [{"uid": "a", "capacity_hint": 4.0, "new": 2}, 7, {"uid": "b"}],
        }
        unweighted = [{"uid": "a", "capacity_hint": 0.0, "new": 2}, {"uid": "b", "capacity_hint": 0.0}]
        self.assertEqual(without_weights(document), {"rev": 3, "new": 1, "targets": unweighted})

    def test_without_weights_of_list_without_entries_is_none(self) -> None:
        for document in ({}, {"rev": 3, "targets": None}, {"targets": {"uid": "a"}}):
            self.assertIsNone(without_weights(document))


class ReusableConnectionTest(unittest.TestCase):
    # Guards against a call on a connection that discovery has closed: it fails, and the next call needs a
    # snapshot.
    def test_connection_closed_at_end_of_response_is_not_reused(self) -> None:
        connection = DiscoveryConnection("h:1")
        connection.request(-1, 0)
        self.assertFalse(connection.receive_data(b'HTTP/1.1 200 OK\r\n\r\n{"rev":1'))
        self.assertFalse(connection.receive_data(b"}"))
        self.assertTrue(connection.receive_data(b""))
        self.assertFalse(connection.is_reusable())

    def test_connection_is_reused_after_response_with_length(self) -> None:
        connection = DiscoveryConnection("h:1")
        for _ in range(2):
            connection.request(-1, 0)
            self.assertTrue(connection.receive_data(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
            self.assertTrue(connection.is_reusable())


class DiscoveryConnectionTest(TraceTestCase):
    def make_endpoint(self, entry: DiscoveryEntry) -> Endpoint:
        self.record(
            f"  {entry.backend_id} {entry.host} {entry.port} {entry.zone} {entry.instance_type} {entry.cell} "
            f"{entry.state.name.lower()} {entry.weight:g} {entry.boot_ms}"
        )
        return Endpoint(0, entry.state, entry.weight, 0, entry.cell, entry.boot_ms)

    def test_complete_malformed_and_fragmented_endpoint_lists(self) -> None:
        entry = (
            b'{"uid":"a","endpoint":"10.0.0.1:84","az":"n","model":"m","pod_group":3,"state":"in_service",'
            b'"capacity_hint":1.5,"boot_ms":7}'
        )
        for entries in (
            entry,
            entry.replace(b"in_service", b"terminating"),
            b'{"uid":"a","endpoint":"10.0.0.1:84","state":"terminated"}',
            b"",
            entry.replace(b"in_service", b"odd"),
            entry.replace(b":84", b""),
            entry.replace(b'"a"', b"1"),
            entry.replace(b"1.5", b'"x"'),
            b"7",
            entry + b"," + entry.replace(b'"state"', b'"stat"'),
        ):
            for is_snapshot in (b"true", b"false"):
                self.decode(b'{"rev":4,"all":' + is_snapshot + b',"targets":[' + entries + b"]}")
        for malformed_body in (
            b"{",
            b"[]",
            b"null",
            b'{"rev":"4","all":true,"targets":[]}',
            b'{"rev":4,"targets":[]}',
        ):
            self.decode(malformed_body)
        connection = DiscoveryConnection("10.0.0.9:85")
        self.record(connection.request(-1, 4000).decode().replace("\r\n", " "))
        body = b'{"rev":4,"all":true,"targets":[' + entry + b"]}"
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        self.assertEqual(
            [connection.receive_data(data[start : start + 1]) for start in range(len(data))].index(True),
            len(data) - 1,
        )
        connection.decode_response(self.make_endpoint)
        self.record(connection.request(4, 4000).decode().replace("\r\n", " "))
        connection.receive_data(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n")
        with self.assertRaises(DiscoveryError):
            connection.decode_response(self.make_endpoint)
        self.assert_matches_trace("lists")

    def decode(self, body: bytes) -> None:
        try:
            revision, is_snapshot, endpoints = decode_endpoints(body, self.make_endpoint)
            self.record(f"version {revision}, {'whole' if is_snapshot else 'changes'}, {len(endpoints)}")
        except DiscoveryError as error:
            reason = str(error)
            if error.__cause__ is not None:
                cause = type(error.__cause__).__name__
                self.assertEqual(reason, f"unreadable endpoint list ({cause}: {error.__cause__})")
                reason = cause
            self.record(f"{body.decode()}: old list stands, {reason}")

    def test_incomplete_or_malformed_response_is_described_in_error(self) -> None:
        for received, reason in (
            (b"", "connection closed without a response"),
            (b"HTTP/1.1 2", "connection closed in the middle of a response"),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                "connection closed in the middle of a response",
            ),
            (
                b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{",
                "connection closed in the middle of a response",
            ),
        ):
            connection = DiscoveryConnection("10.0.0.9:85")
            connection.request(4, 0)
            self.assertFalse(received and connection.receive_data(received))
            with self.assertRaises(DiscoveryError) as raised:
                connection.receive_data(b"")
            self.assertEqual(str(raised.exception), reason)
        connection = DiscoveryConnection("10.0.0.9:85")
        connection.request(4, 0)
        with self.assertRaisesRegex(DiscoveryError, r"^response is not valid HTTP \(.+\)$"):
            connection.receive_data(b"what?\r\n\r\n")

    def test_response_without_length_ends_with_connection(self) -> None:
        connection = DiscoveryConnection("10.0.0.9:85")
        connection.request(4, 0)
        self.assertFalse(connection.receive_data(b"HTTP/1.1 200 OK\r\n\r\n{}"))
        self.assertTrue(connection.receive_data(b""))
        self.assertEqual((connection.status, connection.body), (200, b"{}"))

    # Guards against a list that takes many times the memory of its bytes, or the event loop for long.
    def test_costly_list_is_rejected_and_chunks_are_processed_in_portions(self) -> None:
        too_many = b'{"rev":4,"all":true,"targets":[' + b"{}," * MAX_LIST_VALUES + b"{}]}"
        with self.assertRaisesRegex(DiscoveryError, "values"):
            decode_endpoints(too_many, self.make_endpoint)
        connection = DiscoveryConnection("10.0.0.9:85")
        connection.request(4, 0)
        chunks = b"".join(b"1\r\n%c\r\n" % byte for byte in b"[" * 500 + b"]" * 500)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertFalse(connection.receive_data(head + chunks + b"0\r\n\r\n"))
        self.assertLess(len(connection.body), 100)
        while connection.can_proceed and not connection.receive_data(b""):
            pass
        self.assertEqual((len(connection.body), connection.is_reusable()), (1000, True))
