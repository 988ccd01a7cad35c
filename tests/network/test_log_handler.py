"""The log on standard error: its lines, its rate limit, and a stream that can't be written."""

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

LIMITED = {"category": "discovery"}


class LogHandlerTest(unittest.TestCase):
    def setUp(self) -> None:
        configure_logging()
        root = logging.getLogger(PACKAGE)
        self.addCleanup(root.handlers.clear)
        self.addCleanup(setattr, root, "propagate", True)
        self.addCleanup(root.setLevel, logging.NOTSET)
        self.logger = logging.getLogger(f"{PACKAGE}.network.test")
        self.now = 1000.0
        clock = patch("crankfold.network.log_handler.time.monotonic", lambda: self.now)
        self.enterContext(clock)
        self.stream = self.enterContext(contextlib.redirect_stderr(io.StringIO()))

    def written(self) -> list[str]:
        lines = self.stream.getvalue().splitlines()
        self.stream.truncate(0)
        self.stream.seek(0)
        return lines

    def test_lines_name_the_program_and_the_category(self) -> None:
        self.logger.info("serving on %s:%d", "127.0.0.1", 80)
        self.logger.warning("status %d", 503, extra=LIMITED)
        self.logger.debug("not written")
        self.assertEqual(
            self.written(), ["crankfold: serving on 127.0.0.1:80", "crankfold: discovery: status 503"]
        )

    def test_a_category_is_limited_and_the_interval_doubles_up_to_a_minute(self) -> None:
        times = []
        for _ in range(2000):  # ten a second
            self.logger.warning("broken", extra=LIMITED)
            times += [self.now - 1000.0 for _ in self.written()]
            self.now += 0.1
        self.assertEqual([round(at) for at in times], [0, 1, 3, 7, 15, 31, 63, 123, 183])

    def test_the_next_line_says_how_many_were_suppressed(self) -> None:
        for _ in range(4):
            self.logger.warning("broken", extra=LIMITED)
        self.logger.warning("another category is not limited by it", extra={"category": "peers"})
        self.now += 1.0
        self.logger.warning("broken", extra=LIMITED)
        self.now += 60.0
        self.logger.warning("broken", extra=LIMITED)
        self.assertEqual(
            self.written(),
            [
                "crankfold: discovery: broken",
                "crankfold: peers: another category is not limited by it",
                "crankfold: discovery: broken (3 similar suppressed)",
                "crankfold: discovery: broken",
            ],
        )

    def test_a_record_without_a_category_is_always_written(self) -> None:
        for _ in range(3):
            self.logger.info("draining")
        self.assertEqual(self.written(), ["crankfold: draining"] * 3)

    def test_a_second_call_does_not_write_lines_twice(self) -> None:
        configure_logging()
        self.logger.info("once")
        self.assertEqual(self.written(), ["crankfold: once"])
        handlers = logging.getLogger(PACKAGE).handlers
        self.assertEqual([type(handler) for handler in handlers], [StderrHandler])

    def test_where_lines_cannot_be_written_the_program_goes_on(self) -> None:
        program = (
            "import logging; from crankfold.network.log_handler import configure_logging\n"
            "configure_logging()\n"
            "for _ in range(3): logging.getLogger('crankfold.test').warning('nobody reads it')\n"
            "print('went on')"
        )
        with Path("/dev/full").open("wb") as full:
            done = subprocess.run(
                [sys.executable, "-c", program], stdout=subprocess.PIPE, stderr=full, check=False
            )
        self.assertEqual(done.stdout, b"went on\n")

    def test_a_closed_stream_is_no_failure(self) -> None:
        closed = io.StringIO()
        closed.close()
        with contextlib.redirect_stderr(closed):
            self.logger.info("nobody reads it")

    def test_arguments_that_do_not_fit_their_message_raise_nothing(self) -> None:
        self.logger.info("port %d", "none")
        self.assertIn("--- Logging error ---", self.written()[0])

    def test_counters_are_one_line_sorted_by_name(self) -> None:
        metrics = Metrics()
        metrics.increment("b")
        metrics.increment("b")
        metrics.record_maximum("c", 7)
        metrics.record_maximum("c", 5)
        metrics.log_counters({"a": 1})
        self.assertEqual(self.written(), ["crankfold: counters: a=1 b=2 c=7"])

    def test_an_unforeseen_exception_is_counted_and_logged_with_its_place(self) -> None:
        metrics = Metrics()
        try:
            raise ValueError("a bug")
        except ValueError as error:
            metrics.record_exception(error)
        (line,) = self.written()
        self.assertRegex(line, r"^crankfold: failure: ValueError\('a bug'\) at .*test_log_handler\.py:\d+$")
        self.assertEqual(metrics.counters["failures"], 1)
