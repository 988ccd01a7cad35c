"""Messages between members, written by 82f8a95 (tests/data), are decoded and encoded byte by byte."""

import msgspec

from crankfold.cluster.framing import FrameDecoder, encode_frame
from tests.data.write_fixtures import DATA
from tests.fixtures import TraceTestCase
from tests.stored_forms import (
    MESSAGES,
)

# A message's tag and how many fields follow it, as they stand on the wire.
TAGS = {
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


class MessageFormsTest(TraceTestCase):
    def test_each_message_is_decoded_and_encoded_as_before(self) -> None:
        files = {path.stem: path.read_bytes() for path in (DATA / "messages").iterdir()}
        self.assertEqual(files.keys(), MESSAGES.keys())
        for name, data in files.items():
            with self.subTest(name):
                self.assertEqual(FrameDecoder().feed(data), MESSAGES[name])
                self.assertEqual(b"".join(encode_frame(one) for one in FrameDecoder().feed(data)), data)

    def test_each_message_has_its_tag_and_its_number_of_fields(self) -> None:
        for name, messages in MESSAGES.items():
            data = (DATA / "messages" / f"{name}.frames").read_bytes()
            for _ in messages:
                size = int.from_bytes(data[:4], "big")
                tag, *fields = msgspec.msgpack.decode(data[4 : 4 + size])
                data = data[4 + size :]
                self.assertEqual((tag, len(fields)), TAGS[name])
            self.assertEqual(data, b"")

    def test_fields_left_out_by_an_older_process_have_their_defaults(self) -> None:
        for name in ("ask", "follow"):
            data = (DATA / "messages" / f"{name}.frames").read_bytes()
            fields = msgspec.msgpack.decode(data[4 : 4 + int.from_bytes(data[:4], "big")])
            shortened = msgspec.msgpack.encode(fields[:-2] if name == "ask" else fields[:-1])
            self.assertEqual(
                FrameDecoder().feed(len(shortened).to_bytes(4, "big") + shortened), MESSAGES[name][:1]
            )
