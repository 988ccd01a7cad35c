"""Between members: a length of four bytes and a message in msgpack. Nobody is asked who he is."""

import msgspec
from msgspec import Struct

from crankfold.consensus.messages import Message

PROTOCOL_VERSION = 1
MAX_FRAME_SIZE = 8 * 1024 * 1024


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """The first frame of a connection. `folder` is empty for who has no vote."""

    protocol_version: int
    name: str
    incarnation: int
    folder_id: str


class ProtocolError(ValueError):
    """That connection is of no further use; others are."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message | Hello)


def encode_frame(told: Message | Hello) -> bytes:
    body = _encoder.encode(told)
    if len(body) > MAX_FRAME_SIZE:
        raise ProtocolError(f"a message of {len(body)} bytes")
    return len(body).to_bytes(4, "big") + body


class FrameDecoder:
    """Fed bytes."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def feed(self, data: bytes) -> list[Message | Hello]:
        self.buffer += data
        told: list[Message | Hello] = []
        at = 0
        while len(self.buffer) - at >= 4:
            size = int.from_bytes(self.buffer[at : at + 4], "big")
            if size > MAX_FRAME_SIZE:
                raise ProtocolError(f"a frame of {size} bytes")
            if len(self.buffer) - at - 4 < size:
                break
            try:
                told.append(_decoder.decode(bytes(self.buffer[at + 4 : at + 4 + size])))
            except (msgspec.DecodeError, RecursionError) as wrong:
                raise ProtocolError(str(wrong)) from None
            at += 4 + size
        del self.buffer[:at]
        return told
