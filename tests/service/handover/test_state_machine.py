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
    TakeoverGrant,
    TakeoverRequest,
    decode_message,
    encode_message,
)
from crankfold.service.handover.state_machine import HandoverStateMachine
from tests.scene import TraceTestCase


class Family(TraceTestCase):
    """Several successions in one trace, joined by the lines they say."""

    def setUp(self) -> None:
        super().setUp()
        self.now = 0.0
        self.members: dict[str, Member] = {}
        self.joined: dict[tuple[str, int], tuple[str, int]] = {}
        self.post: list[tuple[str, int, bytes]] = []

    def member(self, name: str, *held: str) -> "Member":
        self.members[name] = Member(self, name, held)
        return self.members[name]

    def join(self, new: str, old: str) -> None:
        """The passage is up between the two."""
        ends = [(name, 1 + sum(kin[0] == name for kin in self.joined)) for name in (new, old)]
        self.joined[ends[0]], self.joined[ends[1]] = ends[1], ends[0]
        self.members[new].succession.predecessor_connected(ends[0][1])
        self.members[old].succession.successor_connected(ends[1][1])
        self.deliver()

    def part(self, name: str, kin: int) -> None:
        other = self.joined.pop((name, kin), None)
        if other:
            self.joined.pop(other, None)
            self.members[other[0]].succession.disconnected(self.now, other[1])

    def dies(self, name: str) -> None:
        self.say(f"{name} dies")
        for end in [end for end in self.joined if end[0] == name]:
            self.part(*end)
        self.deliver()

    def deliver(self) -> None:
        while self.post:
            name, kin, told = self.post.pop(0)
            if (name, kin) in self.joined:
                to, as_kin = self.joined[name, kin]
                self.say(f"  {name} to {to}: {json.dumps(shown(told))}")
                self.members[to].succession.message_received(self.now, as_kin, decode_message(told))

    def takes_over(self, name: str) -> None:
        if not self.members[name].succession.request_takeover():
            self.say(f"  {name}: nobody to ask")
        self.deliver()

    def asks(self, name: str, what: str, about: str) -> None:
        query = CallbackQuery(0, about) if what == "event" else ManualDrainQuery(0, about, what == "out")
        fields = json.loads(encode_message(query))
        del fields["ask"]  # its number comes when it is sent
        self.say(f"{name} asks {json.dumps(fields)}")
        self.query(name, query)
        self.deliver()

    def query(self, name: str, query: CallbackQuery | ManualDrainQuery) -> None:
        machine = self.members[name].succession

        def answered(positive: bool | None) -> None:
            self.say(f"  {name} hears {positive}")

        if isinstance(query, CallbackQuery):
            machine.query_callback(self.now, query.callback, answered)
        else:
            machine.query_manual_drain(self.now, query.backend_id, query.drained, answered)


def shown(line: bytes) -> Any:
    """A message less what these processes, which have no sockets and no backends, can't fill."""
    fields = json.loads(line)
    for key in fields.keys() & {"yours", "holds"}:
        if isinstance(fields[key], dict):
            fields[key] = {"ids": fields[key]["ids"]}
    return {"welcome": {}} if "welcome" in fields else fields


class Member:
    def __init__(self, family: Family, name: str, held: tuple[str, ...]) -> None:
        self.family, self.name, self.held = family, name, held
        self.succession = HandoverStateMachine(self)

    def does(self, what: str) -> None:
        self.family.say(f"  {self.name} {what} ({self.succession.role.value})")

    def send(self, kin: int, told: HandoverMessage) -> None:
        self.family.post.append((self.name, kin, encode_message(told)))

    def disconnect(self, kin: int) -> None:
        self.family.deliver()
        self.family.part(self.name, kin)

    def describe_state(self) -> ProcessState:
        return ProcessState(1, self.name, "steady", [], ManualDrainState({}, {}), [], None, {})

    def describe_usage(self) -> ProcessUsage:
        return ProcessUsage(list(self.held), 0, 0)

    def stop_accepting(self) -> None:
        self.does("gives way")

    def resume_accepting(self) -> None:
        self.does("takes it up again")

    def takeover_completed(self) -> None:
        self.does("has taken over")

    def takeover_refused(self) -> None:
        self.does("looks again for who serves")

    def handle_callback(self, callback: str) -> bool:
        return callback in self.held

    def apply_manual_drain(self, backend_id: str, drained: bool) -> None:
        self.does(f"binds {backend_id} {'out' if drained else 'in'}")

    def predecessor_usage_changed(self, usage: ProcessUsage) -> None:
        self.does(f"knows held elsewhere { {'ids': usage.request_ids} }")


