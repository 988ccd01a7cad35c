"""The event log of a dispatcher with peers: one JSON object per line, for the invariants of fault injection.

The JSON keys differ from the names in the code; this module maps them. A line that cannot be written is
dropped with a warning, as no request depends on it. Imported only with peers.
"""

import logging
import os
import sys
import time
from typing import NotRequired, TypedDict

import orjson

from crankfold.consensus.follower import Follower
from crankfold.consensus.messages import DocumentContent
from crankfold.consensus.voter import Voter
from crankfold.document_names import DRAINED_BACKENDS, EXCLUDED_BACKENDS, QUOTAS, SETTINGS
from crankfold.service.requests.collaborators import RecordedEvent

logger = logging.getLogger(__name__)

STANDARD_OUTPUT = "-"  # in place of a path
TRANSITION = "step"  # value of `what` in the lines for transitions of machines in maintenance
FILE_MODE = 0o666  # the umask clears bits of it


class EventLine(TypedDict):
    """A line for a `RecordedEvent`, with the keys of the file."""

    at: int  # nanoseconds of the boot-time clock
    what: str  # the kind of the event
    unit: str  # the request id
    where: str  # a request class or a backend id
    applied: int  # the last applied log index
    versions: dict[str, tuple[int, int]]  # the active and the newest version, by document
    acting: NotRequired[dict[str, DocumentContent | None]]  # the effective content, by document


class TransitionLine(TypedDict):
    """A line for a transition of a machine in maintenance, with the keys of the file."""

    at: int  # nanoseconds of the boot-time clock
    what: str  # `TRANSITION`
    uid: str  # the machine
    work: str  # the job
    step: str
    index: int  # in the replicated log
    by: str
    why: str


class EventLog:
    """Appends events to a file without a buffer, so that no event is lost when the process is killed."""

    def __init__(self, path: str) -> None:
        """Opens the file at `path`, or standard output for "-"; it stays open until the process ends.

        Raises:
            OSError: The file cannot be opened.
        """
        if path == STANDARD_OUTPUT:
            self._file = sys.stdout.fileno()
        else:
            self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        self._last_line_is_partial = False
        self.recorded_index = 0  # log index up to which transitions are written

    def record_event(
        self, event: RecordedEvent, request_id: str, subject: str, member: Voter | Follower
    ) -> None:
        """Writes an event with the active and the newest document versions at `member`."""
        line: EventLine = {
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
        """Writes the transitions of machines that `member` has applied since the last call."""
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

    def _write(self, line: EventLine | TransitionLine) -> None:
        data = orjson.dumps(line) + b"\n"
        if self._last_line_is_partial:
            data = b"\n" + data
        unwritten = memoryview(data)
        try:
            while unwritten:
                unwritten = unwritten[os.write(self._file, unwritten) :]
        except OSError as error:
            logger.warning("event log: %s; the event is not logged", error, extra={"category": "event-log"})
        if len(unwritten) < len(data):
            self._last_line_is_partial = bool(unwritten)


def _boot_time_ns() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME)
