"""All orders of messages, losses, timeouts and crashes of a small case of the agreement, to a stated depth.

Three voters, one of them leading, two publishes. States that were met before are not gone through again.
"""

import pickle
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

import msgspec

from crankfold.agreement.raft import LEADING, Raft, Stored
from crankfold.agreement.words import Entry, Message, Timing

TIMING = Timing(20_000)
NAMES = ("v0", "v1", "v2")
Move = tuple[str, int]


@dataclass(slots=True)
class Small:
    """One state. Disks are as fast as can be: what is taken is kept before anything is sent."""

    nodes: list[Raft]
    stored: list[Stored]
    on_the_way: list[tuple[str, str, Message]] = field(default_factory=list)
    left: dict[str, int] = field(default_factory=dict)  # how often each kind of move may still come
    agreed: dict[int, Entry] = field(default_factory=dict)
    leaders: dict[int, str] = field(default_factory=dict)
    now: int = 0

    def settle(self, at: int) -> str:
        """Keeps and sends what a voter wants, and looks whether all still holds; else says what does not."""
        node = self.nodes[at]
        for _ in range(4):  # to keep brings more to send
            batch = node.take(self.now)
            stored = self.stored[at]
            stored.term, stored.vote, stored.founded = batch.term, batch.vote, batch.founded
            if batch.entries:
                del stored.entries[batch.first - 1:]
                stored.entries += batch.entries
            self.on_the_way += [(node.me, to, message) for to, message in node.take_early() + batch.send]
            node.kept(self.now, batch)
        if node.role == LEADING and self.leaders.setdefault(node.term, node.me) != node.me:
            return f"{node.me} and {self.leaders[node.term]} lead in term {node.term}"
        for index, entry in enumerate(node.between(0, node.commit), 1):
            if self.agreed.setdefault(index, entry) != entry:
                return f"{node.me} agreed on another entry {index}"
        return ""

    def moves(self) -> Iterator[Move]:
        left = self.left
        for n in range(len(self.on_the_way)):
            yield "deliver", n
            if left["lose"]:
                yield "lose", n
        for n, node in enumerate(self.nodes):
            if left["time out"] and node.role != LEADING:
                yield "time out", n
            if left["beat"] and node.role == LEADING:
                yield "beat", n
            if left["crash"]:
                yield "crash", n
            if left["publish"] and node.role == LEADING:
                yield "publish", n

    def make(self, move: Move, begin: Callable[[str, Stored], Raft]) -> str:
        what, n = move
        if what in self.left:
            self.left[what] -= 1
        if what in ("deliver", "lose"):
            sender, to, message = self.on_the_way.pop(n)
            if what == "lose":
                return ""
            n = NAMES.index(to)
            self.nodes[n].received(self.now, sender, message)
        elif what in ("time out", "beat"):
            # So much later that no other voter is still protected by what it heard.
            self.now += 2 * TIMING.election if what == "time out" else 0
            node = self.nodes[n]
            node.election_at = node.beat_at = self.now
            if what == "beat":
                node._broadcast(self.now)
            else:
                node.tick(self.now)
        elif what == "crash":
            kept = msgspec.msgpack.decode(msgspec.msgpack.encode(self.stored[n]), type=Stored)
            self.stored[n] = kept
            self.nodes[n] = begin(NAMES[n], msgspec.msgpack.decode(msgspec.msgpack.encode(kept), type=Stored))
        else:
            self.nodes[n].propose(self.now, "publish", {"n": self.left["publish"]})
        return self.settle(n)

    def key(self) -> bytes:
        nodes = [(r.term, r.vote, r.role, r.leader, r.commit, r.durable, r.trial, sorted(r.yes), r.entries,
                  sorted(r.next.items()), sorted(r.match.items())) for r in self.nodes]
        ways = sorted(msgspec.msgpack.encode(one) for one in self.on_the_way)
        return msgspec.msgpack.encode((nodes, self.stored, ways, sorted(self.left.items())))


def start(begin: Callable[[str, Stored], Raft], left: dict[str, int]) -> Small:
    """v0 leads, and all know it."""
    world = Small([begin(name, Stored()) for name in NAMES], [Stored() for _ in NAMES],
                  left={"lose": 0, "time out": 0, "beat": 0, "crash": 0, "publish": 0, **left})
    world.left["time out"] += 1
    world.make(("time out", 0), begin)
    while world.on_the_way:
        world.make(("deliver", 0), begin)
    return world


def begin(name: str, stored: Stored) -> Raft:
    return Raft(name, stored, {voter: "" for voter in NAMES}, TIMING, 0, 1)


def search(depth: int, left: dict[str, int], most: int = 1_000_000,
           begin: Callable[[str, Stored], Raft] = begin) -> tuple[int, str]:
    """How many states there were, and what did not hold in one with the moves that led there.

    `left` says how often at most each kind of move comes: lose, time out, beat, crash, publish.
    """
    level: list[tuple[Small, tuple[Move, ...]]] = [(start(begin, left), ())]
    met: set[bytes] = set()
    states = 0
    for _ in range(depth):
        following = []
        for world, path in level:
            whole = pickle.dumps(world)
            for move in world.moves():
                after: Small = pickle.loads(whole)
                wrong = after.make(move, begin)
                if wrong:
                    return states, f"{wrong}; after {', '.join(f'{w} {n}' for w, n in (*path, move))}"
                key = after.key()
                if key not in met:
                    met.add(key)
                    states += 1
                    following.append((after, (*path, move)))
                if states >= most:
                    return states, ""
        level = following
    return states, ""
