"""Which of several processes of one dispatcher serves, and what they owe each other; given the time, no I/O.

The other processes are numbered as they connect. One may be the predecessor, and several may want to succeed
this one; the first to ask takes over. A query (a callback, a manual drain) goes to all other processes but
the one that it came from, and is answered once they have answered, or when its time is up.

Times are seconds of one monotonic clock.
"""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from crankfold.protocol.handover_messages import (
    CallbackQuery,
    HandoverMessage,
    ManualDrainQuery,
    ProcessState,
    ProcessUsage,
    Query,
    QueryAnswer,
    TakeoverGrant,
    TakeoverRefusal,
    TakeoverRequest,
    UnknownQuery,
    UsageReport,
    Welcome,
)

QUERY_TIMEOUT = 0.5  # seconds; a callback or an operator's call waits for the answer
NO_PROCESS = -1
NO_USAGE = ProcessUsage([], 0, 0)

AnswerCallback = Callable[[bool | None], None]
"""Gets True once one process said yes, False when all said no, None if one said nothing in time."""


class HandoverRole(Enum):
    """What this process does beside the others."""

    STANDALONE = "alone"
    WAITING = "following"  # a predecessor serves
    TOOK_OVER = "serving"  # it serves, and the predecessor finishes the requests that it has
    SUPERSEDED = "followed"  # a successor serves


