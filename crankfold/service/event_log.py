"""Writes what a dispatcher with peers does, a JSON object a line, for the checks of fault injection.

The keys of the lines are older than the names in the program. Not imported unless there are peers.
"""

import sys
import time
from pathlib import Path
from typing import Any, TextIO

import orjson

from crankfold.consensus.conservative_merge import DRAINED_BACKENDS, EXCLUDED_BACKENDS, QUOTAS, SETTINGS
from crankfold.consensus.follower import Follower
from crankfold.consensus.voter import Voter
from crankfold.service.collaborators import RecordedEvent

STANDARD_OUTPUT = "-"  # in place of a path; nothing else is written there
TRANSITION = "step"  # the kind of line that tells a transition of a machine in maintenance


class EventLog:
    """A file that is open until the process ends; each line is flushed, as the process may be killed."""

    def __init__(self, path: str) -> None:
        """Appends to the file at `path`, or to standard output.

        Raises:
            OSError: if the file cannot be opened.
        """
        self.file: TextIO = sys.stdout if path == STANDARD_OUTPUT else Path(path).open("a")  # noqa: SIM115 - open until the end
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
        self.file.write(orjson.dumps(line).decode() + "\n")
        self.file.flush()


def _boot_time_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
