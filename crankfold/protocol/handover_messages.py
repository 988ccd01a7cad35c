"""What two processes that follow one another tell each other: a JSON object a line."""

from typing import Any

import orjson

FORMAT_VERSION = 1  # of hello and welcome; another form is not understood, and each goes on alone
MAX_LINE_SIZE = 4 * 1024 * 1024


class ProtocolError(ValueError):
    """Not ours, or damaged: that connection is of no use."""


def encode_line(told: dict[str, Any]) -> bytes:
    return orjson.dumps(told) + b"\n"


class HandoverDecoder:
    def __init__(self) -> None:
        self.buffer = bytearray()

    def receive_data(self, data: bytes) -> list[dict[str, Any]]:
        self.buffer += data
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        if len(rest) > MAX_LINE_SIZE:
            raise ProtocolError("a line without end")
        told = []
        for one in lines:
            try:
                read = orjson.loads(one)
            except orjson.JSONDecodeError as wrong:
                raise ProtocolError(str(wrong)) from None
            if not isinstance(read, dict):
                raise ProtocolError("no object")
            told.append(read)
        return told


def string_list(given: object) -> list[str]:
    return [one for one in given if isinstance(one, str)] if isinstance(given, list) else []


def int_mapping(given: object) -> dict[str, int]:
    """By name; what is no such thing is left out."""
    if not isinstance(given, dict):
        return {}
    return {name: value for name, value in given.items() if type(value) is int}
