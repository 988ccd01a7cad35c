"""Hosts many dispatchers on standard input and output: `python -m crankfold.simulator_adapter`."""

import struct
import sys

from crankfold.simulator_adapter.host import SimulatorHost


def main() -> int:
    host = SimulatorHost()
    inp, out = sys.stdin.buffer, sys.stdout.buffer
    while True:
        size = inp.read(4)
        if not size:
            return 0
        length = int.from_bytes(size, "little")
        frame = inp.read(length - 4) if length >= 12 else b""
        if len(size) < 4 or length < 12 or len(frame) < length - 4:
            print("simhost: truncated frame on standard input", file=sys.stderr)
            return 1
        try:
            reply = host.handle_frame(frame)
        except (struct.error, IndexError, KeyError, ValueError) as broken:
            print(f"simhost: undecodable frame: {broken!r}", file=sys.stderr)
            return 1
        out.write(reply)
        out.flush()


if __name__ == "__main__":
    sys.exit(main())
