"""Members on sockets and disk: hostile bytes, torn and damaged folders, voters replaced."""

import asyncio
import errno
import socket
import subprocess
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any
from unittest.mock import patch

from crankfold.cluster.config import ClusterConfig, read_cluster_config
from crankfold.cluster.framing import (
    MAX_FRAME_SIZE,
    PROTOCOL_VERSION,
    FrameDecoder,
    Hello,
    ProtocolError,
    encode_frame,
)
from crankfold.cluster.node import ClusterNode
from crankfold.cluster.raft_storage import RECORD_HEADER_SIZE, RaftStorage, StorageError
from crankfold.consensus.conservative_merge import SETTINGS
from crankfold.consensus.messages import LogEntry, Message, ProposalRequest, Rejection, Snapshot
from crankfold.consensus.raft_state import Ready
from crankfold.network.metrics import Metrics
from crankfold.simulation.consensus_cluster import IdleHost, settings_document
from tests.loopback import Loopback
from tests.scene import Kept as Traces

VOTERS = ("n0", "n1", "n2")


def entry(n: int) -> LogEntry:
    return LogEntry(1, "publish", {"n": n})


class Framing(Traces):
    def test_frames_cut_at_every_byte(self) -> None:
        told: list[Message | Hello] = [
            Hello(PROTOCOL_VERSION, "n", 3, ""),
            ProposalRequest("c", "k", {"a": 1}),
            Rejection("no"),
        ]
        whole = b"".join(encode_frame(one) for one in told)
        for cut in range(len(whole)):
            frames = FrameDecoder()
            self.assertEqual(frames.feed(whole[:cut]) + frames.feed(whole[cut:]), told)

    def test_what_can_not_be_read_is_garbled(self) -> None:
        for bad in (
            (MAX_FRAME_SIZE + 1).to_bytes(4, "big"),
            b"\0\0\0\1\xc1",
            b"\0\0\0\0",
            b"\0\0\0\2\x91\xa1",
            b"GET / HTTP/1.1\r\n\r\n",
            (5000).to_bytes(4, "big") + b"\x91" * 5000,
        ):
            with self.assertRaises(ProtocolError, msg=bad[:20]):
                FrameDecoder().feed(bad)


class OnDisk(Traces):
    def setUp(self) -> None:
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))

    def fill(self) -> bytes:
        store = RaftStorage(self.folder, "n0")
        store.save(Ready(1, "n0", True, True, None, 1, [entry(1), entry(2)]))
        store.save(Ready(2, "", True, True))
        store.save(Ready(2, "", True, False, None, 2, [entry(22), entry(3)]))
        store.close()
        return (self.folder / "history").read_bytes()

    def opened(self) -> RaftStorage:
        store = RaftStorage(self.folder, "n0")
        self.addCleanup(store.close)
        return store

    def test_what_was_written_is_read(self) -> None:
        self.fill()
        stored = self.opened().persistent_state
        self.assertEqual((stored.term, stored.vote, stored.founding_member), (2, "", True))
        self.assertEqual(stored.entries, [entry(1), entry(22), entry(3)])

    def test_a_tail_torn_at_any_byte_is_cut_off_and_what_was_before_stays(self) -> None:
        data = self.fill()
        records, at = [], 0
        while at < len(data):
            records.append(at)
            at += RECORD_HEADER_SIZE + int.from_bytes(data[at : at + 4], "big")
        for cut in range(records[-1] + 1, len(data)):
            for tail in (b"", b"\0" * 40):  # also where room was made and never filled
                (self.folder / "history").write_bytes(data[:cut] + tail)
                store = RaftStorage(self.folder, "n0")
                store.close()
                self.assertEqual(store.persistent_state.entries, [entry(1), entry(2)], f"{cut}, {len(tail)}")
                self.assertIn("torn tail", store.startup_notice)
                self.assertEqual((self.folder / "history").read_bytes(), data[: records[-1]])

    def test_damage_before_the_tail_is_refused_and_nothing_is_changed(self) -> None:
        data = bytearray(self.fill())
        data[RECORD_HEADER_SIZE + 3] ^= 1
        (self.folder / "history").write_bytes(data)
        with self.assertRaisesRegex(StorageError, "damaged at byte 0 .* add it anew"):
            RaftStorage(self.folder, "n0")
        self.assertEqual((self.folder / "history").read_bytes(), data)

    def test_a_folder_of_another_or_in_use_or_without_its_identity(self) -> None:
        self.fill()
        with self.assertRaisesRegex(StorageError, "the folder of 'n0', not of 'n1'"):
            RaftStorage(self.folder, "n1")
        self.opened()
        with self.assertRaisesRegex(StorageError, "another process uses it"):
            RaftStorage(self.folder, "n0")
        self.doCleanups()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.fill()
        (self.folder / "identity").unlink()
        with self.assertRaisesRegex(StorageError, "missing, though there is a history"):
            RaftStorage(self.folder, "n0")

    def test_a_snapshot_replaces_all_or_nothing(self) -> None:
        before = self.fill()
        store = self.opened()
        whole = Ready(3, "n1", True, True, Snapshot(3, 2, {"n0": ""}, b"state"), 4, [entry(4)])
        with patch("os.replace", side_effect=OSError(errno.ENOSPC, "full")), self.assertRaises(OSError):
            store.save(whole)
        self.assertEqual((self.folder / "history").read_bytes(), before)
        store.save(whole)
        store.save(Ready(3, "n1", True, False, None, 5, [entry(5)]))
        store.close()
        again = RaftStorage(self.folder, "n0")
        self.assertEqual(
            (again.persistent_state.snapshot.state, again.persistent_state.entries),
            (b"state", [entry(4), entry(5)]),
        )
        again.close()


