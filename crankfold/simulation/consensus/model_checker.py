"""A bounded model checker for a Raft group of three voters.

Explores all orders of messages, losses, timeouts, crashes and publishes up to a depth, from a state with a
leader. Each state is explored once.
"""

import pickle
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

import msgspec

from crankfold.consensus.log_entries import EntryKind
from crankfold.consensus.messages import LogEntry, Message
from crankfold.consensus.raft import Raft
from crankfold.consensus.raft_log import RaftLog
from crankfold.consensus.raft_state import PersistentState, Ready, Role
from crankfold.consensus.timing import Timing

TIMING = Timing(20_000)
VOTERS = ("v0", "v1", "v2")
MAX_READY_ROUNDS = 4  # each advance after a write may make another write ready
TIMEOUT_ADVANCE_FACTOR = 2  # election timeouts; after them, no voter refuses a vote because it has a leader
MAX_STATES = 1_000_000
NodeFactory = Callable[[str, PersistentState], Raft]


class MoveKind(StrEnum):
    """Kinds of moves from a state to the next."""

    DELIVER = "deliver"
    LOSE = "lose"
    TIME_OUT = "time out"  # the election timeout of a voter expires
    HEARTBEAT = "beat"  # the leader's heartbeat is due
    CRASH = "crash"  # a voter crashes and restarts from its storage
    PUBLISH = "publish"


class Move(NamedTuple):
    """A move, with the message or the voter that it affects."""

    kind: MoveKind
    target: int  # index in `in_flight` or of the voter

    def __str__(self) -> str:
        """Returns the form that reports show."""
        return f"{self.kind} {self.target}"


class SentMessage(NamedTuple):
    """A message in flight."""

    sender: str
    receiver: str
    message: Message


class EveryoneMayVote:
    """A voter registry of a group whose voters keep their storage: every voter may vote."""

    def may_vote(self, log: RaftLog, candidate_last_index: int, founding_member: bool) -> bool:  # noqa: ARG002 - a Protocol's signature
        """Returns True."""
        return True

    def folder_ids_of(self, names: set[str]) -> dict[str, str]:  # noqa: ARG002 - a Protocol's signature
        """Returns an empty map."""
        return {}


@dataclass(slots=True)
class ModelState:
    """A state of the group. Writes take no time: they complete before the messages of a move are sent."""

    nodes: list[Raft]
    persistent_states: list[PersistentState]
    moves_left: dict[MoveKind, int]  # remaining moves by kind; deliveries are not limited
    in_flight: list[SentMessage] = field(default_factory=list)
    committed: dict[int, LogEntry] = field(default_factory=dict)  # by log index
    leaders_by_term: dict[int, str] = field(default_factory=dict)
    now: int = 0  # ticks

    def possible_moves(self) -> Iterator[Move]:
        """Yields all moves from this state."""
        left = self.moves_left
        for index in range(len(self.in_flight)):
            yield Move(MoveKind.DELIVER, index)
            if left[MoveKind.LOSE]:
                yield Move(MoveKind.LOSE, index)
        for index, node in enumerate(self.nodes):
            is_leader = node.role == Role.LEADER
            if left[MoveKind.TIME_OUT] and not is_leader:
                yield Move(MoveKind.TIME_OUT, index)
            if left[MoveKind.HEARTBEAT] and is_leader:
                yield Move(MoveKind.HEARTBEAT, index)
            if left[MoveKind.CRASH]:
                yield Move(MoveKind.CRASH, index)
            if left[MoveKind.PUBLISH] and is_leader:
                yield Move(MoveKind.PUBLISH, index)

    def apply(self, move: Move, node_factory: NodeFactory) -> str:
        """Makes a move; returns a description of the invariant that it violates, or ""."""
        kind, index = move
        if kind in self.moves_left:
            self.moves_left[kind] -= 1
        if kind is MoveKind.LOSE:
            del self.in_flight[index]
            return ""
        if kind is MoveKind.DELIVER:
            sender, receiver, message = self.in_flight.pop(index)
            index = VOTERS.index(receiver)
            self.nodes[index].receive(self.now, sender, message)
        elif kind is MoveKind.CRASH:
            self._restart(index, node_factory)
        elif kind is MoveKind.PUBLISH:
            entry = {"n": self.moves_left[MoveKind.PUBLISH]}
            self.nodes[index].propose(self.now, EntryKind.PUBLISH, entry)
        else:
            self._advance_clock(kind, self.nodes[index])
        return self._persist_and_check(index)

    def _restart(self, index: int, node_factory: NodeFactory) -> None:
        """Restarts a voter from a copy of its storage, so that the two share no entries."""
        stored = msgspec.msgpack.encode(self.persistent_states[index])
        self.persistent_states[index] = msgspec.msgpack.decode(stored, type=PersistentState)
        loaded = msgspec.msgpack.decode(stored, type=PersistentState)
        self.nodes[index] = node_factory(VOTERS[index], loaded)

    def _advance_clock(self, kind: MoveKind, node: Raft) -> None:
        if kind is MoveKind.TIME_OUT:
            self.now += TIMEOUT_ADVANCE_FACTOR * TIMING.election_timeout
        node.election_timer.due_at = self.now
        node.heartbeat_due_at = self.now
        if kind is MoveKind.HEARTBEAT:
            node.broadcast_append(self.now)
        else:
            node.tick(self.now)

    def _persist_and_check(self, index: int) -> str:
        """Persists and sends the output of a voter; returns a description of a violated invariant, or ""."""
        node = self.nodes[index]
        for _ in range(MAX_READY_ROUNDS):
            ready = node.take_ready(self.now)
            _persist(self.persistent_states[index], ready)
            self.in_flight += [
                SentMessage(node.name, receiver, message)
                for receiver, message in node.take_immediate_messages() + ready.messages
            ]
            node.advance(self.now, ready)
        return self._violation(node)

    def _violation(self, node: Raft) -> str:
        if node.role == Role.LEADER:
            leader = self.leaders_by_term.setdefault(node.term, node.name)
            if leader != node.name:
                return f"{node.name} and {leader} lead in term {node.term}"
        for log_index, entry in enumerate(node.log.entries_between(0, node.commit_index), 1):
            if self.committed.setdefault(log_index, entry) != entry:
                return f"{node.name} committed another entry {log_index}"
        return ""

    def fingerprint(self) -> bytes:
        """Returns bytes that are equal for states with the same future behavior."""
        nodes = [
            (
                node.term,
                node.vote,
                node.role,
                node.leader,
                node.commit_index,
                node.log.durable_index,
                node.pre_vote,
                sorted(node.votes_granted),
                node.log.entries,
                sorted(node.progress.next_index.items()),
                sorted(node.progress.match_index.items()),
            )
            for node in self.nodes
        ]
        messages = sorted(msgspec.msgpack.encode(sent) for sent in self.in_flight)
        moves_left = sorted(self.moves_left.items())
        return msgspec.msgpack.encode((nodes, self.persistent_states, messages, moves_left))


