"""Takeover through a mock handover channel: which answers of a predecessor end the wait."""

import asyncio
import socket
import unittest
from typing import Any
from unittest.mock import AsyncMock, Mock, patch

from crankfold.network.handover_channel import PredecessorConnection
from crankfold.protocol.handover_messages import (
    FORMAT_VERSION,
    STATIC_WEIGHTS,
    Hello,
    ManualDrainState,
    ProcessState,
    TakeoverGrant,
    TakeoverRefusal,
    TakeoverRequest,
    Welcome,
)
from crankfold.service.handover.identity import DispatcherIdentity
from crankfold.service.handover.state_machine import HandoverStateMachine
from crankfold.service.handover.takeover import Takeover, TakeoverDecision

ADDRESS = ("127.0.0.1", 18080)
IDENTITY = DispatcherIdentity("n0", ADDRESS)
STATE = ProcessState(
    format_version=FORMAT_VERSION,
    dispatcher_name="n0",
    weight_semantics=STATIC_WEIGHTS,
    report_fields=[],
    manual_drains=ManualDrainState({}, {}),
    known_ids=["a"],
    endpoints=None,
    load_reports={},
)


class DispatcherIdentityTest(unittest.TestCase):
    def test_hello_and_socket_name_follow_from_name_and_address(self) -> None:
        self.assertEqual(IDENTITY.hello(), Hello(FORMAT_VERSION, ADDRESS, "n0"))
        other = DispatcherIdentity("n1", ADDRESS)
        # Both dispatchers would use the same socket, which is why the names are compared as well.
        self.assertEqual(other.socket_name(), IDENTITY.socket_name())
        self.assertRegex(IDENTITY.socket_name(), "^crankfold-[0-9a-f]{8}$")

    def test_state_is_accepted_only_from_welcome_of_same_dispatcher(self) -> None:
        self.assertEqual(IDENTITY.state_in_welcome(Welcome(STATE), ADDRESS), STATE)
        for message, address in (
            (TakeoverRequest(), ADDRESS),
            (Welcome(STATE._replace(format_version=FORMAT_VERSION + 1)), ADDRESS),
            (Welcome(STATE._replace(dispatcher_name="n1")), ADDRESS),
            (Welcome(STATE), ("127.0.0.1", 18081)),
        ):
            self.assertIsNone(IDENTITY.state_in_welcome(message, address))


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.decision = TakeoverDecision()
        self.actions = Mock()
        self.actions.takeover_completed = self.decision.complete
        self.actions.takeover_refused = self.decision.refuse
        self.state_machine = HandoverStateMachine(self.actions)
        self.listening_socket = Mock(spec=socket.socket)
        self.listening_socket.getsockname.return_value = ADDRESS
        self.channel = Mock()
        self.process = 0
        self.state = STATE

        async def connect(_hello: Hello) -> PredecessorConnection:
            self.process += 1
            return PredecessorConnection(self.process, self.listening_socket, Welcome(self.state))

        self.channel.connect = AsyncMock(side_effect=connect)
        self.request_handler = Mock()
        self.request_handler.config.report_fields = ()
        self.request_handler.backends.known_ids = set()
        self.request_handler.backends.backend_ids.find = lambda _backend_id: 0
        self.request_handler.backends.manual_drains.drained_since = {}
        self.request_handler.backends.timers.clock.now = lambda: 0
        self.manual_drain_file = Mock()
        self.takeover = Takeover(
            identity=IDENTITY,
            channel=self.channel,
            state_machine=self.state_machine,
            decision=self.decision,
            manual_drain_file=self.manual_drain_file,
            request_handler=self.request_handler,
            service_drain=Mock(),
        )

    def answer_requests(self, *answers: Any) -> None:
        """Makes the predecessor answer each takeover request with the next of these answers."""
        remaining = list(answers)

        def send(process: int, message: Any) -> None:
            self.assertEqual(message, TakeoverRequest())
            if remaining:
                self.state_machine.message_received(0.0, process, remaining.pop(0))

        self.actions.send = send

    async def test_takeover_without_predecessor_adopts_saved_drains_and_does_not_wait(self) -> None:
        self.channel.connect = AsyncMock(return_value=None)
        self.assertIsNone(await self.takeover.connect())
        self.assertEqual(self.manual_drain_file.adopt.call_count, 1)
        self.assertIsNone(await self.takeover.take_over())

    async def test_process_of_another_dispatcher_is_disconnected_and_its_socket_closed(self) -> None:
        self.listening_socket.getsockname.return_value = ("127.0.0.1", 18081)
        with self.assertLogs("crankfold.service.handover.takeover", "WARNING"):
            self.assertIsNone(await self.takeover.connect())
        self.channel.disconnect.assert_called_once_with(1)
        self.assertEqual(self.listening_socket.close.call_count, 1)
        self.assertIsNone(self.takeover.listening_socket)
        self.assertEqual(self.manual_drain_file.adopt.call_count, 1)

    async def test_grant_ends_wait(self) -> None:
        await self.takeover.connect()
        self.answer_requests(TakeoverGrant(None))
        self.assertIs(await self.takeover.take_over(), self.listening_socket)
        self.assertEqual(self.request_handler.backends.known_ids, {"a"})
        self.assertEqual(self.manual_drain_file.adopt.call_count, 0)

    async def test_takeover_reconnects_and_retries_after_refusal(self) -> None:
        await self.takeover.connect()
        self.answer_requests(TakeoverRefusal(), TakeoverGrant(None))
        with patch("crankfold.service.handover.takeover.TAKEOVER_RETRY_DELAY", 0.0):
            async with asyncio.timeout(5):
                self.assertIs(await self.takeover.take_over(), self.listening_socket)
        self.assertEqual(self.channel.connect.call_count, 2)
        self.assertEqual(self.state_machine.predecessor, 2)

    # Guards against ignoring the socket, the endpoint list and the load reports of the predecessor that is
    # found after another one has refused.
    async def test_takeover_adopts_state_of_second_predecessor_after_refusal(self) -> None:
        first_socket = self.listening_socket
        await self.takeover.connect()
        self.takeover.replay_reports()
        second_socket = Mock(spec=socket.socket)
        second_socket.getsockname.return_value = ADDRESS
        self.listening_socket = second_socket
        self.state = STATE._replace(endpoints={"rev": 0, "all": True, "targets": []}, load_reports={"a": []})
        self.answer_requests(TakeoverRefusal(), TakeoverGrant(None))
        endpoint_lists: list[Any] = []
        with patch("crankfold.service.handover.takeover.TAKEOVER_RETRY_DELAY", 0.0):
            async with asyncio.timeout(5):
                self.assertIs(await self.takeover.take_over(endpoint_lists.append), second_socket)
        self.assertEqual(first_socket.close.call_count, 1)
        self.assertEqual(second_socket.close.call_count, 0)
        self.assertEqual(endpoint_lists, [self.state.endpoints])
        self.assertEqual(self.request_handler.notify_routing.call_count, 1)  # the load report of backend `a`
        drained_endpoints = self.request_handler.backends.drained_endpoints.return_value
        self.request_handler.effective_endpoints_changed.assert_called_once_with(drained_endpoints)

    async def test_successor_serves_beside_predecessor_that_does_not_answer(self) -> None:
        await self.takeover.connect()
        self.answer_requests()
        with (
            patch("crankfold.service.handover.takeover.TAKEOVER_TIMEOUT", 0.01),
            self.assertLogs("crankfold.service.handover.takeover", "WARNING") as logged,
        ):
            self.assertIs(await self.takeover.take_over(), self.listening_socket)
        self.assertEqual(logged.records[0].getMessage(), "does not answer; serving beside it")
        self.assertEqual(logged.records[0].category, "predecessor")  # type: ignore[attr-defined]

    async def test_loss_of_predecessor_ends_wait(self) -> None:
        await self.takeover.connect()
        self.actions.send = lambda process, _message: self.state_machine.disconnected(0.0, process)
        self.assertIs(await self.takeover.take_over(), self.listening_socket)
