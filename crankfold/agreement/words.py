"""What members of a fleet tell each other, and what is kept. Times are tenths of a millisecond.

No time of one machine's clock is ever compared with another's: a span goes from the asker's own clock to the
asker's own clock, the answer only says how long.
"""

from typing import Any

from msgspec import Struct, field


class Entry(Struct, array_like=True, frozen=True):
    """One step of the history."""

    term: int
    kind: str
    data: dict[str, Any]


class Kept(Struct, array_like=True, frozen=True):
    """All that went before the entries that a log still has."""

    index: int
    term: int
    voters: dict[str, str]  # by name, their addresses
    state: bytes


class Ballot(Struct, array_like=True, frozen=True, tag="b"):
    """Asks for a vote, or (`trial`) whether there would be one."""

    term: int
    last: int
    last_term: int
    trial: bool


class BallotAnswer(Struct, array_like=True, frozen=True, tag="B"):
    term: int
    trial: bool
    yes: bool


class Append(Struct, array_like=True, frozen=True, tag="a"):
    """Entries after `before`, or none: then it says that the leader is there."""

    term: int
    before: int
    before_term: int
    entries: list[Entry]
    commit: int
    round: int
    heard: int  # up to here all act that may act


class AppendAnswer(Struct, array_like=True, frozen=True, tag="A"):
    """`match`: up to where the logs agree; without `yes`, from where to try."""

    term: int
    yes: bool
    match: int
    round: int


class Install(Struct, array_like=True, frozen=True, tag="i"):
    term: int
    kept: Kept
    round: int


class Tell(Struct, array_like=True):
    """What somebody, or he and all that hold leases from him, have to say of machines out for work."""

    holds: dict[str, int] = field(default_factory=dict)  # machines that are out, and units still there
    unsure: dict[str, list[str]] = field(default_factory=dict)  # units that may go on there, nobody knows
    answers: dict[str, tuple[int, int]] = field(default_factory=dict)  # of machines that are back: all, bad
    lost: list[str] = field(default_factory=list)  # machines that his list does not call ready
    idle: list[str] = field(default_factory=list)  # dispatchers that were told to leave, and have
    zones: dict[str, str] = field(default_factory=dict)  # of dispatchers that were given one
    in_hand: int = 0
    taken: int = 0  # lately
    shed: int = 0

    def add(self, other: "Tell", alive: bool) -> None:
        """With one who is not heard any more only what he holds counts."""
        for uid, units in other.holds.items():
            self.holds[uid] = self.holds.get(uid, 0) + units
        if not alive:
            return
        for uid, idents in other.unsure.items():
            self.unsure.setdefault(uid, []).extend(idents[:5])
        for uid, (all_of, bad) in other.answers.items():
            before = self.answers.get(uid, (0, 0))
            self.answers[uid] = before[0] + all_of, before[1] + bad
        self.lost = sorted({*self.lost, *other.lost})
        self.idle = sorted({*self.idle, *other.idle})
        self.zones |= other.zones
        self.in_hand, self.taken, self.shed = (
            self.in_hand + other.in_hand, self.taken + other.taken, self.shed + other.shed)


class Ask(Struct, array_like=True, frozen=True, tag="l"):
    """A voter asks the leader for its lease. `asked` is the asker's own clock; `least` is up to where
    it and all that hold theirs from it act, `settled` up to where their units in hand keep to it too."""

    term: int
    incarnation: int
    asked: int
    least: int
    settled: int
    drained: int = 0  # up to where all heard, when they told what `tell` gathers
    tell: Tell | None = None


class Grant(Struct, array_like=True, frozen=True, tag="L"):
    """For whoever acts on all up to `need` by the time this reaches him."""

    term: int
    asked: int
    span: int  # from `asked` on; 0 for none
    need: int


class Follow(Struct, array_like=True, frozen=True, tag="f"):
    """A follower asks a voter for what is new and for its lease."""

    name: str
    incarnation: int
    asked: int
    have: int
    settled: int
    carry: dict[str, int]  # of each limit for the whole fleet, what is in hand and wanted
    tell: Tell | None = None  # only while there are works


class News(Struct, array_like=True, frozen=True, tag="F"):
    """`kept` where the follower was away for longer than the entries go back; entries follow `before`."""

    asked: int
    span: int
    before: int
    kept: Kept | None
    entries: list[Entry]
    at: int  # up to where the voter has applied the history
    heard: int  # up to here all act that may act


class Refused(Struct, array_like=True, frozen=True, tag="r"):
    why: str


class Publish(Struct, array_like=True, frozen=True, tag="p"):
    """What an operator asks for, passed on to the leader. The same `call` twice has one effect."""

    call: str
    kind: str
    data: dict[str, Any]


class Published(Struct, array_like=True, frozen=True, tag="P"):
    """What became of it; `index` is where in the history it stands."""

    call: str
    well: bool
    text: str
    number: int
    index: int


class Check(Struct, array_like=True, frozen=True, tag="c"):
    """Could you use this document?"""

    call: str
    doc: str
    text: dict[str, Any]


class Checked(Struct, array_like=True, frozen=True, tag="C"):
    call: str
    fault: str


class Goodbye(Struct, array_like=True, frozen=True, tag="g"):
    name: str
    incarnation: int


class Warded(Struct, array_like=True, frozen=True):
    name: str
    incarnation: int
    since: int  # there for so long
    have: int
    state: str
    carry: dict[str, int]


class Roster(Struct, array_like=True, frozen=True, tag="m"):
    """Who holds a lease from the sender, himself among them."""

    wards: list[Warded]


Message = (Ballot | BallotAnswer | Append | AppendAnswer | Install | Ask | Grant | Follow | News | Refused
           | Publish | Published | Check | Checked | Goodbye | Roster)


class Timing(Struct, frozen=True):
    """All from the stated time: how long two may act on rules that contradict each other."""

    stated: int

    @property
    def lease(self) -> int:
        return self.stated * 8 // 10

    @property
    def heartbeat(self) -> int:
        return self.stated * 4 // 100

    @property
    def election(self) -> int:
        """Least time without a leader before another stands; twice that at most."""
        return self.stated * 16 // 100

    @property
    def renew(self) -> int:
        return self.stated // 10

    @property
    def outlast(self) -> int:
        """After so long on one clock a lease is over on any other, both as much as 1% off."""
        return self.lease * 103 // 100