def _persist(stored: PersistentState, ready: Ready) -> None:
    stored.term = ready.term
    stored.vote = ready.vote
    stored.founding_member = ready.founding_member
    if ready.entries:
        del stored.entries[ready.first_index - 1 :]
        stored.entries += ready.entries


def make_node(name: str, stored: PersistentState) -> Raft:
    """Creates a voter of the group from its storage."""
    return Raft(
        name,
        stored,
        dict.fromkeys(VOTERS, ""),
        timing=TIMING,
        now=0,
        seed=1,
        registry=EveryoneMayVote(),
    )


def initial_state(node_factory: NodeFactory, move_limits: Mapping[MoveKind, int]) -> ModelState:
    """Returns a state in which all voters follow the first one."""
    limited = [kind for kind in MoveKind if kind is not MoveKind.DELIVER]
    state = ModelState(
        nodes=[node_factory(name, PersistentState()) for name in VOTERS],
        persistent_states=[PersistentState() for _ in VOTERS],
        moves_left={kind: move_limits.get(kind, 0) for kind in limited},
    )
    state.moves_left[MoveKind.TIME_OUT] += 1
    state.apply(Move(MoveKind.TIME_OUT, 0), node_factory)
    while state.in_flight:
        state.apply(Move(MoveKind.DELIVER, 0), node_factory)
    return state


class Exploration(NamedTuple):
    """The number of states reached, and the first violation with the moves that led to it, or ""."""

    states: int
    violation: str


class Successor(NamedTuple):
    """A state one move after another, and the violation in it, or ""."""

    move: Move
    state: ModelState
    violation: str


class ReachedState(NamedTuple):
    """A state, and the moves that led to it."""

    state: ModelState
    path: tuple[Move, ...]


class _Search:
    """A breadth-first search that ends at the first violation or at `max_states`."""

    def __init__(self, node_factory: NodeFactory, max_states: int) -> None:
        self.fingerprints: set[bytes] = set()  # of the states reached
        self.violation = ""
        self.is_over = False
        self._node_factory = node_factory
        self._max_states = max_states

    def next_level(self, level: Sequence[ReachedState]) -> list[ReachedState]:
        """Returns the new states one move after those of `level`, up to the end of the search."""
        reached: list[ReachedState] = []
        for state, path in level:
            for successor in _successors(state, self._node_factory):
                moves = (*path, successor.move)
                if successor.violation:
                    names = ", ".join(str(move) for move in moves)
                    self.violation = f"{successor.violation}; after {names}"
                    self.is_over = True
                elif self._add(successor.state):
                    reached.append(ReachedState(successor.state, moves))
                if self.is_over:
                    return reached
        return reached

    def _add(self, state: ModelState) -> bool:
        """Adds a state to those reached; returns whether it is new."""
        count = len(self.fingerprints)
        self.fingerprints.add(state.fingerprint())
        self.is_over = len(self.fingerprints) >= self._max_states
        return len(self.fingerprints) > count


def _successors(state: ModelState, node_factory: NodeFactory) -> Iterator[Successor]:
    pickled = pickle.dumps(state)
    for move in state.possible_moves():
        after: ModelState = pickle.loads(pickled)
        violation = after.apply(move, node_factory)
        yield Successor(move, after, violation)


def explore(
    depth: int,
    move_limits: Mapping[MoveKind, int],
    max_states: int = MAX_STATES,
    node_factory: NodeFactory = make_node,
) -> Exploration:
    """Explores all states within `depth` moves of the initial one, up to the first violation.

    Args:
        depth: Moves.
        move_limits: The largest number of moves of each kind on a path.
        max_states: States after which the exploration ends.
        node_factory: Creates a voter; tests use voters with a fault.
    """
    search = _Search(node_factory, max_states)
    level = [ReachedState(initial_state(node_factory, move_limits), ())]
    for _ in range(depth):
        level = search.next_level(level)
        if search.is_over:
            break
    return Exploration(len(search.fingerprints), search.violation)
