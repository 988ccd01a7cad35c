"""Hosts instances of the decisions on standard input and output."""

import struct
import sys

from crankfold.simulator_adapter.host import SimulatorHost

LENGTH_SIZE = 4  # bytes of a frame's length, which counts itself
MIN_FRAME_SIZE = 12  # bytes: the length and the time


def main() -> int:
    """Answers frames until the input ends; gives the exit code, 1 for input that cannot be decoded."""
    host = SimulatorHost()
    source = sys.stdin.buffer
    sink = sys.stdout.buffer
    while True:
        size = source.read(LENGTH_SIZE)
        if not size:
            return 0
        length = int.from_bytes(size, "little")
        frame = source.read(length - LENGTH_SIZE) if length >= MIN_FRAME_SIZE else b""
        if len(size) < LENGTH_SIZE or length < MIN_FRAME_SIZE or len(frame) < length - LENGTH_SIZE:
            print("simulator adapter: truncated frame on standard input", file=sys.stderr)
            return 1
        try:
            reply = host.handle_frame(frame)
        except (struct.error, IndexError, KeyError, ValueError) as error:
            print(f"simulator adapter: undecodable frame: {error!r}", file=sys.stderr)
            return 1
        sink.write(reply)
        sink.flush()


if __name__ == "__main__":
    sys.exit(main())