class Configured(Traces):
    def test_what_is_wrong_is_said_with_its_field(self) -> None:
        voters = {name: "127.0.0.1:1" for name in VOTERS}
        for given in (
            {},
            {"name": "n0", "voters": voters},
            {"name": "f", "voters": {"a": "b"}},
            {"name": "f", "voters": {**voters, "n2": "nowhere"}},
            {"name": "f", "voters": voters, "stated-time": 0.2},
            {"name": "f", "voters": voters, "when-cut-off": "pray"},
            {"name": "f", "voters": voters, "adress": "x"},
        ):
            with self.assertRaises(ValueError) as wrong:
                read_cluster_config(given)
            self.say(str(wrong.exception))
        self.close("peers-configured")


class IdleDispatcher(IdleHost):
    """A dispatcher without requests, which tells what changed."""

    def __init__(self, changed: Callable[[set[str]], None]) -> None:
        self.documents_changed = changed

    def propose_transitions(self, now: int) -> list[dict[str, Any]]:
        return []


class Together(Loopback):
    async def asyncSetUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.ports = {}
        for name in (*VOTERS, "n3"):
            with socket.create_server(("127.0.0.1", 0)) as free:
                self.ports[name] = free.getsockname()[1]
        self.peers: dict[str, ClusterNode] = {}

    async def asyncTearDown(self) -> None:
        for peer in self.peers.values():
            await peer.close()

    async def start(
        self,
        name: str,
        voters: tuple[str, ...] = VOTERS,
        folder: str = "",
        changed: Callable[[set[str]], None] = lambda docs: None,
        key: str = "",
    ) -> ClusterNode:
        given = ClusterConfig(
            name,
            {voter: f"127.0.0.1:{self.ports[voter]}" for voter in voters},
            storage_folder=str(self.folder / (folder or name)),
            staleness_bound=1.0,
            is_successor=bool(key),
        )
        peer = ClusterNode(
            given,
            metrics=Metrics(),
            dispatcher=IdleDispatcher(changed),
            initial_settings=settings_document("safe"),
        )
        await peer.open()
        self.peers[key or name] = peer
        return peer

    async def publish(self, at: ClusterNode, call: str, made_from: int, **more: Any) -> Any:
        data = {"doc": SETTINGS, "made_from": made_from, "author": "", "reason": "", "at": 0}
        return await at.propose("publish", {**data, "text": settings_document("unsafe"), **more}, call, 30.0)

    def acts(self, *names: str) -> bool:
        return all(not self.peers[name].inactive_reason() for name in names)

    async def test_three_and_a_follower_agree_and_a_voter_is_replaced(self) -> None:
        for name in VOTERS:
            await self.start(name)
        follower = await self.start("f")
        await self.until(lambda: self.acts(*VOTERS, "f"))
        made = await self.publish(follower, "a", 1)
        self.assertEqual((made.accepted, made.version_number), (True, 2))
        self.assertEqual(await self.publish(follower, "a", 1), made)
        index = await follower.wait_until_active(SETTINGS, 2, 30.0)
        self.assertTrue(index and await follower.wait_until_cluster_applied(index, 30.0))
        self.assertTrue(
            all(
                peer.consensus.documents.document(SETTINGS).active_number == 2 for peer in self.peers.values()
            )
        )
        # A voter dies for good, and another comes in its place, one step at a time.
        lost = next(name for name in VOTERS if self.peers[name].status()["leader"] != name)
        await self.peers.pop(lost).close()
        rest = next(peer for name, peer in self.peers.items() if name in VOTERS)
        fewer = {name: f"127.0.0.1:{self.ports[name]}" for name in VOTERS if name != lost}
        self.assertTrue((await rest.propose("voters", {"voters": fewer}, "b", 30.0)).accepted)
        more = {**fewer, "n3": f"127.0.0.1:{self.ports['n3']}"}
        await self.until(lambda: rest.status()["voters"] == fewer)
        for _ in range(50):  # the change before may not be agreed yet
            made = await rest.propose("voters", {"voters": more}, "c", 30.0)
            if made.accepted:
                break
            await asyncio.sleep(0.02)
        self.assertEqual(made.reason, "")
        await self.start("n3", tuple(more))
        await self.until(lambda: self.acts("n3", "f"))
        self.assertEqual(self.peers["n3"].consensus.documents.version_numbers(), {SETTINGS: (2, 2)})

    async def test_a_voter_that_lost_its_folder_has_no_vote_under_its_old_name(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        await self.until(lambda: len(self.peers["n0"].consensus.documents.replicated.voter_folder_ids) == 3)
        await self.peers.pop("n2").close()
        await self.peers.pop("n1").close()
        await self.start("n1", folder="elsewhere")
        await asyncio.sleep(1.2)
        self.assertFalse(self.acts("n0"))  # with the old n2 it would be a majority, with this one it is none
        self.assertFalse(self.acts("n1"))
        await self.start("n2")
        await self.until(lambda: self.acts("n0", "n2"))
        self.assertFalse(self.acts("n1"))

    async def test_a_successor_follows_first_and_takes_the_seat_once_it_is_free(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        new = await self.start("n1", key="new")
        await self.until(lambda: self.acts("new"))
        self.assertRegex(new.consensus.name, r"n1\+")
        made = await self.publish(new, "a", 1)
        self.assertTrue(made.accepted)
        await self.until(lambda: new.consensus.documents.document(SETTINGS).latest_number() == 2)
        await self.peers.pop("n1").close()
        lost = 0
        while new.consensus.name != "n1":
            lost += not new.has_lease()
            await asyncio.sleep(0.005)
        self.assertEqual(lost, 0)  # it acted all the while
        await self.until(lambda: self.acts("new"))
        self.assertEqual(new.consensus.documents.document(SETTINGS).latest_number(), 2)

    async def test_garbage_ends_its_connection_and_nothing_else(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        for bad in (
            b"GET / HTTP/1.1\r\n\r\n",
            encode_frame(Hello(PROTOCOL_VERSION + 1, "x", 1, "")),
            encode_frame(Rejection("x")),
            encode_frame(Hello(PROTOCOL_VERSION, "x", 1, "")) * 2,
            b"\xff" * 100,
        ):
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["n0"])
            writer.write(bad)
            async with asyncio.timeout(5):
                while await reader.read(1000):
                    pass
            writer.close()
        self.assertTrue(self.acts(*VOTERS))

    async def test_a_disk_that_fails_makes_a_voter_step_aside(self) -> None:
        for name in VOTERS:
            await self.start(name)
        await self.until(lambda: self.acts(*VOTERS))
        victim = self.peers["n1"]
        full = OSError(errno.ENOSPC, "No space left on device")
        with patch.object(victim.member.storage, "save", side_effect=full):
            made = await self.publish(self.peers["n0"], "a", 1)
            await self.until(lambda: bool(victim.member.disabled_reason))
        self.assertTrue(made.accepted)  # the others are a majority
        self.assertFalse(victim.has_lease())
        self.assertIn("No space left", victim.inactive_reason())

    async def test_alone_it_acts_on_nothing_and_says_why(self) -> None:
        heard: list[set[str]] = []
        peer = await self.start("f", changed=heard.append)
        self.assertEqual(
            (peer.has_lease(), peer.inactive_reason()), (False, "nothing heard of the fleet yet")
        )
        made = await peer.propose("publish", {}, "x", 0.1)
        self.assertEqual((made.accepted, made.version_number), (False, 0))
        self.assertEqual(heard, [])


class Off(Traces):
    def test_nothing_of_it_is_imported_without_peers(self) -> None:
        script = (
            "import crankfold.cli.main, sys; print([m for m in sys.modules "
            "if m.split('.')[-1] == 'replicated_config' "
            "or m.startswith(('crankfold.cluster', 'crankfold.consensus', 'crankfold.maintenance', "
            "'crankfold.fault_injection'))])"
        )
        done = subprocess.run(
            [sys.executable, "-c", script],
            capture_output=True,
            text=True,
            check=True,
            cwd=Path(__file__).parents[1],
        )
        self.assertEqual(done.stdout.strip(), "[]")
