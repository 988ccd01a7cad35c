"""The simulator adapter: replies to single, malformed and recorded frames."""

import gzip
import struct
import subprocess
import sys
import unittest
from pathlib import Path

from crankfold.simulator_adapter.host import SimulatorHost

SETTINGS = b"""service-grades.count=1
service-grades.0.effect=safe
service-grades.0.cut-off=5000000
service-grades.0.expected-time=300000
allowed.most-dispatches=3
report.names=queue,x0
specifics.report-x0=free_slots
report.via=inline
tick=2000
a.setting.not.known=1"""
BACKEND_ADDRESS = b"\x0a\x12\x4a\x07\xc3\x2b"


def frame(*records: bytes) -> bytes:
    return struct.pack("<Q", 1_000_000) + b"".join(records)


TO_INSTANCE = struct.pack("<HH", 13, 3)
START = struct.pack("<HQI", 1, 9, len(SETTINGS)) + SETTINGS
ENDPOINT_LIST = struct.pack("<HII", 11, 0, 1) + struct.pack("<BBfH6sBQ", 0, 1, 0.0, 0, BACKEND_ADDRESS, 0, 0)
ENDPOINTS = struct.pack("<HBQI", 2, 4, 41, 0)
REQUEST = struct.pack("<HIHHQQIffB", 3, 77, 0, 0, 0, 6_000_000, 12_000, 1.0, 0.0, 1)


class SimulatorHostTest(unittest.TestCase):
    def test_request_is_sent_and_unknown_outcome_counts_as_possibly_executed(self) -> None:
        host = SimulatorHost()
        host.handle_frame(frame(ENDPOINT_LIST, TO_INSTANCE, START, ENDPOINTS))
        reply = host.handle_frame(frame(TO_INSTANCE, REQUEST))
        self.assertIn(struct.pack("<HIi6s", 1, 77, 0, BACKEND_ADDRESS), reply)
        attempt_ended = struct.pack("<HIB6sBIBIB", 5, 77, 0, BACKEND_ADDRESS, 99, 10, 0, 0, 0)
        host.handle_frame(frame(TO_INSTANCE, attempt_ended))
        self.assertTrue(host.instances[3].router.state.requests[0].attempts[0].may_have_executed)

    def test_empty_frame_gets_empty_reply_and_restart_forgets_requests(self) -> None:
        host = SimulatorHost()
        self.assertEqual(host.handle_frame(frame()), b"\x04\x00\x00\x00")
        host.handle_frame(frame(ENDPOINT_LIST, TO_INSTANCE, START, ENDPOINTS, REQUEST))
        host.handle_frame(frame(TO_INSTANCE, struct.pack("<H", 10), TO_INSTANCE, START, ENDPOINTS))
        self.assertEqual(host.instances[3].router.state.requests, {})

    def test_exception_in_router_is_reported(self) -> None:
        host = SimulatorHost()
        host.handle_frame(frame(ENDPOINT_LIST, TO_INSTANCE, START, ENDPOINTS))
        subset = host.instances[3].router.subset
        subset.short = subset.long = [5]  # type: ignore[list-item]
        self.assertIn(b"AttributeError", host.handle_frame(frame(TO_INSTANCE, REQUEST)))

    def test_malformed_frame_ends_process_with_one_error_line(self) -> None:
        unknown_code = b"\x0e\x00\x00\x00" + bytes(8) + b"\xff\xff"
        for malformed in (b"\x20\x00\x00\x00abc", b"\x05\x00\x00\x00a", unknown_code):
            process = subprocess.run(
                [sys.executable, "-m", "crankfold.simulator_adapter"], input=malformed, capture_output=True
            )
            self.assertEqual((process.returncode, process.stdout, process.stderr.count(b"\n")), (1, b"", 1))


class RecordedFramesTest(unittest.TestCase):
    """Replays simulator days whose frames and replies were recorded with the adapter of commit 82f8a95.

    The days, in order of their names, have: a polled endpoint list, with probes and hedges allowed; weights
    that follow the load; an affinity key in each request.
    """

    def test_recorded_frames_get_recorded_replies(self) -> None:
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
