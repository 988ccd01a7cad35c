"""The log on standard error: its lines, its rate limit, and streams that can't be written to."""

import contextlib
import io
import logging
import subprocess
import sys
import unittest
from pathlib import Path
from unittest.mock import patch

from crankfold.network.log_handler import PACKAGE, StderrHandler, configure_logging
from crankfold.network.metrics import Metrics

DISCOVERY = {"category": "discovery"}


class LogHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        configure_logging()
        root = logging.getLogger(PACKAGE)
        self.addCleanup(root.handlers.clear)
        self.addCleanup(setattr, root, "propagate", True)
        self.addCleanup(root.setLevel, logging.NOTSET)
        self.logger = logging.getLogger(f"{PACKAGE}.network.test")
        self.now = 1000.0
        clock_patch = patch("crankfold.network.log_handler.time.monotonic", lambda: self.now)
        self.enterContext(clock_patch)
        self.stream = self.enterContext(contextlib.redirect_stderr(io.StringIO()))

    def take_lines(self) -> list[str]:
        lines = self.stream.getvalue().splitlines()
        self.stream.truncate(0)
        self.stream.seek(0)
        return lines

    def test_line_contains_program_and_category(self) -> None:
        self.logger.info("serving on %s:%d", "127.0.0.1", 80)
        self.logger.warning("status %d", 503, extra=DISCOVERY)
        self.logger.debug("not written")
        self.assertEqual(
            self.take_lines(), ["crankfold: serving on 127.0.0.1:80", "crankfold: discovery: status 503"]
        )

    def test_interval_between_lines_of_category_doubles_up_to_one_minute(self) -> None:
        times = []
        for _ in range(2000):  # ten per second
            self.logger.warning("broken", extra=DISCOVERY)
            times += [self.now - 1000.0 for _ in self.take_lines()]
            self.now += 0.1
        self.assertEqual([round(written_at) for written_at in times], [0, 1, 3, 7, 15, 31, 63, 123, 183])

    def test_next_line_states_how_many_were_suppressed(self) -> None:
        for _ in range(4):
            self.logger.warning("broken", extra=DISCOVERY)
        self.logger.warning("another category is not limited by it", extra={"category": "peers"})
        self.now += 1.0
        self.logger.warning("broken", extra=DISCOVERY)
        self.now += 60.0
        self.logger.warning("broken", extra=DISCOVERY)
        self.assertEqual(
            self.take_lines(),
            [
                "crankfold: discovery: broken",
                "crankfold: peers: another category is not limited by it",
                "crankfold: discovery: broken (3 similar suppressed)",
                "crankfold: discovery: broken",
            ],
        )

    def test_record_without_category_is_always_written(self) -> None:
        for _ in range(3):
            self.logger.info("draining")
        self.assertEqual(self.take_lines(), ["crankfold: draining"] * 3)

    def test_second_configuration_does_not_write_lines_twice(self) -> None:
        configure_logging()
        self.logger.info("once")
        self.assertEqual(self.take_lines(), ["crankfold: once"])
        handlers = logging.getLogger(PACKAGE).handlers
        self.assertEqual([type(handler) for handler in handlers], [StderrHandler])

    def test_program_continues_if_lines_cannot_be_written(self) -> None:
        program = (
            "import logging; from crankfold.network.log_handler import configure_logging\n"
            "configure_logging()\n"
            "for _ in range(3): logging.getLogger('crankfold.test').warning('no reader')\n"
            "print('went on')"
        )
        with Path("/dev/full").open("wb") as full:
            process = subprocess.run(
                [sys.executable, "-c", program], stdout=subprocess.PIPE, stderr=full, check=False
            )
        self.assertEqual(process.stdout, b"went on\n")

    def test_closed_stream_is_no_failure(self) -> None:
        closed_stream = io.StringIO()
        closed_stream.close()
        with contextlib.redirect_stderr(closed_stream):
            self.logger.info("no reader")

    def test_arguments_that_do_not_fit_their_message_raise_no_exception(self) -> None:
        self.logger.info("port %d", "none")
        self.assertIn("--- Logging error ---", self.take_lines()[0])

    def test_counters_are_one_line_sorted_by_name(self) -> None:
        metrics = Metrics()
        metrics.increment("b")
        metrics.increment("b")
        metrics.record_maximum("c", 7)
        metrics.record_maximum("c", 5)
        metrics.log_counters({"a": 1})
        self.assertEqual(self.take_lines(), ["crankfold: counters: a=1 b=2 c=7"])

    def test_unexpected_exception_is_counted_and_logged_with_its_location(self) -> None:
        metrics = Metrics()
        try:
            raise ValueError("a bug")
        except ValueError as error:
            metrics.record_exception(error)
        (line,) = self.take_lines()
        self.assertRegex(line, r"^crankfold: failure: ValueError\('a bug'\) at .*test_log_handler\.py:\d+$")
        self.assertEqual(metrics.counters["failures"], 1)