class Decided(Family):
    def test_one_after_the_other(self) -> None:
        a = self.member("a", "u1")
        self.member("b", "u2")
        self.join("b", "a")
        self.takes_over("b")
        self.asks("b", "event", "u1")
        self.asks("b", "event", "nobody's")
        self.asks("a", "event", "u2")
        self.asks("a", "out", "r")
        a.held = ()
        a.succession.report_usage()
        self.deliver()
        self.member("c")
        self.join("c", "b")
        self.takes_over("c")
        self.say("a call-back for the first reaches the third")
        a.held = ("u3",)
        self.asks("c", "event", "u3")
        self.asks("c", "back", "r")
        self.dies("a")
        self.asks("c", "event", "u3")
        self.close("succession-chain")

    def test_the_new_one_dies(self) -> None:
        a = self.member("a")
        self.member("b")
        self.join("b", "a")
        self.say("before it has taken over")
        self.dies("b")
        self.member("b")
        self.join("b", "a")
        self.takes_over("b")
        self.say("after that, and nobody told the old one to end")
        self.dies("b")
        self.member("b")
        self.join("b", "a")
        self.takes_over("b")
        self.say("after that, and the old one was told to end")
        a.succession.start_shutdown()
        self.dies("b")
        self.say(f"  a: {a.succession.role.value}")
        self.close("succession-new-dies")

    def test_the_old_one_dies_or_hangs(self) -> None:
        self.member("a", "u1")
        b = self.member("b")
        self.join("b", "a")
        self.say("before it has given way")
        self.dies("a")
        self.say(f"  b: {b.succession.role.value}")
        self.member("a", "u1")
        b = self.member("b")
        self.join("b", "a")
        self.takes_over("b")
        self.say("with a question open")
        self.query("b", CallbackQuery(0, "u1"))
        self.post.clear()
        self.dies("a")
        self.say("it hangs")
        self.member("a", "u1")
        b = self.member("b")
        self.join("b", "a")
        self.takes_over("b")
        self.query("b", CallbackQuery(0, "u1"))
        self.post.clear()
        for self.now in (0.4, 0.6):
            self.say(f"  {self.now}")
            b.succession.expire_queries(self.now)
        self.close("succession-old-dies")

    def test_a_second_replacement_while_the_first_is_under_way(self) -> None:
        self.member("a", "u1")
        self.member("b")
        self.member("c")
        self.join("b", "a")
        self.join("c", "a")
        self.takes_over("b")
        self.say("the third is late: it has to ask whoever serves now")
        self.takes_over("c")
        self.join("c", "b")
        self.takes_over("c")
        self.say("what is no message of ours changes nothing")
        for odd in (
            {},
            {"yours": 1},
            {"re": "x"},
            {"ask": 1, "what": "event", "body": 3},
            {"holds": None},
            {"ask": 2},
        ):
            self.post.append(("c", 1, json.dumps(odd).encode()))
        self.deliver()
        self.close("succession-third")

    def test_lines_at_every_cut_and_garbage(self) -> None:
        data = b'{"take":true}\n{"yours":{"ids":["u1"]}}\n'
        for cut in range(len(data)):
            side = HandoverDecoder()
            self.assertEqual(
                side.receive_data(data[:cut]) + side.receive_data(data[cut:]),
                [TakeoverRequest(), TakeoverGrant(ProcessUsage(["u1"], 0, 0))],
            )
        for garbage in (b"hello?\n", b"[1]\n", b"x" * (MAX_LINE_SIZE + 1)):
            with self.assertRaises(ProtocolError):
                HandoverDecoder().receive_data(garbage)
