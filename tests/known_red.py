"""The test command: every test is run, and only failures that KNOWN-RED.txt names are passed over.

A line of that file is `test | cause | issue`, three lines at most. A line that is malformed or names no test
fails the run, as does any other failure; the listed ones are printed, also when they pass.
"""

import sys
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import TextIO

MOST = 3
LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"


class KnownRedListError(ValueError):
    """The list can't be gone by; the text says why."""


def each(suite: unittest.TestSuite) -> Iterator[unittest.TestCase]:
    for test in suite:
        if isinstance(test, unittest.TestSuite):
            yield from each(test)
        else:
            yield test


def listed(text: str, ids: set[str]) -> dict[str, str]:
    """By test, its line."""
    lines: dict[str, str] = {}
    for line in text.splitlines():
        parts = [part.strip() for part in line.split("|")]
        if len(parts) != 3 or not all(parts):
            raise KnownRedListError(f"not `test | cause | issue`: {line!r}")
        if parts[0] not in ids:
            raise KnownRedListError(f"names no test: {line!r}")
        if parts[0] in lines:
            raise KnownRedListError(f"listed twice: {line!r}")
        lines[parts[0]] = line
    if len(lines) > MOST:
        raise KnownRedListError(f"{len(lines)} tests, {MOST} are allowed")
    return lines


def judge(suite: unittest.TestSuite, text: str, out: TextIO) -> bool:
    """Whether all passed but those listed."""
    try:
        known = listed(text, {test.id() for test in each(suite)})
    except KnownRedListError as wrong:
        print(f"KNOWN-RED.txt: {wrong}", file=out)
        return False
    result = unittest.TextTestRunner(out, verbosity=2).run(suite)
    bad = [test for test, _ in result.failures + result.errors] + result.unexpectedSuccesses
    # A failure in a part of a test, or in what was set up for several, is told under a name of its own.
    failed = {getattr(test, "test_case", test).id() for test in bad}
    for test, line in known.items():
        print(f"known red, {'fails' if test in failed else 'passed this time'}: {line}", file=out)
    others = failed - known.keys()
    print(f"{result.testsRun - len(failed)} passed, {len(others)} failed", file=out)
    return result.testsRun > 0 and not others


def main() -> None:
    root = LIST.parent
    suite = unittest.defaultTestLoader.discover(str(root / "tests"), top_level_dir=str(root))
    sys.exit(not judge(suite, LIST.read_text() if LIST.exists() else "", sys.stderr))
