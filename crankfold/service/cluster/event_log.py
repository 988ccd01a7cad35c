"""Writes what a dispatcher with peers does, a JSON object a line, for the checks of fault injection.

The keys of the lines are older than the names in the program. Not imported unless there are peers. A line
that can't be written is lost and logged: no request depends on it.
"""

import logging
import os
import sys
import time
from typing import Any

import orjson

from crankfold.consensus.conservative_merge import DRAINED_BACKENDS, EXCLUDED_BACKENDS, QUOTAS, SETTINGS
from crankfold.consensus.follower import Follower
from crankfold.consensus.voter import Voter
from crankfold.service.requests.collaborators import RecordedEvent

logger = logging.getLogger(__name__)

STANDARD_OUTPUT = "-"  # in place of a path; nothing else is written there
TRANSITION = "step"  # the kind of line that tells a transition of a machine in maintenance


class EventLog:
    """A file that is open until the process ends; nothing is buffered, as the process may be killed."""

    def __init__(self, path: str) -> None:
        """Appends to the file at `path`, or to standard output.

        Raises:
            OSError: if the file cannot be opened.
        """
        if path == STANDARD_OUTPUT:
            self._file = sys.stdout.fileno()
        else:
            self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o666)
        self._line_is_torn = False
        self.recorded_index = 0  # of the replicated log; up to there transitions have been written

    def record_event(
        self, event: RecordedEvent, request_id: str, subject: str, member: Voter | Follower
    ) -> None:
        """Writes an event with the versions of the documents by which `member` acted."""
        line: dict[str, Any] = {
            "at": _boot_time_ns(),
            "what": event.value,
            "unit": request_id,
            "where": subject,
            "applied": member.last_applied,
            "versions": member.documents.version_numbers(),
        }
        if event is RecordedEvent.CONFIG_APPLIED:
            line["acting"] = {
                document: member.effective_content(document)
                for document in (SETTINGS, DRAINED_BACKENDS, EXCLUDED_BACKENDS, QUOTAS)
            }
        self._write(line)

    def record_transitions(self, member: Voter | Follower) -> None:
        """Writes the transitions of machines in maintenance that `member` has applied since the last call."""
        for transition in member.documents.replicated.maintenance.transitions:
            if transition.index > self.recorded_index:
                self._write(
                    {
                        "at": _boot_time_ns(),
                        "what": TRANSITION,
                        "uid": transition.machine_id,
                        "work": transition.job,
                        "step": transition.phase,
                        "index": transition.index,
                        "by": transition.by,
                        "why": transition.reason,
                    }
                )
        self.recorded_index = max(self.recorded_index, member.last_applied)

    def _write(self, line: dict[str, Any]) -> None:
        data = orjson.dumps(line) + b"\n"
        if self._line_is_torn:
            data = b"\n" + data
        unwritten = memoryview(data)
        try:
            while unwritten:
                unwritten = unwritten[os.write(self._file, unwritten) :]
        except OSError as error:
            logger.warning("event log: %s; a line is lost", error, extra={"category": "event-log"})
        if len(unwritten) < len(data):
            self._line_is_torn = bool(unwritten)


def _boot_time_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
