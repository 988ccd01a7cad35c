"""Cluster nodes on loopback sockets and real storage: agreement, replacement, failures."""

import asyncio
import errno
import socket
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

from crankfold.cluster.config import ClusterConfig
from crankfold.cluster.framing import PROTOCOL_VERSION, Hello, encode_frame
from crankfold.cluster.node import ClusterNode
from crankfold.cluster.raft_storage import RaftStorage
from crankfold.consensus.messages import Rejection
from crankfold.document_names import SETTINGS
from crankfold.fault_injection.http_client import HOST, find_free_port
from crankfold.network.metrics import Metrics
from crankfold.simulation.consensus.cluster import IdleHost, settings_document
from tests.loopback import LoopbackTestCase

VOTERS = ("n0", "n1", "n2")


class IdleDispatcher(IdleHost):
    """A dispatcher without requests, which tells what changed."""

    def __init__(self, changed: Callable[[set[str]], None]) -> None:
        self.documents_changed = changed

    def propose_transitions(self, now: int) -> list[dict[str, Any]]:  # noqa: ARG002 - as the base names it
        return []


class ClusterScene(LoopbackTestCase):
    """Nodes of one cluster, each with a folder of its own."""

    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        # A port that the system chose may, once it is closed, be given to another process, or a second time.
        self.ports = {name: find_free_port() for name in (*VOTERS, "n3")}
        self.nodes: dict[str, ClusterNode] = {}

    async def asyncTearDown(self) -> None:
        for node in self.nodes.values():
            await node.close()

    async def start(
        self,
        name: str,
        voters: tuple[str, ...] = VOTERS,
        folder: str = "",
        changed: Callable[[set[str]], None] = lambda _docs: None,
        key: str = "",
    ) -> ClusterNode:
        config = ClusterConfig(
            name,
            {voter: f"{HOST}:{self.ports[voter]}" for voter in voters},
            storage_folder=str(self.folder / (folder or name)),
            staleness_bound=1.0,
            is_successor=bool(key),
        )
        node = ClusterNode(
            config,
            metrics=Metrics(),
            dispatcher=IdleDispatcher(changed),
            initial_settings=settings_document("safe"),
        )
        await node.open()
        self.nodes[key or name] = node
        return node

    async def publish(self, node: ClusterNode, call: str, made_from: int, **more: Any) -> Any:
        data = {"doc": SETTINGS, "made_from": made_from, "author": "", "reason": "", "at": 0}
        return await node.propose(
            "publish", {**data, "text": settings_document("unsafe"), **more}, call, 30.0
        )

    def acts(self, *names: str) -> bool:
        return all(not self.nodes[name].inactive_reason() for name in names)


