"""Hosts router instances for the simulator on standard input and output."""

import struct
import sys

from crankfold.simulator_adapter.codec import LENGTH_BYTES, TIME_BYTES
from crankfold.simulator_adapter.host import SimulatorHost

MIN_FRAME_BYTES = LENGTH_BYTES + TIME_BYTES


def main() -> int:
    """Answers frames until the input ends.

    Returns:
        The exit code: 1 for input that cannot be decoded.
    """
    host = SimulatorHost()
    source = sys.stdin.buffer
    sink = sys.stdout.buffer
    while True:
        size = source.read(LENGTH_BYTES)
        if not size:
            return 0
        length = int.from_bytes(size, "little")
        frame = source.read(length - LENGTH_BYTES) if length >= MIN_FRAME_BYTES else b""
        if len(size) < LENGTH_BYTES or length < MIN_FRAME_BYTES or len(frame) < length - LENGTH_BYTES:
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
