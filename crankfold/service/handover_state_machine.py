"""Which of the processes that follow one another serves, and what they owe each other; told the time, no I/O.

Kin are numbered as they are met. There is the predecessor, and there may be several that want to follow; the
first to ask takes over. A question (a call-back, a ban) goes to all kin but whom it came from, and is
answered once they have answered, or when the time for it is up.
"""

from collections.abc import Callable
from enum import Enum
from typing import Any, Protocol

QUERY_TIMEOUT = 0.5  # seconds; a call-back or an operator's call waits for the answer


class HandoverRole(Enum):
    STANDALONE = "alone"
    WAITING = "following"  # a predecessor serves
    TOOK_OVER = "serving"  # took over, and the predecessor finishes what it has
    HANDED_OVER = "followed"  # another has taken over


class HandoverActions(Protocol):
    def send(self, kin: int, told: dict[str, Any]) -> None: ...
    def disconnect(self, kin: int) -> None: ...
    def describe_state(self) -> dict[str, Any]: ...
    def describe_usage(self) -> dict[str, Any]: ...
    def stop_accepting(self) -> None: ...
    def resume_accepting(self) -> None: ...
    def takeover_completed(self) -> None: ...
    def takeover_refused(self) -> None: ...
    def handle_callback(self, body: str) -> bool: ...
    def apply_manual_drain(self, uid: str, out: bool) -> None: ...
    def predecessor_usage_changed(self, told: dict[str, Any]) -> None: ...


class _Query:
    def __init__(self, owed: set[int], due: float, done: Callable[[bool | None], None]) -> None:
        self.awaited, self.deadline, self.answered = owed, due, done


class HandoverStateMachine:
    def __init__(self, port: HandoverActions) -> None:
        self.actions = port
        self.role = HandoverRole.STANDALONE
        self.processes: set[int] = set()
        self.predecessor = self.successor = -1
        self.shutting_down = False
        self.queries: dict[int, _Query] = {}
        self.last_query = 0

    # --- meeting and parting ---

    def predecessor_connected(self, kin: int) -> None:
        """A predecessor answered."""
        self.processes.add(kin)
        self.predecessor, self.role = kin, HandoverRole.WAITING

    def successor_connected(self, kin: int) -> None:
        """Another process wants to follow."""
        self.processes.add(kin)
        self.actions.send(kin, {"welcome": self.actions.describe_state()})

    def request_takeover(self) -> bool:
        """Everything is ready to serve; whether there is somebody to ask first."""
        if self.role != HandoverRole.WAITING:
            return False
        self.actions.send(self.predecessor, {"take": True})
        return True

    def disconnected(self, now: float, kin: int) -> None:
        if kin not in self.processes:
            return
        self.processes.discard(kin)
        for question in list(self.queries.values()):
            question.awaited.discard(kin)
        if kin == self.predecessor:
            self.predecessor = -1
            self.actions.predecessor_usage_changed({})
            if self.role == HandoverRole.WAITING:
                self.role = HandoverRole.STANDALONE
                self.actions.takeover_completed()  # nobody is left to wait for
            elif self.role == HandoverRole.TOOK_OVER:
                self.role = HandoverRole.STANDALONE
        if kin == self.successor:
            self.successor = -1
            if self.role == HandoverRole.HANDED_OVER:
                self.role = HandoverRole.TOOK_OVER if self.predecessor >= 0 else HandoverRole.STANDALONE
                if not self.shutting_down:
                    self.actions.resume_accepting()  # it died before we were told to end: nobody else serves
        self.expire_queries(now)

    def start_shutdown(self) -> None:
        """Told to end: what was handed over is not taken back."""
        self.shutting_down = True

    # --- what kin say ---

    def message_received(self, now: float, kin: int, said: dict[str, Any]) -> None:
        if "take" in said:
            if (
                self.role == HandoverRole.HANDED_OVER
                or self.role == HandoverRole.WAITING
                or self.shutting_down
            ):
                # Another was first, or we do not serve ourselves: it has to ask whoever does.
                self.actions.send(kin, {"elsewhere": True})
                self.processes.discard(kin)
                self.actions.disconnect(kin)
                return
            self.successor, self.role = kin, HandoverRole.HANDED_OVER
            self.actions.stop_accepting()
            self.actions.send(kin, {"yours": self.actions.describe_usage()})
        elif "yours" in said and kin == self.predecessor and self.role == HandoverRole.WAITING:
            self.role = HandoverRole.TOOK_OVER
            self._usage_received(said["yours"])
            self.actions.takeover_completed()
        elif "elsewhere" in said and kin == self.predecessor:
            self.predecessor, self.role = -1, HandoverRole.STANDALONE
            self.processes.discard(kin)
            self.actions.disconnect(kin)
            self.actions.takeover_refused()
        elif "holds" in said and kin == self.predecessor:
            self._usage_received(said["holds"])
        elif "ask" in said:
            self._query_received(now, kin, said)
        elif "re" in said:
            question = self.queries.get(said["re"]) if isinstance(said["re"], int) else None
            if question and kin in question.awaited:
                question.awaited.discard(kin)
                if said.get("yes") is True:
                    question.awaited.clear()
                    self._resolve(said["re"], True)
                else:
                    self.expire_queries(now)

    def _usage_received(self, told: object) -> None:
        if isinstance(told, dict):
            self.actions.predecessor_usage_changed(told)

    def _query_received(self, now: float, kin: int, said: dict[str, Any]) -> None:
        number, what = said["ask"], said.get("what")
        if what in ("out", "back") and isinstance(said.get("uid"), str):
            # Every kin binds it; the answer waits until those behind have.
            self.actions.apply_manual_drain(said["uid"], what == "out")
            self.query(
                now,
                {"what": what, "uid": said["uid"]},
                lambda _: self.actions.send(kin, {"re": number, "yes": False}),
                kin,
            )
        elif what == "event" and isinstance(said.get("body"), str):
            if self.actions.handle_callback(said["body"]):
                self.actions.send(kin, {"re": number, "yes": True})
            else:
                self.query(
                    now,
                    {"what": what, "body": said["body"]},
                    lambda yes: self.actions.send(kin, {"re": number, "yes": bool(yes)}),
                    kin,
                )
        else:
            self.actions.send(kin, {"re": number, "yes": False})

    # --- questions ---

    def query(
        self, now: float, what: dict[str, Any], done: Callable[[bool | None], None], but: int = -1
    ) -> None:
        """`done` hears True once one said yes, False when all said no, None if somebody said nothing."""
        owed = self.processes - {but}
        if not owed:
            done(False)
            return
        self.last_query += 1
        self.queries[self.last_query] = _Query(owed, now + QUERY_TIMEOUT, done)
        for kin in sorted(owed):
            self.actions.send(kin, {"ask": self.last_query, **what})

    def expire_queries(self, now: float) -> None:
        for number, question in list(self.queries.items()):
            if not question.awaited:
                self._resolve(number, False)
            elif now >= question.deadline:
                self._resolve(number, None)

    def _resolve(self, number: int, yes: bool | None) -> None:
        question = self.queries.pop(number, None)
        if question:
            question.answered(yes)

    def report_usage(self) -> None:
        """Now and then: what the one that finishes still holds."""
        if self.role == HandoverRole.HANDED_OVER:
            self.actions.send(self.successor, {"holds": self.actions.describe_usage()})
