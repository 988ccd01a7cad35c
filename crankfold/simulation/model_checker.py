"""All orders of messages, losses, timeouts and crashes of a small case of the agreement, to a stated depth.

Three voters, one of them leading, two publishes. States that were met before are not gone through again.
"""

import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import LogEntry, Message
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_log import RaftLog
from crankfold.consensus.raft_state import PersistentState, Role
from crankfold.consensus.timing import Timing

TIMING = Timing(20_000)
VOTERS = ("v0", "v1", "v2")
Move = tuple[str, int]


class EveryoneMayVote:
    """The registry of voters that never lose their storage."""

    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:  # noqa: ARG002 - a Protocol's signature
        """Always."""
        return True

    def folder_ids_of(self, names: set[str]) -> dict[str, str]:  # noqa: ARG002 - a Protocol's signature
        """None are known."""
        return {}


@dataclass(slots=True)
class ModelState:
    """One state. Disks are as fast as can be: what is taken is kept before anything is sent."""

    nodes: list[Raft]
    persistent_states: list[PersistentState]
    in_flight: list[tuple[str, str, Message]] = field(default_factory=list)
    moves_left: dict[str, int] = field(default_factory=dict)  # how often each kind of move may still come
    committed: dict[int, LogEntry] = field(default_factory=dict)
    leaders_by_term: dict[int, str] = field(default_factory=dict)
    now: int = 0

    def persist_and_check(self, at: int) -> str:
        """Keeps and sends what a voter wants, and looks whether all still holds; else says what does not."""
        node = self.nodes[at]
        for _ in range(4):  # to keep brings more to send
            batch = node.take_ready(self.now)
            stored = self.persistent_states[at]
            stored.term = batch.term
            stored.vote = batch.vote
            stored.founding_member = batch.founding_member
            if batch.entries:
                del stored.entries[batch.first_index - 1 :]
                stored.entries += batch.entries
            self.in_flight += [
                (node.name, to, message) for to, message in node.take_immediate_messages() + batch.messages
            ]
            node.advance(self.now, batch)
        if node.role == Role.LEADER and self.leaders_by_term.setdefault(node.term, node.name) != node.name:
            return f"{node.name} and {self.leaders_by_term[node.term]} lead in term {node.term}"
        for index, entry in enumerate(node.log.entries_between(0, node.commit_index), 1):
            if self.committed.setdefault(index, entry) != entry:
                return f"{node.name} agreed on another entry {index}"
        return ""

    def possible_moves(self) -> Iterator[Move]:
        left = self.moves_left
        for n in range(len(self.in_flight)):
            yield "deliver", n
            if left["lose"]:
                yield "lose", n
        for n, node in enumerate(self.nodes):
            if left["time out"] and node.role != Role.LEADER:
                yield "time out", n
            if left["beat"] and node.role == Role.LEADER:
                yield "beat", n
            if left["crash"]:
                yield "crash", n
            if left["publish"] and node.role == Role.LEADER:
                yield "publish", n

    def apply(self, move: Move, begin: Callable[[str, PersistentState], Raft]) -> str:
        what, n = move
        if what in self.moves_left:
            self.moves_left[what] -= 1
        if what in ("deliver", "lose"):
            sender, to, message = self.in_flight.pop(n)
            if what == "lose":
                return ""
            n = VOTERS.index(to)
            self.nodes[n].receive(self.now, sender, message)
        elif what in ("time out", "beat"):
            # So much later that no other voter is still protected by what it heard.
            self.now += 2 * TIMING.election_timeout if what == "time out" else 0
            node = self.nodes[n]
            node.election_due_at = node.heartbeat_due_at = self.now
            if what == "beat":
                node.broadcast_append(self.now)
            else:
                node.tick(self.now)
        elif what == "crash":
            kept = msgspec.msgpack.decode(
                msgspec.msgpack.encode(self.persistent_states[n]), type=PersistentState
            )
            self.persistent_states[n] = kept
            self.nodes[n] = begin(
                VOTERS[n], msgspec.msgpack.decode(msgspec.msgpack.encode(kept), type=PersistentState)
            )
        else:
            self.nodes[n].propose(self.now, EntryKind.PUBLISH, {"n": self.moves_left["publish"]})
        return self.persist_and_check(n)

    def fingerprint(self) -> bytes:
        nodes = [
            (
                r.term,
                r.vote,
                r.role,
                r.leader,
                r.commit_index,
                r.log.durable_index,
                r.pre_vote,
                sorted(r.votes_granted),
                r.log.entries,
                sorted(r.progress.next_index.items()),
                sorted(r.progress.match_index.items()),
            )
            for r in self.nodes
        ]
        ways = sorted(msgspec.msgpack.encode(one) for one in self.in_flight)
        return msgspec.msgpack.encode((nodes, self.persistent_states, ways, sorted(self.moves_left.items())))


def initial_state(begin: Callable[[str, PersistentState], Raft], left: dict[str, int]) -> ModelState:
    """v0 leads, and all know it."""
    world = ModelState(
        [begin(name, PersistentState()) for name in VOTERS],
        [PersistentState() for _ in VOTERS],
        moves_left={"lose": 0, "time out": 0, "beat": 0, "crash": 0, "publish": 0, **left},
    )
    world.moves_left["time out"] += 1
    world.apply(("time out", 0), begin)
    while world.in_flight:
        world.apply(("deliver", 0), begin)
    return world


def make_node(name: str, stored: PersistentState) -> Raft:
    return Raft(
        name,
        stored,
        {voter: "" for voter in VOTERS},
        timing=TIMING,
        now=0,
        seed=1,
        registry=EveryoneMayVote(),
    )


def explore(
    depth: int,
    move_limits: dict[str, int],
    max_states: int = 1_000_000,
    node_factory: Callable[[str, PersistentState], Raft] = make_node,
) -> tuple[int, str]:
    """How many states there were, and what did not hold in one with the moves that led there.

    `left` says how often at most each kind of move comes: lose, time out, beat, crash, publish.
    """
    level: list[tuple[ModelState, tuple[Move, ...]]] = [(initial_state(node_factory, move_limits), ())]
    met: set[bytes] = set()
    states = 0
    for _ in range(depth):
        following = []
        for world, path in level:
            whole = pickle.dumps(world)
            for move in world.possible_moves():
                after: ModelState = pickle.loads(whole)
                wrong = after.apply(move, node_factory)
                if wrong:
                    return states, f"{wrong}; after {', '.join(f'{w} {n}' for w, n in (*path, move))}"
                key = after.fingerprint()
                if key not in met:
                    met.add(key)
                    states += 1
                    following.append((after, (*path, move)))
                if states >= max_states:
                    return states, ""
        level = following
    return states, ""
