"""Between members: a length of four bytes and a message in msgpack. Nobody is asked who he is."""

import msgspec
from msgspec import Struct

from crankfold.agreement.words import Message

FORM = 1
MOST_FRAME = 8 * 1024 * 1024


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """The first frame of a connection. `folder` is empty for who has no vote."""

    form: int
    name: str
    incarnation: int
    folder: str


class Garbled(ValueError):
    """That connection is of no further use; others are."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message | Hello)


def frame(told: Message | Hello) -> bytes:
    body = _encoder.encode(told)
    if len(body) > MOST_FRAME:
        raise Garbled(f"a message of {len(body)} bytes")
    return len(body).to_bytes(4, "big") + body


class Frames:
    """Fed bytes."""

    def __init__(self) -> None:
        self.rest = bytearray()

    def feed(self, data: bytes) -> list[Message | Hello]:
        self.rest += data
        told: list[Message | Hello] = []
        at = 0
        while len(self.rest) - at >= 4:
            size = int.from_bytes(self.rest[at:at + 4], "big")
            if size > MOST_FRAME:
                raise Garbled(f"a frame of {size} bytes")
            if len(self.rest) - at - 4 < size:
                break
            try:
                told.append(_decoder.decode(bytes(self.rest[at + 4:at + 4 + size])))
            except (msgspec.DecodeError, RecursionError) as wrong:
                raise Garbled(str(wrong)) from None
            at += 4 + size
        del self.rest[:at]
        return told