class HandoverActions(Protocol):
    """What the state machine has done to this process and to others. Processes are given by their number."""

    def send(self, process: int, message: HandoverMessage) -> None:
        """Sends a message to another process."""

    def disconnect(self, process: int) -> None:
        """Closes a connection when all that was sent on it has been written."""

    def describe_state(self) -> ProcessState:
        """What a successor has to know."""

    def describe_usage(self) -> ProcessUsage:
        """What this process holds."""

    def stop_accepting(self) -> None:
        """Leaves new connections to a successor."""

    def resume_accepting(self) -> None:
        """The successor has gone: serves again."""

    def takeover_completed(self) -> None:
        """The predecessor accepts no more, or has gone."""

    def takeover_refused(self) -> None:
        """Another process serves, which is to be looked for."""

    def handle_callback(self, callback: str) -> bool:
        """Handles a callback if it is for a request in hand; whether it was."""

    def apply_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Drains a backend or restores it."""

    def predecessor_usage_changed(self, usage: ProcessUsage) -> None:
        """What the predecessor holds now."""


class _PendingQuery:
    def __init__(self, awaited: set[int], deadline: float, on_answer: AnswerCallback) -> None:
        self.awaited = awaited  # processes that have not answered
        self.deadline = deadline
        self.on_answer = on_answer


class HandoverStateMachine:
    """Given what other processes do and say, decides which one serves."""

    def __init__(self, actions: HandoverActions) -> None:
        self.actions = actions
        self.role = HandoverRole.STANDALONE
        self.processes: set[int] = set()
        self.predecessor = NO_PROCESS
        self.successor = NO_PROCESS
        self.shutting_down = False
        self.queries: dict[int, _PendingQuery] = {}
        self.last_query = 0

    # --- connections and roles ---

    def predecessor_connected(self, process: int) -> None:
        """A process that serves has answered."""
        self.processes.add(process)
        self.predecessor = process
        self.role = HandoverRole.WAITING

    def successor_connected(self, process: int) -> None:
        """Another process wants to take over."""
        self.processes.add(process)
        self.actions.send(process, Welcome(self.actions.describe_state()))

    def request_takeover(self) -> bool:
        """To be called when this process is ready to serve. False if there is nobody to ask."""
        if self.role != HandoverRole.WAITING:
            return False
        self.actions.send(self.predecessor, TakeoverRequest())
        return True

    def disconnected(self, now: float, process: int) -> None:
        """A process has ended, or its connection broke."""
        if process not in self.processes:
            return
        self.processes.discard(process)
        for pending in list(self.queries.values()):
            pending.awaited.discard(process)
        if process == self.predecessor:
            self._predecessor_lost()
        if process == self.successor:
            self._successor_lost()
        self.expire_queries(now)

    def _predecessor_lost(self) -> None:
        self.predecessor = NO_PROCESS
        self.actions.predecessor_usage_changed(NO_USAGE)
        if self.role == HandoverRole.WAITING:
            self.role = HandoverRole.STANDALONE
            self.actions.takeover_completed()  # nobody is left to wait for
        elif self.role == HandoverRole.TOOK_OVER:
            self.role = HandoverRole.STANDALONE

    def _successor_lost(self) -> None:
        self.successor = NO_PROCESS
        if self.role == HandoverRole.SUPERSEDED:
            has_predecessor = self.predecessor != NO_PROCESS
            self.role = HandoverRole.TOOK_OVER if has_predecessor else HandoverRole.STANDALONE
            if not self.shutting_down:
                self.actions.resume_accepting()  # no signal asked this process to end: nobody else serves

    def start_shutdown(self) -> None:
        """This process ends: what was handed over is not taken back."""
        self.shutting_down = True

    # --- messages ---

    def message_received(self, now: float, process: int, message: HandoverMessage) -> None:
        """What a process says; what it has no right to say is ignored."""
        match message:
            case TakeoverRequest():
                self._takeover_requested(process)
            case TakeoverGrant() if process == self.predecessor and self.role == HandoverRole.WAITING:
                self.role = HandoverRole.TOOK_OVER
                self._usage_received(message.usage)
                self.actions.takeover_completed()
            case TakeoverRefusal() if process == self.predecessor:
                self.predecessor = NO_PROCESS
                self.role = HandoverRole.STANDALONE
                self.processes.discard(process)
                self.actions.disconnect(process)
                self.actions.takeover_refused()
            case UsageReport() if process == self.predecessor:
                self._usage_received(message.usage)
            case ManualDrainQuery() | CallbackQuery() | UnknownQuery():
                self._query_received(now, process, message)
            case QueryAnswer():
                self._answer_received(now, process, message)

    def _takeover_requested(self, process: int) -> None:
        if self.role in (HandoverRole.SUPERSEDED, HandoverRole.WAITING) or self.shutting_down:
            # Another was first, or this process does not serve itself: whoever serves is to be asked.
            self.actions.send(process, TakeoverRefusal())
            self.processes.discard(process)
            self.actions.disconnect(process)
            return
        self.successor = process
        self.role = HandoverRole.SUPERSEDED
        self.actions.stop_accepting()
        self.actions.send(process, TakeoverGrant(self.actions.describe_usage()))

    def _usage_received(self, usage: ProcessUsage | None) -> None:
        if usage is not None:
            self.actions.predecessor_usage_changed(usage)

    def _query_received(self, now: float, process: int, query: Query) -> None:
        query_id = query.query_id

        def answer(positive: bool) -> None:
            self.actions.send(process, QueryAnswer(query_id, positive))

        match query:
            case ManualDrainQuery():
                # Every process applies it; the answer waits until those behind have.
                self.actions.apply_manual_drain(query.backend_id, query.drained)
                self._ask_others(now, query, lambda _: answer(False), sender=process)
            case CallbackQuery():
                if self.actions.handle_callback(query.callback):
                    answer(True)
                else:
                    self._ask_others(now, query, lambda found: answer(bool(found)), sender=process)
            case UnknownQuery():
                answer(False)

    def _answer_received(self, now: float, process: int, answer: QueryAnswer) -> None:
        pending = self.queries.get(answer.query_id)
        if pending is None or process not in pending.awaited:
            return
        pending.awaited.discard(process)
        if answer.positive:
            pending.awaited.clear()
            self._resolve(answer.query_id, True)
        else:
            self.expire_queries(now)

    # --- queries ---

    def query_manual_drain(
        self, now: float, backend_id: str, drained: bool, on_answer: AnswerCallback
    ) -> None:
        """Has all other processes drain or restore a backend; the answer is False or None."""
        self._ask_others(now, ManualDrainQuery(0, backend_id, drained), on_answer)

    def query_callback(self, now: float, callback: str, on_answer: AnswerCallback) -> None:
        """Looks for the process that has the request of a callback in hand, and has it handle that."""
        self._ask_others(now, CallbackQuery(0, callback), on_answer)

    def _ask_others(
        self,
        now: float,
        query: ManualDrainQuery | CallbackQuery,
        on_answer: AnswerCallback,
        sender: int = NO_PROCESS,
    ) -> None:
        """Passes a query on under a number of this process, to all but its sender."""
        awaited = self.processes - {sender}
        if not awaited:
            on_answer(False)
            return
        self.last_query += 1
        self.queries[self.last_query] = _PendingQuery(awaited, now + QUERY_TIMEOUT, on_answer)
        numbered = query._replace(query_id=self.last_query)
        for process in sorted(awaited):
            self.actions.send(process, numbered)

    def expire_queries(self, now: float) -> None:
        """Answers the queries to which nobody has to answer any more, or whose time is up."""
        for query_id, pending in list(self.queries.items()):
            if not pending.awaited:
                self._resolve(query_id, False)
            elif now >= pending.deadline:
                self._resolve(query_id, None)

    def _resolve(self, query_id: int, result: bool | None) -> None:
        pending = self.queries.pop(query_id, None)
        if pending:
            pending.on_answer(result)

    def report_usage(self) -> None:
        """From time to time: tells the successor what this process still holds."""
        if self.role == HandoverRole.SUPERSEDED:
            self.actions.send(self.successor, UsageReport(self.actions.describe_usage()))
