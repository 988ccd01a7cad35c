"""Messages between members that commit 82f8a95 recorded (tests/data) keep their encoding byte by byte."""

import msgspec

from crankfold.cluster.framing import FrameDecoder, encode_frame
from tests.data.write_fixtures import DATA
from tests.fixtures import TraceTestCase
from tests.stored_forms import MESSAGES

# By recorded file: the tag of the message on the wire and the number of fields after it.
TAGS_AND_FIELD_COUNTS = {
    "hello": ("h", 4),
    "ballot": ("b", 4),
    "ballot-answer": ("B", 3),
    "append": ("a", 7),
    "append-answer": ("A", 4),
    "install": ("i", 3),
    "ask": ("l", 7),
    "grant": ("L", 4),
    "follow": ("f", 7),
    "news": ("F", 7),
    "refused": ("r", 1),
    "publish": ("p", 3),
    "published": ("P", 5),
    "check": ("c", 3),
    "checked": ("C", 2),
    "goodbye": ("g", 2),
    "roster": ("m", 1),
}


class MessageEncodingTest(TraceTestCase):
    def test_recorded_messages_are_decoded_and_encoded_unchanged(self) -> None:
        files = {path.stem: path.read_bytes() for path in (DATA / "messages").iterdir()}
        self.assertEqual(files.keys(), MESSAGES.keys())
        for name, data in files.items():
            with self.subTest(name):
                self.assertEqual(FrameDecoder().feed(data), MESSAGES[name])
                self.assertEqual(
                    b"".join(encode_frame(message) for message in FrameDecoder().feed(data)), data
                )

    def test_recorded_messages_have_expected_tag_and_field_count(self) -> None:
        for name, messages in MESSAGES.items():
            data = (DATA / "messages" / f"{name}.frames").read_bytes()
            for _ in messages:
                size = int.from_bytes(data[:4], "big")
                tag, *fields = msgspec.msgpack.decode(data[4 : 4 + size])
                data = data[4 + size :]
                self.assertEqual((tag, len(fields)), TAGS_AND_FIELD_COUNTS[name])
            self.assertEqual(data, b"")

    def test_fields_omitted_by_older_process_get_defaults(self) -> None:
        for name in ("ask", "follow"):
            data = (DATA / "messages" / f"{name}.frames").read_bytes()
            fields = msgspec.msgpack.decode(data[4 : 4 + int.from_bytes(data[:4], "big")])
            shortened = msgspec.msgpack.encode(fields[:-2] if name == "ask" else fields[:-1])
            self.assertEqual(
                FrameDecoder().feed(len(shortened).to_bytes(4, "big") + shortened), MESSAGES[name][:1]
            )
