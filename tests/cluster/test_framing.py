"""Decoding of frames between cluster members from partial and from invalid bytes."""

import unittest

from crankfold.cluster.framing import (
    MAX_FRAME_BYTES,
    PROTOCOL_VERSION,
    FrameDecoder,
    Hello,
    ProtocolError,
    encode_frame,
)
from crankfold.consensus.messages import Message, ProposalRequest, Rejection


class FramingTest(unittest.TestCase):
    def test_decoder_reassembles_messages_cut_at_any_byte(self) -> None:
        messages: list[Message | Hello] = [
            Hello(PROTOCOL_VERSION, "n", 3, ""),
            ProposalRequest("c", "k", {"a": 1}),
            Rejection("no"),
        ]
        data = b"".join(encode_frame(message) for message in messages)
        for cut in range(len(data)):
            decoder = FrameDecoder()
            self.assertEqual(decoder.feed(data[:cut]) + decoder.feed(data[cut:]), messages)

    def test_decoder_raises_protocol_error_on_invalid_bytes(self) -> None:
        for invalid in (
            (MAX_FRAME_BYTES + 1).to_bytes(4, "big"),
            b"\0\0\0\1\xc1",
            b"\0\0\0\0",
            b"\0\0\0\2\x91\xa1",
            b"GET / HTTP/1.1\r\n\r\n",
            (5000).to_bytes(4, "big") + b"\x91" * 5000,
        ):
            with self.assertRaises(ProtocolError, msg=invalid[:20]):
                FrameDecoder().feed(invalid)
