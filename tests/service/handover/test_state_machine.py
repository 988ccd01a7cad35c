"""The state machine of a handover: processes follow one another, die or hang; no sockets."""

import json
from typing import Any

from crankfold.protocol.handover_messages import (
    MAX_LINE_SIZE,
    CallbackQuery,
    HandoverDecoder,
    HandoverMessage,
    ManualDrainQuery,
    ManualDrainState,
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


class ProcessChain(TraceTestCase):
    """State machines of several processes, connected by the lines that they send, in one trace."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.processes: dict[str, Process] = {}
        self.connections: dict[tuple[str, int], tuple[str, int]] = {}
        self.outbox: list[tuple[str, int, bytes]] = []

    def add_process(self, name: str, *request_ids: str) -> "Process":
        self.processes[name] = Process(self, name, request_ids)
        return self.processes[name]

    def connect(self, new: str, old: str) -> None:
        """Opens the handover channel between two processes."""
        new_end = (new, self._next_connection(new))
        old_end = (old, self._next_connection(old))
        self.connections[new_end] = old_end
        self.connections[old_end] = new_end
        self.processes[new].machine.predecessor_connected(new_end[1])
        self.processes[old].machine.successor_connected(old_end[1])
        self.deliver()

    def _next_connection(self, name: str) -> int:
        return 1 + sum(end[0] == name for end in self.connections)

    def disconnect(self, name: str, connection: int) -> None:
        other = self.connections.pop((name, connection), None)
        if other:
            self.connections.pop(other, None)
            self.processes[other[0]].machine.disconnected(self.now, other[1])

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

    def send_query(self, name: str, what: str, about: str) -> None:
        query = CallbackQuery(0, about) if what == "event" else ManualDrainQuery(0, about, what == "out")
        fields = json.loads(encode_message(query))
        del fields["ask"]  # its number comes when it is sent
        self.record(f"{name} asks {json.dumps(fields)}")
        self.query(name, query)
        self.deliver()

    def query(self, name: str, query: CallbackQuery | ManualDrainQuery) -> None:
        machine = self.processes[name].machine

        def answered(positive: bool | None) -> None:
            self.record(f"  {name} hears {positive}")

        if isinstance(query, CallbackQuery):
            machine.query_callback(self.now, query.callback, answered)
        else:
            machine.query_manual_drain(self.now, query.backend_id, query.drained, answered)


def comparable_fields(line: bytes) -> Any:
    """A message less what these processes, which have no sockets and no backends, can't fill."""
    fields = json.loads(line)
    for key in fields.keys() & {"yours", "holds"}:
        if isinstance(fields[key], dict):
            fields[key] = {"ids": fields[key]["ids"]}
    return {"welcome": {}} if "welcome" in fields else fields


class Process:
    def __init__(self, chain: ProcessChain, name: str, request_ids: tuple[str, ...]) -> None:
        self.chain, self.name, self.request_ids = chain, name, request_ids
        self.machine = HandoverStateMachine(self)

    def record(self, what: str) -> None:
        self.chain.record(f"  {self.name} {what} ({self.machine.role.value})")

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

    def predecessor_usage_changed(self, usage: ProcessUsage) -> None:
        self.record(f"knows held elsewhere { {'ids': usage.request_ids} }")


class HandoverStateMachineTest(ProcessChain):
    def test_queries_and_callbacks_reach_the_processes_of_a_chain(self) -> None:
        a = self.add_process("a", "u1")
        self.add_process("b", "u2")
        self.connect("b", "a")
        self.take_over("b")
        self.send_query("b", "event", "u1")
        self.send_query("b", "event", "nobody's")
        self.send_query("a", "event", "u2")
        self.send_query("a", "out", "r")
        a.request_ids = ()
        a.machine.report_usage()
        self.deliver()
        self.add_process("c")
        self.connect("c", "b")
        self.take_over("c")
        self.record("a call-back for the first reaches the third")
        a.request_ids = ("u3",)
        self.send_query("c", "event", "u3")
        self.send_query("c", "back", "r")
        self.kill("a")
        self.send_query("c", "event", "u3")
        self.assert_matches_trace("succession-chain")

    def test_a_predecessor_serves_on_when_its_successor_dies(self) -> None:
        a = self.add_process("a")
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
        a.machine.start_shutdown()
        self.kill("b")
        self.record(f"  a: {a.machine.role.value}")
        self.assert_matches_trace("succession-new-dies")

    # Guards against callbacks that wait 0.5 s for a process that is gone, and are answered 503 then.
    def test_a_query_awaits_no_process_that_was_refused_meanwhile(self) -> None:
        a = self.add_process("a")
        for name in ("b", "c"):
            self.add_process(name)
            self.connect(name, "a")
        self.take_over("b")
        answers: list[bool | None] = []
        a.machine.query_callback(self.now, "nobody's", answers.append)
        self.outbox.clear()
        of_b, of_c = sorted(a.machine.processes)
        a.machine.message_received(self.now, of_b, QueryAnswer(a.machine.last_query, False))
        self.assertEqual(answers, [])
        a.machine.message_received(self.now, of_c, TakeoverRequest())
        self.assertEqual(answers, [False])

    def test_the_old_one_dies_or_hangs(self) -> None:
        self.add_process("a", "u1")
        b = self.add_process("b")
        self.connect("b", "a")
        self.record("before it has given way")
        self.kill("a")
        self.record(f"  b: {b.machine.role.value}")
        self.add_process("a", "u1")
        b = self.add_process("b")
        self.connect("b", "a")
        self.take_over("b")
        self.record("with a question open")
        self.query("b", CallbackQuery(0, "u1"))
        self.outbox.clear()
        self.kill("a")
        self.record("it hangs")
        self.add_process("a", "u1")
        b = self.add_process("b")
        self.connect("b", "a")
        self.take_over("b")
        self.query("b", CallbackQuery(0, "u1"))
        self.outbox.clear()
        for self.now in (0.4, 0.6):
            self.record(f"  {self.now}")
            b.machine.expire_queries(self.now)
        self.assert_matches_trace("succession-old-dies")

    def test_a_late_successor_is_refused_and_connects_to_the_process_that_serves(self) -> None:
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
        for odd in (
            {},
            {"yours": 1},
            {"re": "x"},
            {"ask": 1, "what": "event", "body": 3},
            {"holds": None},
            {"ask": 2},
        ):
            self.outbox.append(("c", 1, json.dumps(odd).encode()))
        self.deliver()
        self.assert_matches_trace("succession-third")

    def test_lines_are_decoded_wherever_cut_and_garbage_is_rejected(self) -> None:
        data = b'{"take":true}\n{"yours":{"ids":["u1"]}}\n'
        for cut in range(len(data)):
            decoder = HandoverDecoder()
            self.assertEqual(
                decoder.receive_data(data[:cut]) + decoder.receive_data(data[cut:]),
                [TakeoverRequest(), TakeoverGrant(ProcessUsage(["u1"], 0, 0))],
            )
        for garbage in (b"hello?\n", b"[1]\n", b"x" * (MAX_LINE_SIZE + 1)):
            with self.assertRaises(ProtocolError):
                HandoverDecoder().receive_data(garbage)