class ClusterNodeTest(ClusterScene):
    async def test_three_voters_and_a_follower_agree_and_a_voter_is_replaced(self) -> None:
        for name in VOTERS:
            await self.start(name)
        follower = await self.start("f")
        await self.until(lambda: self.acts(*VOTERS, "f"))
        response = await self.publish(follower, "a", 1)
        self.assertEqual((response.accepted, response.version_number), (True, 2))
        self.assertEqual(await self.publish(follower, "a", 1), response)
        index = await follower.wait_until_active(SETTINGS, 2, 30.0)
        self.assertTrue(index and await follower.wait_until_cluster_applied(index, 30.0))
        self.assertTrue(
            all(
                node.consensus.documents.document(SETTINGS).active_number == 2 for node in self.nodes.values()
            )
        )
        # A voter dies for good, and another comes in its place, one step at a time.
        failed = next(name for name in VOTERS if self.nodes[name].status()["leader"] != name)
        await self.nodes.pop(failed).close()
        remaining = next(node for name, node in self.nodes.items() if name in VOTERS)
        fewer = {name: f"{HOST}:{self.ports[name]}" for name in VOTERS if name != failed}
        self.assertTrue((await remaining.propose("voters", {"voters": fewer}, "b", 30.0)).accepted)
        more = {**fewer, "n3": f"{HOST}:{self.ports['n3']}"}
        await self.until(lambda: remaining.status()["voters"] == fewer)
        for _ in range(50):  # the change before may not be committed yet
            response = await remaining.propose("voters", {"voters": more}, "c", 30.0)
            if response.accepted:
                break
            await asyncio.sleep(0.02)
        self.assertEqual(response.reason, "")
        await self.start("n3", tuple(more))
        await self.until(lambda: self.acts("n3", "f"))
        self.assertEqual(self.nodes["n3"].consensus.documents.version_numbers(), {SETTINGS: (2, 2)})

    async def test_a_voter_that_lost_its_folder_has_no_vote_under_its_old_name(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        await self.until(lambda: len(self.nodes["n0"].consensus.documents.replicated.voter_folder_ids) == 3)
        await self.nodes.pop("n2").close()
        await self.nodes.pop("n1").close()
        await self.start("n1", folder="elsewhere")
        await asyncio.sleep(1.2)
        self.assertFalse(self.acts("n0"))  # with the old n2 it would be a majority, with this one it is none
        self.assertFalse(self.acts("n1"))
        await self.start("n2")
        await self.until(lambda: self.acts("n0", "n2"))
        self.assertFalse(self.acts("n1"))

    async def test_a_successor_is_a_follower_until_the_voter_has_ended(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        successor = await self.start("n1", key="successor")
        await self.until(lambda: self.acts("successor"))
        self.assertRegex(successor.consensus.name, r"n1\+")
        response = await self.publish(successor, "a", 1)
        self.assertTrue(response.accepted)
        await self.until(lambda: successor.consensus.documents.document(SETTINGS).latest_number() == 2)
        await self.nodes.pop("n1").close()
        without_lease = 0
        while successor.consensus.name != "n1":
            without_lease += not successor.has_lease()
            await asyncio.sleep(0.005)
        self.assertEqual(without_lease, 0)  # it acted all the while
        await self.until(lambda: self.acts("successor"))
        self.assertEqual(successor.consensus.documents.document(SETTINGS).latest_number(), 2)

    # Guards against a voter that holds its folder and address after its node has closed.
    async def test_a_node_that_closes_also_closes_the_voter_that_it_has_opened(self) -> None:
        with patch.object(ClusterNode, "_is_ready", return_value=False):
            successor = await self.start("n1", key="successor")
            await self.until((self.folder / "n1" / "history").exists)
            await asyncio.sleep(0.05)
            await self.nodes.pop("successor").close()
        self.assertRegex(successor.consensus.name, r"n1\+")
        RaftStorage(self.folder / "n1", "n1").close()
        with socket.create_server((HOST, self.ports["n1"])):
            pass

    async def test_invalid_bytes_end_their_connection_and_nothing_else(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        for invalid in (
            b"GET / HTTP/1.1\r\n\r\n",
            encode_frame(Hello(PROTOCOL_VERSION + 1, "x", 1, "")),
            encode_frame(Rejection("x")),
            encode_frame(Hello(PROTOCOL_VERSION, "x", 1, "")) * 2,
            b"\xff" * 100,
        ):
            reader, writer = await asyncio.open_connection(HOST, self.ports["n0"])
            writer.write(invalid)
            async with asyncio.timeout(5):
                while await reader.read(1000):
                    pass
            writer.close()
        self.assertTrue(self.acts(*VOTERS))

    async def test_a_storage_failure_disables_the_voter_alone_until_its_folder_works(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        failing = self.nodes["n1"]
        full = OSError(errno.ENOSPC, "No space left on device")
        voter = failing.member
        with patch.object(voter.storage, "save", side_effect=full):
            response = await self.publish(self.nodes["n0"], "a", 1)
            await self.until(lambda: bool(voter.disabled_reason))
        self.assertTrue(response.accepted)  # the others are a majority
        self.assertFalse(voter.has_lease())
        self.assertIn("No space left", voter.inactive_reason())
        await self.until(lambda: failing.member is not voter and failing.consensus.name == "n1")
        await self.until(lambda: self.acts(*VOTERS))

    async def test_an_isolated_follower_acts_on_nothing_and_says_why(self) -> None:
        changes: list[set[str]] = []
        node = await self.start("f", changed=changes.append)
        self.assertEqual(
            (node.has_lease(), node.inactive_reason()), (False, "nothing heard of the fleet yet")
        )
        response = await node.propose("publish", {}, "x", 0.1)
        self.assertEqual((response.accepted, response.version_number), (False, 0))
        self.assertEqual(changes, [])


class ImportTest(unittest.TestCase):
    def test_no_optional_package_is_imported_without_peers(self) -> None:
        script = (
            "import crankfold.cli.main, sys; print([name for name in sys.modules "
            "if name.split('.')[-1] == 'replicated_config' "
            "or name.startswith(('crankfold.cluster', 'crankfold.consensus', 'crankfold.maintenance', "
            "'crankfold.fault_injection'))])"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parents[2],
        )
        self.assertEqual(done.stdout.strip(), "[]")
