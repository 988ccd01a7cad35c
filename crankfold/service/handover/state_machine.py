"""The handover state machine: decides which of several processes of a dispatcher serves. No I/O.

Processes are numbered as they connect. At most one is the predecessor; several may request to succeed this
process, and the first of them takes over. A query (a callback or a manual drain) is forwarded to all
processes except its sender; it is answered when all of them have answered, or after `QUERY_TIMEOUT`.

A request id is in use at one process at most: a process with a successor reserves the id of each new request
there, and that process at its own successor, up to the one that serves. The latter decides alone, as it knows
all ids in use at its predecessors.

Role transitions:

    STANDALONE   predecessor connected      WAITING
    WAITING      takeover granted           TOOK_OVER
    WAITING      refused, predecessor lost  STANDALONE
    TOOK_OVER    predecessor lost           STANDALONE
    STANDALONE, TOOK_OVER    takeover requested    SUPERSEDED
    SUPERSEDED   successor lost             TOOK_OVER, or STANDALONE without predecessor

Times are seconds of one monotonic clock.
"""

from collections.abc import Callable
from enum import Enum
from typing import Protocol

from crankfold.protocol.handover_messages import (
    CallbackQuery,
    HandoverMessage,
    ManualDrainQuery,
    PastRequestIds,
    ProcessState,
    ProcessUsage,
    Query,
    QueryAnswer,
    ReloadNotice,
    RequestEnded,
    ReservationQuery,
    ServiceDrainQuery,
    TakeoverGrant,
    TakeoverRefusal,
    TakeoverRequest,
    UnknownQuery,
    UsageReport,
    Welcome,
)

QUERY_TIMEOUT = 0.5  # seconds; the sender of a callback or of an admin call waits for the answer
RESERVATION_TIMEOUT = 2.0  # seconds; a successor may be suspended for one second
NO_PROCESS = -1
NO_USAGE = ProcessUsage([], 0, 0)

AnswerCallback = Callable[[bool | None], None]
"""Takes True if one process answered yes, False if all answered no, None after a timeout."""


class HandoverRole(Enum):
    """The role of this process among the processes of its dispatcher."""

    STANDALONE = "alone"
    WAITING = "following"  # the predecessor serves
    TOOK_OVER = "serving"  # this process serves; the predecessor finishes its requests
    SUPERSEDED = "followed"  # the successor serves


