"""Frames between cluster members: a length of four bytes, then a message in MessagePack.

Members do not authenticate each other.
"""

import msgspec
from msgspec import Struct

from crankfold.consensus.messages import Message
from crankfold.errors import CrankfoldError

PROTOCOL_VERSION = 1
MAX_FRAME_SIZE = 8 * 1024 * 1024  # bytes
LENGTH_SIZE = 4  # bytes


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """The first frame of a connection. `folder_id` is that of a voter's storage, empty for others."""

    protocol_version: int
    name: str
    incarnation: int
    folder_id: str


class ProtocolError(CrankfoldError):
    """A connection brought something that is no message; it is of no further use, others are."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message | Hello)


def encode_frame(message: Message | Hello) -> bytes:
    """The frame of a message.

    Raises:
        ProtocolError: The message is too long.
    """
    body = _encoder.encode(message)
    if len(body) > MAX_FRAME_SIZE:
        raise ProtocolError(f"a message of {len(body)} bytes")
    return len(body).to_bytes(LENGTH_SIZE, "big") + body


class FrameDecoder:
    """Makes messages of the bytes of one connection, as they arrive."""

    def __init__(self) -> None:
        """Starts at the begin of a frame."""
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message | Hello]:
        """The messages that these bytes complete.

        Raises:
            ProtocolError: The bytes are no frames of messages.
        """
        self._buffer += data
        messages: list[Message | Hello] = []
        start = 0
        while len(self._buffer) - start >= LENGTH_SIZE:
            size = int.from_bytes(self._buffer[start : start + LENGTH_SIZE], "big")
            if size > MAX_FRAME_SIZE:
                raise ProtocolError(f"a frame of {size} bytes")
            body_start = start + LENGTH_SIZE
            if len(self._buffer) - body_start < size:
                break
            messages.append(self._decode(bytes(self._buffer[body_start : body_start + size])))
            start = body_start + size
        del self._buffer[:start]
        return messages

    @staticmethod
    def _decode(body: bytes) -> Message | Hello:
        try:
            message: Message | Hello = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ProtocolError(str(error)) from None
        return message
