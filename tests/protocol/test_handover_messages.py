"""Messages between a process and its successor: encoding, decoding and malformed fields."""

import unittest

import orjson

from crankfold.protocol.handover_messages import (
    STATIC_WEIGHTS,
    CallbackQuery,
    HandoverMessage,
    Hello,
    ManualDrainQuery,
    ManualDrainRecord,
    ManualDrainState,
    PastRequestIds,
    ProcessState,
    ProcessUsage,
    QueryAnswer,
    ReloadNotice,
    RequestEnded,
    ServiceDrainQuery,
    TakeoverGrant,
    TakeoverRefusal,
    TakeoverRequest,
    UnknownMessage,
    UnknownQuery,
    UsageReport,
    Welcome,
    decode_drain_record,
    decode_message,
    encode_drain_record,
    encode_message,
)

DRAINS = ManualDrainState({"a": 5}, {"b": (6, 7)})
STATE = ProcessState(
    format_version=1,
    dispatcher_name="n0",
    weight_semantics="moving",
    report_fields=["queue"],
    manual_drains=DRAINS,
    known_ids=["a", "b"],
    endpoints={"rev": 0, "all": True, "targets": []},
    load_reports={"a": [1.0]},
)
MESSAGES: list[HandoverMessage] = [
    Hello(1, ("127.0.0.1", 18080), "n0"),
    Welcome(STATE),
    Welcome(STATE._replace(service_drained=True)),
    TakeoverRequest(),
    TakeoverGrant(ProcessUsage(["r1"], 2, 3)),
    TakeoverGrant(None),
    TakeoverGrant(None, PastRequestIds("executed", "attempted")),
    TakeoverRefusal(),
    UsageReport(ProcessUsage([], 0, 16)),
    RequestEnded("r1"),
    RequestEnded("r1", True),
    ReloadNotice(),
    ManualDrainQuery(1, "a", True),
    ManualDrainQuery(2, "a", False),
    ServiceDrainQuery(7, True),
    ServiceDrainQuery(8, False),
    CallbackQuery(3, "{}"),
    UnknownQuery(4),
    QueryAnswer(5, True),
    QueryAnswer(6, False),
    UnknownMessage(),
]


class HandoverMessagesTest(unittest.TestCase):
    def test_message_is_decoded_from_its_line(self) -> None:
        for message in MESSAGES:
            decoded = decode_message(encode_message(message))
            self.assertEqual((type(decoded), decoded), (type(message), message))

    def test_manual_drain_record_is_decoded_from_its_bytes(self) -> None:
        record = ManualDrainRecord("n0", DRAINS)
        self.assertEqual(decode_drain_record(encode_drain_record(record)), record)
        for content in (b"[]", b"{}", b'{"of": 1}'):
            self.assertIsNone(decode_drain_record(content))
        with self.assertRaises(ValueError):
            decode_drain_record(b'{"of"')

    def test_malformed_fields_are_left_out_of_state(self) -> None:
        fields = {
            "form": 1,
            "of": "n0",
            "bans": {"a": 5, "b": "soon", "c": True},
            "assumed": {"a": [1, 2], "b": [1], "c": [1, 2.5], "d": 3},
            "ever": ["a", 7],
            "known": [],
            "reports": {"a": [1.0, 2.0], "b": [1], "c": 1.0},
        }
        message = decode_message(orjson.dumps({"welcome": fields}))
        expected = ProcessState(
            format_version=1,
            dispatcher_name="n0",
            weight_semantics=STATIC_WEIGHTS,
            report_fields=None,
            manual_drains=ManualDrainState({"a": 5}, {"a": (1, 2)}),
            known_ids=["a"],
            endpoints=None,
            load_reports={"a": [1.0, 2.0]},
        )
        self.assertEqual(message, Welcome(expected))

    def test_malformed_message_is_decoded_as_unknown(self) -> None:
        malformed: tuple[dict[str, object], ...] = (
            {"hello": 1},
            {"hello": "1", "at": ["h", 1], "of": "n0"},
            {"hello": 1, "at": ["h"], "of": "n0"},
            {"hello": 1, "at": ["h", 1]},
            {"welcome": {}},
            {"welcome": {"form": 1}},
            {"welcome": None},
            {"re": "x"},
        )
        for fields in malformed:
            self.assertIsInstance(decode_message(orjson.dumps(fields)), UnknownMessage, fields)