class HandoverActions(Protocol):
    """The effects of the state machine on this process and on others, which are identified by number."""

    def send(self, process: int, message: HandoverMessage) -> None:
        """Sends a message to another process."""

    def disconnect(self, process: int) -> None:
        """Closes the connection to a process after all sent messages are written."""

    def describe_state(self) -> ProcessState:
        """Returns the state that a successor adopts."""

    def describe_usage(self) -> ProcessUsage:
        """Returns the requests that this process still handles, and its numbers of connections."""

    def stop_accepting(self) -> None:
        """Stops accepting connections, which the successor accepts from here on."""

    def resume_accepting(self) -> None:
        """Accepts connections again after the successor has ended."""

    def takeover_completed(self) -> None:
        """Ends the wait for the predecessor, which has stopped accepting or has ended."""

    def takeover_refused(self) -> None:
        """Makes this process look for the process that serves, as the predecessor does not."""

    def handle_callback(self, callback: str) -> bool:
        """Handles a callback if this process has its request; returns whether it handled the callback."""

    def apply_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Drains or restores a backend."""

    def apply_service_drain(self, drained: bool) -> None:
        """Drains this process, or ends its drain."""

    def reload_config(self) -> None:
        """Reloads the configuration file of this process."""

    def predecessor_usage_changed(self, usage: ProcessUsage) -> None:
        """Handles a report of the requests and connections that the predecessor still has."""

    def reserve_for_predecessor(self, request_id: str) -> bool:
        """Reserves a request id for the predecessor; returns False if the id is in use."""

    def release_for_predecessor(self, request_id: str) -> None:
        """Ends the use of a request id by the predecessor."""

    def request_ended_elsewhere(self, request_id: str, *, executed: bool) -> None:
        """Records that a request of another process is over, and whether it may have been executed."""

    def describe_past_ids(self) -> PastRequestIds:
        """Returns the ids of the requests that are over and were attempted."""

    def adopt_past_ids(self, past_ids: PastRequestIds) -> None:
        """Records the ids of the requests of the predecessor that are over and were attempted."""


class _PendingQuery:
    """A query that was forwarded and is not answered yet."""

    def __init__(self, awaited: set[int], deadline: float, on_answer: AnswerCallback) -> None:
        self.awaited = awaited  # processes that have not answered yet
        self.deadline = deadline
        self.on_answer = on_answer


class HandoverStateMachine:
    """Handles connections and messages of other processes, and keeps the role of this one."""

    def __init__(self, actions: HandoverActions) -> None:
        self.actions = actions
        self.role = HandoverRole.STANDALONE
        self.processes: set[int] = set()
        self.predecessor = NO_PROCESS
        self.successor = NO_PROCESS
        self.shutting_down = False
        self.queries: dict[int, _PendingQuery] = {}
        self.last_query_id = 0

    # --- connections and roles ---

    def predecessor_connected(self, process: int) -> None:
        """Handles the connection to a predecessor, which serves."""
        self.processes.add(process)
        self.predecessor = process
        self.role = HandoverRole.WAITING

    def successor_connected(self, process: int) -> None:
        """Handles the connection of a process that is to take over, and sends it the state."""
        self.processes.add(process)
        self.actions.send(process, Welcome(self.actions.describe_state()))

    def request_takeover(self) -> bool:
        """Requests the takeover; to be called when this process is ready to serve.

        Returns:
            Whether there is a predecessor to take over from.
        """
        if self.role != HandoverRole.WAITING:
            return False
        self.actions.send(self.predecessor, TakeoverRequest())
        return True

    def disconnected(self, now: float, process: int) -> None:
        """Handles the loss of the connection to a process."""
        if process not in self.processes:
            return
        self._forget(process)
        if process == self.predecessor:
            self._predecessor_lost()
        if process == self.successor:
            self._successor_lost()
        self.expire_queries(now)

    def _drop(self, now: float, process: int) -> None:
        """Disconnects a process after all sent messages are written; the channel does not report a loss."""
        self._forget(process)
        self.actions.disconnect(process)
        self.expire_queries(now)

    def _forget(self, process: int) -> None:
        """Removes a disconnected process; queries no longer wait for its answer."""
        self.processes.discard(process)
        for pending in self.queries.values():
            pending.awaited.discard(process)

    def _predecessor_lost(self) -> None:
        self.predecessor = NO_PROCESS
        self.actions.predecessor_usage_changed(NO_USAGE)
        if self.role == HandoverRole.WAITING:
            self.role = HandoverRole.STANDALONE
            self.actions.takeover_completed()
        elif self.role == HandoverRole.TOOK_OVER:
            self.role = HandoverRole.STANDALONE

    def _successor_lost(self) -> None:
        self.successor = NO_PROCESS
        if self.role == HandoverRole.SUPERSEDED:
            has_predecessor = self.predecessor != NO_PROCESS
            self.role = HandoverRole.TOOK_OVER if has_predecessor else HandoverRole.STANDALONE
            if not self.shutting_down:
                self.actions.resume_accepting()  # no other process serves

    def start_shutdown(self) -> None:
        """Prevents this process from serving again after its successor is lost."""
        self.shutting_down = True

    # --- messages ---

    def message_received(self, now: float, process: int, message: HandoverMessage) -> None:
        """Handles a message; one that does not fit the role of its sender is ignored."""
        match message:
            case TakeoverRequest():
                self._takeover_requested(now, process)
            case TakeoverGrant() if process == self.predecessor and self.role == HandoverRole.WAITING:
                self.role = HandoverRole.TOOK_OVER
                self._usage_received(message.usage)
                self.actions.adopt_past_ids(message.past_ids)
                self.actions.takeover_completed()
            case TakeoverRefusal() if process == self.predecessor:
                self.predecessor = NO_PROCESS
                self.role = HandoverRole.STANDALONE
                self._drop(now, process)
                self.actions.takeover_refused()
            case UsageReport() if process == self.predecessor:
                self._usage_received(message.usage)
            case RequestEnded() if process in (self.predecessor, self.successor):
                self._request_ended(process, message)
            case (
                ManualDrainQuery()
                | ServiceDrainQuery()
                | CallbackQuery()
                | ReservationQuery()
                | UnknownQuery()
            ):
                self._query_received(now, process, message)
            case ReloadNotice():
                self.actions.reload_config()
                self.report_reload(sender=process)
            case QueryAnswer():
                self._answer_received(process, message)

    def _request_ended(self, process: int, message: RequestEnded) -> None:
        self.actions.request_ended_elsewhere(message.request_id, executed=message.executed)
        if process == self.predecessor:
            self.actions.release_for_predecessor(message.request_id)
            self._tell_successor(message)
        else:
            self._tell_predecessor(message)

    def _takeover_requested(self, now: float, process: int) -> None:
        if self.role in (HandoverRole.SUPERSEDED, HandoverRole.WAITING) or self.shutting_down:
            # This process does not serve, or is about to end, so the sender has to find another one.
            self.actions.send(process, TakeoverRefusal())
            self._drop(now, process)
            return
        self.successor = process
        self.role = HandoverRole.SUPERSEDED
        self.actions.stop_accepting()
        self.actions.send(
            process, TakeoverGrant(self.actions.describe_usage(), self.actions.describe_past_ids())
        )

    def _usage_received(self, usage: ProcessUsage | None) -> None:
        if usage is not None:
            self.actions.predecessor_usage_changed(usage)

    def _query_received(self, now: float, process: int, query: Query) -> None:
        query_id = query.query_id

        def answer(positive: bool) -> None:
            self.actions.send(process, QueryAnswer(query_id, positive))

        match query:
            case ManualDrainQuery():
                self.actions.apply_manual_drain(query.backend_id, query.drained)
                self._forward_drain(now, query, answer, sender=process)
            case ServiceDrainQuery():
                self.actions.apply_service_drain(query.drained)
                self._forward_drain(now, query, answer, sender=process)
            case CallbackQuery():
                if self.actions.handle_callback(query.callback):
                    answer(True)
                else:
                    self._forward_query(now, query, lambda found: answer(bool(found)), sender=process)
            case ReservationQuery() if process == self.predecessor:
                self._reservation_received(now, query.request_id, answer)
            case ReservationQuery() | UnknownQuery():
                answer(False)

    def _forward_drain(
        self,
        now: float,
        query: ManualDrainQuery | ServiceDrainQuery,
        answer: Callable[[bool], None],
        sender: int,
    ) -> None:
        """Forwards a drain, and answers once the processes behind this one have applied it.

        The answer is always negative, as a positive one would end the query before the others have answered.
        There is none if one of them has not answered in time, so that the sender does not take it as applied.
        """

        def on_answer(result: bool | None) -> None:
            if result is not None:
                answer(False)

        self._forward_query(now, query, on_answer, sender=sender)

    def _reservation_received(self, now: float, request_id: str, answer: Callable[[bool], None]) -> None:
        """Reserves a request id for the predecessor, here and at the processes that follow this one."""
        if not self.actions.reserve_for_predecessor(request_id):
            answer(True)
            return

        def on_answer(in_use: bool | None) -> None:
            if in_use:
                self.actions.release_for_predecessor(request_id)
            if in_use is not None:
                answer(in_use)

        self.reserve_request_id(now, request_id, on_answer)

    def _answer_received(self, process: int, answer: QueryAnswer) -> None:
        pending = self.queries.get(answer.query_id)
        if pending is None or process not in pending.awaited:
            return
        pending.awaited.discard(process)
        if answer.positive:
            self._resolve(answer.query_id, True)
        elif not pending.awaited:
            self._resolve(answer.query_id, False)

    # --- queries ---

    def query_manual_drain(
        self, now: float, backend_id: str, drained: bool, on_answer: AnswerCallback
    ) -> None:
        """Makes all other processes drain or restore a backend; `on_answer` takes False or None."""
        self._forward_query(now, ManualDrainQuery(0, backend_id, drained), on_answer)

    def query_service_drain(self, now: float, drained: bool, on_answer: AnswerCallback) -> None:
        """Makes all other processes drain or serve again; `on_answer` takes False or None."""
        self._forward_query(now, ServiceDrainQuery(0, drained), on_answer)

    def query_callback(self, now: float, callback: str, on_answer: AnswerCallback) -> None:
        """Forwards a callback, which the process that handles its request answers with True."""
        self._forward_query(now, CallbackQuery(0, callback), on_answer)

    def reserve_request_id(self, now: float, request_id: str, on_answer: AnswerCallback) -> None:
        """Reserves a request id at the successor; `on_answer` takes True if the id is in use there.

        Without a successor it takes False, possibly before the return: no other process admits requests
        without asking this one.
        """
        awaited = {self.successor} if self.role == HandoverRole.SUPERSEDED else set()
        self._send_query(now, ReservationQuery(0, request_id), on_answer, awaited, RESERVATION_TIMEOUT)

    def _forward_query(
        self,
        now: float,
        query: ManualDrainQuery | ServiceDrainQuery | CallbackQuery,
        on_answer: AnswerCallback,
        sender: int = NO_PROCESS,
    ) -> None:
        """Forwards a query to all processes except its sender."""
        self._send_query(now, query, on_answer, self.processes - {sender}, QUERY_TIMEOUT)

    def _send_query(
        self,
        now: float,
        query: ManualDrainQuery | ServiceDrainQuery | CallbackQuery | ReservationQuery,
        on_answer: AnswerCallback,
        awaited: set[int],
        timeout: float,
    ) -> None:
        """Sends a query to some processes, under a query id of this process."""
        if not awaited:
            on_answer(False)
            return
        self.last_query_id += 1
        self.queries[self.last_query_id] = _PendingQuery(awaited, now + timeout, on_answer)
        forwarded = query._replace(query_id=self.last_query_id)
        for process in sorted(awaited):
            self.actions.send(process, forwarded)

    def expire_queries(self, now: float) -> None:
        """Resolves the queries that wait for no process any more, and those that have timed out."""
        for query_id, pending in list(self.queries.items()):
            if not pending.awaited:
                self._resolve(query_id, False)
            elif now >= pending.deadline:
                self._resolve(query_id, None)

    def _resolve(self, query_id: int, result: bool | None) -> None:
        pending = self.queries.pop(query_id, None)
        if pending:
            pending.on_answer(result)

    def report_request_ended(
        self, request_id: str, *, executed: bool = False, attempted: bool = False
    ) -> None:
        """Tells the successor, if there is one, that a request id is no longer in use.

        The id of a request that was attempted is told to the predecessor too, which may get the id again.
        """
        message = RequestEnded(request_id, executed)
        self._tell_successor(message)
        if executed or attempted:
            self._tell_predecessor(message)

    def _tell_successor(self, message: RequestEnded) -> None:
        if self.role == HandoverRole.SUPERSEDED:
            self.actions.send(self.successor, message)

    def _tell_predecessor(self, message: RequestEnded) -> None:
        if self.predecessor != NO_PROCESS:
            self.actions.send(self.predecessor, message)

    def report_reload(self, sender: int = NO_PROCESS) -> None:
        """Makes all processes except the sender reload their configuration files."""
        for process in sorted(self.processes - {sender}):
            self.actions.send(process, ReloadNotice())

    def report_usage(self) -> None:
        """Reports the requests and connections of this process to its successor; called periodically."""
        if self.role == HandoverRole.SUPERSEDED:
            self.actions.send(self.successor, UsageReport(self.actions.describe_usage()))
