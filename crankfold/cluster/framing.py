"""Frames between cluster members: four bytes for the length of a message, then the message in MessagePack.

Members do not authenticate each other.
"""

import msgspec
from msgspec import Struct

from crankfold.consensus.messages import Message
from crankfold.errors import CrankfoldError

PROTOCOL_VERSION = 1
MAX_FRAME_BYTES = 8 * 1024 * 1024  # of the encoded message, without the length before it
MAX_HELLO_FRAME_BYTES = 4 * 1024  # of a sender that is not identified yet
LENGTH_BYTES = 4


class Hello(Struct, array_like=True, frozen=True, tag="h"):
    """The first message of a connection, which identifies the sender.

    Attributes:
        protocol_version: `PROTOCOL_VERSION` of the sender.
        name: The name of the sender.
        incarnation: A random number that identifies the sender's process.
        folder_id: The id of a voter's storage folder; empty for a follower.
    """

    protocol_version: int
    name: str
    incarnation: int
    folder_id: str


class ProtocolError(CrankfoldError):
    """Received bytes are not a message of the protocol, or a message to send is too long."""


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message | Hello)


def encode_frame(message: Message | Hello) -> bytes:
    """Returns the frame of a message.

    Raises:
        ProtocolError: The message exceeds `MAX_FRAME_BYTES`.
    """
    body = _encoder.encode(message)
    if len(body) > MAX_FRAME_BYTES:
        raise ProtocolError(f"message of {len(body)} bytes exceeds the limit of {MAX_FRAME_BYTES}")
    return len(body).to_bytes(LENGTH_BYTES, "big") + body


class FrameDecoder:
    """Decodes the bytes of one connection incrementally."""

    def __init__(self, max_first_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        """Creates a decoder without buffered bytes.

        Args:
            max_first_frame_bytes: Limit of the first encoded message.
        """
        self._max_frame_bytes = max_first_frame_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Message | Hello]:
        """Returns the messages that `data` completes.

        Raises:
            ProtocolError: A frame is too long or does not contain a message.
        """
        self._buffer += data
        messages: list[Message | Hello] = []
        start = 0
        while len(self._buffer) - start >= LENGTH_BYTES:
            size = int.from_bytes(self._buffer[start : start + LENGTH_BYTES], "big")
            if size > self._max_frame_bytes:
                raise ProtocolError(f"frame of {size} bytes exceeds the limit of {self._max_frame_bytes}")
            body_start = start + LENGTH_BYTES
            if len(self._buffer) - body_start < size:
                break
            messages.append(self._decode(bytes(self._buffer[body_start : body_start + size])))
            start = body_start + size
            self._max_frame_bytes = MAX_FRAME_BYTES
        del self._buffer[:start]
        return messages

    @staticmethod
    def _decode(body: bytes) -> Message | Hello:
        try:
            message: Message | Hello = _decoder.decode(body)
        except (msgspec.DecodeError, RecursionError) as error:
            raise ProtocolError(str(error)) from None
        return message
