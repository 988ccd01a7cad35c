"""The adapter: frames in, frames out."""

import gzip
import struct
import subprocess
import sys
import unittest
from pathlib import Path

from crankfold.simulator_adapter.host import SimulatorHost

PARAMS = b"""service-grades.count=1
service-grades.0.effect=safe
service-grades.0.cut-off=5000000
service-grades.0.expected-time=300000
allowed.most-dispatches=3
report.names=queue,x0
specifics.report-x0=free_slots
report.via=inline
tick=2000
a.setting.not.known=1"""
BACKEND = b"\x0a\x12\x4a\x07\xc3\x2b"


def frame(*records: bytes) -> bytes:
    return struct.pack("<Q", 1_000_000) + b"".join(records)


TO = struct.pack("<HH", 13, 3)
INIT = struct.pack("<HQI", 1, 9, len(PARAMS)) + PARAMS
CENSUS = struct.pack("<HII", 11, 0, 1) + struct.pack("<BBfH6sBQ", 0, 1, 0.0, 0, BACKEND, 0, 0)
MEMBERS = struct.pack("<HBQI", 2, 4, 41, 0)
QUERY = struct.pack("<HIHHQQIffB", 3, 77, 0, 0, 0, 6_000_000, 12_000, 1.0, 0.0, 1)


class SimulatorHostTest(unittest.TestCase):
    def test_a_unit_is_passed_on_and_an_unknown_outcome_taken_as_possibly_run(self) -> None:
        host = SimulatorHost()
        host.handle_frame(frame(CENSUS, TO, INIT, MEMBERS))
        reply = host.handle_frame(frame(TO, QUERY))
        self.assertIn(struct.pack("<HIi6s", 1, 77, 0, BACKEND), reply)
        verdict = struct.pack("<HIB6sBIBIB", 5, 77, 0, BACKEND, 99, 10, 0, 0, 0)
        host.handle_frame(frame(TO, verdict))
        self.assertTrue(host.instances[3].router.state.requests[0].attempts[0].may_have_executed)

    def test_an_empty_batch_and_a_restart(self) -> None:
        host = SimulatorHost()
        self.assertEqual(host.handle_frame(frame()), b"\x04\x00\x00\x00")
        host.handle_frame(frame(CENSUS, TO, INIT, MEMBERS, QUERY))
        host.handle_frame(frame(TO, struct.pack("<H", 10), TO, INIT, MEMBERS))
        self.assertEqual(host.instances[3].router.state.requests, {})

    def test_a_failure_in_the_decisions_is_reported(self) -> None:
        host = SimulatorHost()
        host.handle_frame(frame(CENSUS, TO, INIT, MEMBERS))
        subset = host.instances[3].router.subset
        subset.short = subset.long = [5]  # type: ignore[list-item]
        self.assertIn(b"AttributeError", host.handle_frame(frame(TO, QUERY)))

    def test_broken_frames_end_the_process_with_one_line(self) -> None:
        unknown_code = b"\x0e\x00\x00\x00" + bytes(8) + b"\xff\xff"
        for bad in (b"\x20\x00\x00\x00abc", b"\x05\x00\x00\x00a", unknown_code):
            done = subprocess.run(
                [sys.executable, "-m", "crankfold.simulator_adapter"], input=bad, capture_output=True
            )
            self.assertEqual((done.returncode, done.stdout, done.stderr.count(b"\n")), (1, b"", 1))


class RecordedExchangesTest(unittest.TestCase):
    """Days of the simulator with the adapter of 82f8a95: frames in, replies out.

    Their settings: a polled list with probes and hedges allowed; weights that follow the load; keys.
    """

    def test_recorded_frames_get_the_same_bytes(self) -> None:
        folder = Path(__file__).parent.parent / "data" / "simulator"
        recordings = sorted(folder.glob("*.frames.gz"))
        self.assertEqual(len(recordings), 3)
        for recording in recordings:
            host = SimulatorHost()
            frames = gzip.decompress(recording.read_bytes())
            expected = gzip.decompress(
                recording.with_name(recording.name.replace("frames", "replies")).read_bytes()
            )
            replies = bytearray()
            start = 0
            while start < len(frames):
                length = int.from_bytes(frames[start : start + 4], "little")
                replies += host.handle_frame(frames[start + 4 : start + length])
                start += length
            self.assertEqual(bytes(replies), expected, recording.name)
