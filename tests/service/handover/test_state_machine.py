"""The handover state machine without sockets: processes replace one another, crash or become unresponsive."""

import json
from typing import Any

from crankfold.protocol.handover_messages import (
    MAX_LINE_SIZE,
    CallbackQuery,
    HandoverDecoder,
    HandoverMessage,
    ManualDrainQuery,
    ManualDrainState,
    PastRequestIds,
    ProcessState,
    ProcessUsage,
    ProtocolError,
    QueryAnswer,
    TakeoverGrant,
    TakeoverRequest,
    decode_message,
    encode_message,
)
from crankfold.service.handover.state_machine import HandoverStateMachine
from tests.fixtures import TraceTestCase


class ProcessChainTestCase(TraceTestCase):
    """Records in one trace what the state machines of several connected processes send and do."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.processes: dict[str, FakeProcess] = {}
        # Each end of a connection, as process name and connection number, to its other end.
        self.connections: dict[tuple[str, int], tuple[str, int]] = {}
        self.outbox: list[tuple[str, int, bytes]] = []  # the sender's end, and the line

    def add_process(self, name: str, *request_ids: str) -> "FakeProcess":
        self.processes[name] = FakeProcess(self, name, request_ids)
        return self.processes[name]

    def connect(self, successor: str, predecessor: str) -> None:
        """Opens the handover channel between two processes."""
        successor_end = (successor, self._next_connection(successor))
        predecessor_end = (predecessor, self._next_connection(predecessor))
        self.connections[successor_end] = predecessor_end
        self.connections[predecessor_end] = successor_end
        self.processes[successor].machine.predecessor_connected(successor_end[1])
        self.processes[predecessor].machine.successor_connected(predecessor_end[1])
        self.deliver()

    def _next_connection(self, name: str) -> int:
        return 1 + sum(end[0] == name for end in self.connections)

    def disconnect(self, name: str, connection: int) -> None:
        other_end = self.connections.pop((name, connection), None)
        if other_end:
            self.connections.pop(other_end, None)
            self.processes[other_end[0]].machine.disconnected(self.now, other_end[1])

    def kill(self, name: str) -> None:
        self.record(f"{name} dies")
        for end in [end for end in self.connections if end[0] == name]:
            self.disconnect(*end)
        self.deliver()

    def deliver(self) -> None:
        while self.outbox:
            name, connection, line = self.outbox.pop(0)
            if (name, connection) in self.connections:
                receiver, other_connection = self.connections[name, connection]
                self.record(f"  {name} to {receiver}: {json.dumps(comparable_fields(line))}")
                self.processes[receiver].machine.message_received(
                    self.now, other_connection, decode_message(line)
                )

    def take_over(self, name: str) -> None:
        if not self.processes[name].machine.request_takeover():
            self.record(f"  {name}: nobody to ask")
        self.deliver()

    def send_query(self, name: str, kind: str, subject: str) -> None:
        """Starts a query at a process and delivers its messages.

        Args:
            name: The process.
            kind: The kind of the query on the wire: `event`, `out` or `back`.
            subject: A callback or a backend id.
        """
        query = CallbackQuery(0, subject) if kind == "event" else ManualDrainQuery(0, subject, kind == "out")
        fields = json.loads(encode_message(query))
        del fields["ask"]  # the state machine assigns the query id
        self.record(f"{name} asks {json.dumps(fields)}")
        self.start_query(name, query)
        self.deliver()

    def start_query(self, name: str, query: CallbackQuery | ManualDrainQuery) -> None:
        """Starts a query at a process, without delivering its messages."""
        machine = self.processes[name].machine

        def record_answer(positive: bool | None) -> None:
            self.record(f"  {name} hears {positive}")

        if isinstance(query, CallbackQuery):
            machine.query_callback(self.now, query.callback, record_answer)
        else:
            machine.query_manual_drain(self.now, query.backend_id, query.drained, record_answer)


def comparable_fields(line: bytes) -> Any:
    """Returns a message without the parts about sockets and backends, which the fakes do not have."""
    fields = json.loads(line)
    for key in fields.keys() & {"yours", "holds"}:
        if isinstance(fields[key], dict):
            fields[key] = {"ids": fields[key]["ids"]}
    return {"welcome": {}} if "welcome" in fields else fields


class FakeProcess:
    """Implements `HandoverActions` by recording each action in the trace."""

    def __init__(self, chain: ProcessChainTestCase, name: str, request_ids: tuple[str, ...]) -> None:
        self.chain, self.name, self.request_ids = chain, name, request_ids
        self.predecessor_request_ids: set[str] = set()
        self.executed_ids: list[str] = []
        self.attempted_ids: list[str] = []
        self.machine = HandoverStateMachine(self)

    def record(self, action: str) -> None:
        self.chain.record(f"  {self.name} {action} ({self.machine.role.value})")

    def send(self, connection: int, message: HandoverMessage) -> None:
        self.chain.outbox.append((self.name, connection, encode_message(message)))

    def disconnect(self, connection: int) -> None:
        self.chain.deliver()
        self.chain.disconnect(self.name, connection)

    def describe_state(self) -> ProcessState:
        return ProcessState(1, self.name, "steady", [], ManualDrainState({}, {}), [], None, {})

    def describe_usage(self) -> ProcessUsage:
        return ProcessUsage(list(self.request_ids), 0, 0)

    def stop_accepting(self) -> None:
        self.record("gives way")

    def resume_accepting(self) -> None:
        self.record("takes it up again")

    def takeover_completed(self) -> None:
        self.record("has taken over")

    def takeover_refused(self) -> None:
        self.record("looks again for who serves")

    def handle_callback(self, callback: str) -> bool:
        return callback in self.request_ids

    def apply_manual_drain(self, backend_id: str, drained: bool) -> None:
        self.record(f"binds {backend_id} {'out' if drained else 'in'}")

    def apply_service_drain(self, drained: bool) -> None:
        self.record(f"{'drains' if drained else 'serves again'}")

    def reload_config(self) -> None:
        self.record("reloads")

    def predecessor_usage_changed(self, usage: ProcessUsage) -> None:
        self.record(f"knows held elsewhere { {'ids': usage.request_ids} }")
        self.predecessor_request_ids = set(usage.request_ids)

    def reserve_for_predecessor(self, request_id: str) -> bool:
        if request_id in {*self.request_ids, *self.predecessor_request_ids}:
            return False
        self.predecessor_request_ids.add(request_id)
        return True

    def release_for_predecessor(self, request_id: str) -> None:
        self.predecessor_request_ids.discard(request_id)

    def request_ended_elsewhere(self, request_id: str, *, executed: bool) -> None:
        (self.executed_ids if executed else self.attempted_ids).append(request_id)

    def describe_past_ids(self) -> PastRequestIds:
        return PastRequestIds(" ".join(self.executed_ids), " ".join(self.attempted_ids))

    def adopt_past_ids(self, past_ids: PastRequestIds) -> None:
        self.executed_ids += past_ids.executed.split()
        self.attempted_ids += past_ids.attempted.split()


class HandoverStateMachineTest(ProcessChainTestCase):
    # Guards against an id that runs again at the other process of a replacement.
    def test_executed_ids_are_known_to_all_processes_of_chain(self) -> None:
        first, second, third = (self.add_process(name, "") for name in "abc")
        first.executed_ids.append("before")
        self.connect("b", "a")
        self.take_over("b")
        self.connect("c", "b")
        self.take_over("c")
        self.assertEqual(third.executed_ids, ["before"])
        for process, request_id in ((first, "at-a"), (third, "at-c")):
            process.machine.report_request_ended(request_id, executed=True)
        second.machine.report_request_ended("never-run")
        self.deliver()
        self.assertEqual(first.executed_ids, ["before", "at-c"])
        self.assertEqual(second.executed_ids, ["before", "at-a", "at-c"])
        self.assertEqual(third.executed_ids, ["before", "at-a"])

    # Guards against a repeated callback that ends a request of the same id at the other process.
    def test_attempted_ids_are_known_to_all_processes_of_chain(self) -> None:
        first, second, third = (self.add_process(name, "") for name in "abc")
        first.attempted_ids.append("before")
        self.connect("b", "a")
        self.take_over("b")
        self.connect("c", "b")
        self.take_over("c")
        for process, request_id in ((first, "at-a"), (third, "at-c")):
            process.machine.report_request_ended(request_id, attempted=True)
        self.deliver()
        self.assertEqual(first.attempted_ids, ["before", "at-c"])
        self.assertEqual(second.attempted_ids, ["before", "at-a", "at-c"])
        self.assertEqual(third.attempted_ids, ["before", "at-a"])
        self.assertEqual([process.executed_ids for process in (first, second, third)], [[], [], []])

    def test_queries_and_callbacks_reach_all_processes_of_chain(self) -> None:
        process_a = self.add_process("a", "u1")
        self.add_process("b", "u2")
        self.connect("b", "a")
        self.take_over("b")
        self.send_query("b", "event", "u1")
        self.send_query("b", "event", "nobody's")
        self.send_query("a", "event", "u2")
        self.send_query("a", "out", "r")
        process_a.request_ids = ()
        process_a.machine.report_usage()
        self.deliver()
        self.add_process("c")
        self.connect("c", "b")
        self.take_over("c")
        self.record("a call-back for the first reaches the third")
        process_a.request_ids = ("u3",)
        self.send_query("c", "event", "u3")
        self.send_query("c", "back", "r")
        self.kill("a")
        self.send_query("c", "event", "u3")
        self.assert_matches_trace("succession-chain")

    def test_predecessor_serves_on_after_successor_dies(self) -> None:
        process_a = self.add_process("a")
        self.add_process("b")
        self.connect("b", "a")
        self.record("before it has taken over")
        self.kill("b")
        self.add_process("b")
        self.connect("b", "a")
        self.take_over("b")
        self.record("after that, and nobody told the old one to end")
        self.kill("b")
        self.add_process("b")
        self.connect("b", "a")
        self.take_over("b")
        self.record("after that, and the old one was told to end")
        process_a.machine.start_shutdown()
        self.kill("b")
        self.record(f"  a: {process_a.machine.role.value}")
        self.assert_matches_trace("succession-new-dies")

    # Guards against a callback that waits 0.5 s for the answer of a process that was refused, and so
    # disconnected, after the query was sent, and that is then answered 503.
    def test_query_does_not_wait_for_process_refused_meanwhile(self) -> None:
        process_a = self.add_process("a")
        for name in ("b", "c"):
            self.add_process(name)
            self.connect(name, "a")
        self.take_over("b")
        answers: list[bool | None] = []
        process_a.machine.query_callback(self.now, "nobody's", answers.append)
        self.outbox.clear()
        connection_to_b, connection_to_c = sorted(process_a.machine.processes)
        process_a.machine.message_received(
            self.now, connection_to_b, QueryAnswer(process_a.machine.last_query_id, False)
        )
        self.assertEqual(answers, [])
        process_a.machine.message_received(self.now, connection_to_c, TakeoverRequest())
        self.assertEqual(answers, [False])

    def test_successor_continues_after_predecessor_crashes_or_is_unresponsive(self) -> None:
        self.add_process("a", "u1")
        process_b = self.add_process("b")
        self.connect("b", "a")
        self.record("before it has given way")
        self.kill("a")
        self.record(f"  b: {process_b.machine.role.value}")
        self.add_process("a", "u1")
        process_b = self.add_process("b")
        self.connect("b", "a")
        self.take_over("b")
        self.record("with a question open")
        self.start_query("b", CallbackQuery(0, "u1"))
        self.outbox.clear()
        self.kill("a")
        self.record("it hangs")
        self.add_process("a", "u1")
        process_b = self.add_process("b")
        self.connect("b", "a")
        self.take_over("b")
        self.start_query("b", CallbackQuery(0, "u1"))
        self.outbox.clear()
        for self.now in (0.4, 0.6):
            self.record(f"  {self.now}")
            process_b.machine.expire_queries(self.now)
        self.assert_matches_trace("succession-old-dies")

    def test_late_successor_is_refused_and_connects_to_serving_process(self) -> None:
        self.add_process("a", "u1")
        self.add_process("b")
        self.add_process("c")
        self.connect("b", "a")
        self.connect("c", "a")
        self.take_over("b")
        self.record("the third is late: it has to ask whoever serves now")
        self.take_over("c")
        self.connect("c", "b")
        self.take_over("c")
        self.record("what is no message of ours changes nothing")
        for invalid_message in (
            {},
            {"yours": 1},
            {"re": "x"},
            {"ask": 1, "what": "event", "body": 3},
            {"holds": None},
            {"ask": 2},
        ):
            self.outbox.append(("c", 1, json.dumps(invalid_message).encode()))
        self.deliver()
        self.assert_matches_trace("succession-third")

    def test_decoder_accepts_lines_split_anywhere_and_rejects_garbage(self) -> None:
        data = b'{"take":true}\n{"yours":{"ids":["u1"]}}\n'
        for split in range(len(data)):
            decoder = HandoverDecoder()
            self.assertEqual(
                decoder.receive_data(data[:split]) + decoder.receive_data(data[split:]),
                [TakeoverRequest(), TakeoverGrant(ProcessUsage(["u1"], 0, 0))],
            )
        for garbage in (b"hello?\n", b"[1]\n", b"x" * (MAX_LINE_SIZE + 1)):
            with self.assertRaises(ProtocolError):
                HandoverDecoder().receive_data(garbage)
