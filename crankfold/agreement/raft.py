"""One history of entries among voters: Raft, with pre-vote, check of the majority, snapshots and single
changes of the voters (Ongaro and Ousterhout 2014; Ongaro's dissertation, 4.1, 5, 6.4, 9.6).

It reads no clock and touches no disk. What it wants kept and sent is taken as a `Batch`: all of it has to
be on the disk before any of `send` leaves, and then `kept` is called. Only what is on the own disk counts
towards a majority. What claims nothing of the disk is taken by `take_early`.
"""

from collections.abc import Callable, Iterable
from typing import Any

from msgspec import Struct, field

from crankfold.agreement.words import (
    Append,
    AppendAnswer,
    Ballot,
    BallotAnswer,
    Entry,
    Install,
    Kept,
    Message,
    Timing,
)

MOST_SENT = 64  # entries in one message
FOLLOWING, STANDING, LEADING = "following", "standing", "leading"


class Batch(Struct):
    """In this order: `whole` replaces all, entries from `first` on replace what stood there."""

    term: int
    vote: str
    founded: bool = False
    turned: bool = False  # term or vote are new
    whole: Kept | None = None
    first: int = 0
    entries: list[Entry] = field(default_factory=list)
    send: list[tuple[str, Message]] = field(default_factory=list)

    def must_be_kept(self) -> bool:
        return self.turned or self.whole is not None or bool(self.entries)


class Stored(Struct):
    """What a voter's folder holds at its start."""

    term: int = 0
    vote: str = ""
    founded: bool = False  # took part in an election before there was any history
    kept: Kept = Kept(0, 0, {}, b"")
    entries: list[Entry] = field(default_factory=list)


def _any(last: int) -> bool:
    return True


def _none(names: set[str]) -> dict[str, str]:
    return {}


class Raft:
    def __init__(self, me: str, stored: Stored, voters: dict[str, str], timing: Timing, now: int,
                 seed: int) -> None:
        self.me, self.timing, self.luck = me, timing, seed & 0xFFFFFFFFFFFFFFFF
        self.term, self.vote, self.founded = stored.term, stored.vote, stored.founded
        self.base = stored.kept if stored.kept.index or stored.kept.voters else Kept(0, 0, voters, b"")
        self.entries = list(stored.entries)
        self.voters = self._voters()
        self.commit = self.base.index
        self.durable = self.last()
        self.role, self.leader = FOLLOWING, ""
        self.heard_at = now - timing.election * 2  # of a leader; nobody is protected at the start
        self.yes: set[str] = set()
        self.trial = False
        self.next: dict[str, int] = {}
        self.match: dict[str, int] = {}
        self.round, self.sent_at = 0, dict[int, int]()
        self.acked: dict[str, int] = {}
        self.led_since, self.first_of_term = 0, 0
        self.heard = 0  # up to here all act that may act, as far as is known here
        self.beat_at, self.election_at = now, 0
        self.batch = Batch(self.term, self.vote, self.founded)
        self.taken_at, self.disk = -1, 0  # when what is being kept was taken; how long that took of late
        self.turning = False  # the present term or vote is not on the disk yet
        self.early: list[tuple[str, Message]] = []  # what need not wait for the disk
        # Whether this voter may take part in an election of one whose log is so long; its folder may be new.
        self.may_vote: Callable[[int], bool] = _any
        self.folders_of: Callable[[set[str]], dict[str, str]] = _none
        self._rest(now)

    # --- the log ---

    def last(self) -> int:
        return self.base.index + len(self.entries)

    def term_at(self, index: int) -> int:
        """-1 where the log does not reach."""
        if index == self.base.index:
            return self.base.term
        if self.base.index < index <= self.last():
            return self.entries[index - self.base.index - 1].term
        return -1

    def between(self, after: int, upto: int) -> list[Entry]:
        return self.entries[max(after - self.base.index, 0):max(upto - self.base.index, 0)]

    def _voters(self) -> dict[str, str]:
        """By the newest change in the log, agreed or not."""
        for entry in reversed(self.entries):
            if entry.kind == "voters":
                return dict(entry.data["voters"])
        return self.base.voters

    def _write(self, first: int, entries: list[Entry]) -> None:
        """From index `first` on; what stood there is replaced."""
        at = first - self.base.index - 1
        changed = len(self.entries) > at or any(e.kind == "voters" for e in entries)
        del self.entries[at:]
        self.entries += entries
        self.durable = min(self.durable, first - 1)
        if changed:
            self.voters = self._voters()
        if self.batch.entries and first >= self.batch.first:
            del self.batch.entries[first - self.batch.first:]
            self.batch.entries += entries
        else:
            self.batch.first, self.batch.entries = first, list(entries)

    def compact(self, index: int, state: bytes) -> None:
        """What was applied up to `index` needs its entries no longer."""
        if index <= self.base.index:
            return
        # By what is agreed up to there, not by a change that may still be replaced.
        voters = self.base.voters
        for entry in self.between(self.base.index, index):
            if entry.kind == "voters":
                voters = dict(entry.data["voters"])
        kept = Kept(index, self.term_at(index), voters, state)
        del self.entries[:index - self.base.index]
        self._rest_on(kept)

    def _rest_on(self, kept: Kept) -> None:
        self.base, self.voters = kept, kept.voters
        self.voters = self._voters()
        self.batch.whole, self.batch.first, self.batch.entries = kept, kept.index + 1, list(self.entries)

    # --- time ---

    def _draw(self, below: int) -> int:
        self.luck = (self.luck * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF
        return ((self.luck >> 33) * below) >> 31

    def _rest(self, now: int) -> None:
        # A vote takes the candidate's disk and the voter's: elections shorter than these are never won.
        longer = min(2 * self.disk, 6 * self.timing.election) if not self.leader else 0
        self.election_at = now + longer + self.timing.election + self._draw(self.timing.election + longer)

    def next_at(self) -> int:
        return self.beat_at if self.role == LEADING else self.election_at

    def tick(self, now: int) -> None:
        if self.role == LEADING:
            if not self._in_touch(now):
                self._follow(now, self.term, "")  # who hears no majority must not be taken for the leader
            elif now >= self.beat_at:
                self._broadcast(now)
        elif now >= self.election_at and self.me in self.voters and self.taken_at < 0:
            if self.may_vote(self.last()):
                self._stand(now, True)
            else:
                self._rest(now)

    def _in_touch(self, now: int) -> bool:
        since = max(self.majority_at(), self.led_since)
        return now - since < 2 * self.timing.election

    def _reached(self, figure: Callable[[str], int]) -> int:
        """The most that a majority of the voters has got to."""
        figures = sorted(map(figure, self.voters), reverse=True)
        return figures[len(figures) // 2] if figures else 0

    def majority_at(self) -> int:
        """When the newest round was sent that a majority has answered; all that they say was said after."""
        least = self._reached(lambda v: self.round if v == self.me else self.acked.get(v, 0))
        return self.sent_at.get(least, -1) if least else -1

    # --- elections ---

    def _turn(self, term: int, vote: str) -> None:
        self.term, self.vote = term, vote
        self.founded = self.founded or bool(vote) and not self.last()
        self.batch.term, self.batch.vote, self.batch.turned = term, vote, True
        self.batch.founded = self.founded
        self.turning = True

    def _follow(self, now: int, term: int, leader: str) -> None:
        if term > self.term:
            self._turn(term, "")
        self.role, self.leader = FOLLOWING, leader
        self._rest(now)

    def _stand(self, now: int, trial: bool) -> None:
        """A trial first: one that a flapping link keeps cutting off must not raise the term of all others."""
        self.role, self.leader, self.trial, self.yes = STANDING, "", trial, {self.me}
        if not trial:
            self._turn(self.term + 1, self.me)
        self._rest(now)
        ask = Ballot(self.term + trial, self.last(), self.term_at(self.last()), trial)
        self._to_all(ask)
        self._counted(now)

    def _majority(self, names: Iterable[str]) -> bool:
        return 2 * len(set(names) & self.voters.keys()) > len(self.voters)

    def _counted(self, now: int) -> None:
        if self.role != STANDING or not self._majority(self.yes):
            return
        if self.trial:
            self._stand(now, False)
            return
        self.role, self.leader, self.led_since = LEADING, self.me, now
        self.next = {v: self.last() + 1 for v in self.voters}
        self.match, self.acked, self.sent_at, self.round = {}, {}, {}, 0
        self.first_of_term = self.last() + 1
        begin: dict[str, Any] = {"by": self.me}
        if self.first_of_term == 1:
            begin["folders"] = self.folders_of(self.yes)  # or those that made the first majority had no vote
        self._write(self.first_of_term, [Entry(self.term, "begin", begin)])
        self._broadcast(now)

    def _ballot(self, now: int, sender: str, ask: Ballot) -> None:
        mine = self.term_at(self.last()), self.last()
        fit = (ask.last_term, ask.last) >= mine and self.may_vote(ask.last)
        # Who hears a leader lets nobody else stand.
        led = self.role == LEADING or self.leader and now - self.heard_at < self.timing.election
        if ask.trial:
            self._say(sender, BallotAnswer(ask.term, True, fit and not led and ask.term > self.term))
            return
        if led and ask.term > self.term:
            return
        if ask.term > self.term:
            self._follow(now, ask.term, "")
        yes = ask.term == self.term and fit and self.vote in ("", sender)
        if yes:
            if not self.vote:
                self._turn(self.term, sender)
            self._rest(now)
        self._say(sender, BallotAnswer(self.term, False, yes))

    # --- replication ---

    def propose(self, now: int, kind: str, data: dict[str, Any]) -> int:
        """The index at which it will stand if it is agreed; 0 where not leading."""
        if self.role != LEADING:
            return 0
        self._write(self.last() + 1, [Entry(self.term, kind, data)])
        self._broadcast(now)
        return self.last()

    def change_voters(self, now: int, voters: dict[str, str]) -> str:
        """One added or taken out at a time, each agreed before the next; else why not."""
        if self.role != LEADING or self.commit < self.first_of_term:
            return "no leader with a majority here"
        if any(e.kind == "voters" for e in self.between(self.commit, self.last())):
            return "another change of the voters is under way"
        if len(set(voters) ^ set(self.voters)) > 1:
            return "one voter at a time"
        if not voters:
            return "nobody would be left"
        for new in voters.keys() - self.voters.keys():
            self.next[new] = self.last() + 1
        self.propose(now, "voters", {"voters": voters})
        return ""

    def _broadcast(self, now: int) -> None:
        self.round += 1
        self.sent_at[self.round] = now
        for old in [r for r in self.sent_at if r < self.round - 200]:
            del self.sent_at[old]
        self.beat_at = now + self.timing.heartbeat
        for voter in self.voters:
            if voter != self.me:
                self._send(voter)

    def _send(self, voter: str) -> None:
        first = self.next.setdefault(voter, self.last() + 1)
        if first <= self.base.index:
            self._say(voter, Install(self.term, self.base, self.round))
            return
        before = first - 1
        entries = self.between(before, before + MOST_SENT)
        self._say(voter, Append(self.term, before, self.term_at(before), entries, self.commit, self.round,
                                self.heard))

    def _append(self, now: int, sender: str, told: Append) -> None:
        if told.before < self.base.index:
            # Begins before what we keep whole: that part is agreed and the same.
            skip = self.base.index - told.before
            told = Append(told.term, self.base.index, self.base.term, told.entries[skip:], told.commit,
                          told.round, told.heard)
        if self.term_at(told.before) != told.before_term:
            back = min(self.last(), told.before - 1)
            wrong = self.term_at(back)
            while back > self.commit and self.term_at(back) == wrong and wrong > told.before_term:
                back -= 1
            self._say(sender, AppendAnswer(self.term, False, max(back, self.commit), told.round))
            return
        for n, entry in enumerate(told.entries):
            index = told.before + 1 + n
            if self.term_at(index) != entry.term:
                self._write(index, told.entries[n:])
                break
        match = told.before + len(told.entries)
        self.commit = max(self.commit, min(told.commit, match))
        self.heard = max(self.heard, told.heard)
        self._acknowledge(sender, match, told.round)

    def _install(self, sender: str, told: Install) -> None:
        if told.kept.index > self.commit:
            if self.term_at(told.kept.index) == told.kept.term:
                del self.entries[:told.kept.index - self.base.index]
            else:
                self.entries = []
            self._rest_on(told.kept)
            self.commit = told.kept.index
            self.durable = min(self.durable, self.last())
        self._acknowledge(sender, max(told.kept.index, self.commit), told.round)

    def _answered(self, now: int, sender: str, told: AppendAnswer) -> None:
        # An old leader's rounds have numbers too; its term differs, so they never come here.
        self.acked[sender] = max(self.acked.get(sender, 0), told.round)
        if not told.yes:
            self.next[sender] = max(min(told.match + 1, self.next.get(sender, 1) - 1), 1)
            self._send(sender)
            return
        self.match[sender] = max(self.match.get(sender, 0), told.match)
        before = self.next.get(sender, 1)
        self.next[sender] = max(before, self.match[sender] + 1)
        self._agree(now)
        if self.next[sender] <= self.last() and self.next[sender] > before:
            self._send(sender)

    def _agree(self, now: int) -> None:
        agreed = self._reached(lambda v: self.durable if v == self.me else self.match.get(v, 0))
        # Only an entry of the own term carries older ones with it (5.4.2 of the paper).
        if agreed > self.commit and self.term_at(agreed) == self.term:
            self.commit = agreed
            if self.me not in self.voters:
                self._follow(now, self.term, "")  # taken out, and that is agreed
            else:
                self._broadcast(now)  # others act on it as soon as they know

    # --- messages ---

    def _say(self, to: str, message: Message) -> None:
        """What claims something of the own disk waits for it; a leader's entries and all else do not."""
        votes = isinstance(message, Ballot | BallotAnswer) and not message.trial
        if votes or isinstance(message, AppendAnswer) and self.turning:
            self.batch.send.append((to, message))
        else:
            self.early.append((to, message))

    def _acknowledge(self, to: str, match: int, number: int) -> None:
        """At once for what is on the disk, so that a slow disk is not taken for a silent voter."""
        if match > self.durable and not self.turning:
            self.early.append((to, AppendAnswer(self.term, True, self.durable, number)))
            self.batch.send.append((to, AppendAnswer(self.term, True, match, number)))
        else:
            self._say(to, AppendAnswer(self.term, True, match, number))

    def _to_all(self, message: Message) -> None:
        for voter in self.voters:
            if voter != self.me:
                self._say(voter, message)

    def received(self, now: int, sender: str, told: Message) -> None:
        if isinstance(told, Ballot):
            self._ballot(now, sender, told)
            return
        if isinstance(told, BallotAnswer):
            if not told.trial and told.term > self.term:
                self._follow(now, told.term, "")
            elif (told.yes and self.role == STANDING and told.trial == self.trial
                    and told.term == self.term + self.trial):
                self.yes.add(sender)
                self._counted(now)
            return
        if not isinstance(told, Append | Install | AppendAnswer):
            return
        if told.term > self.term:
            self._follow(now, told.term, "")
        if isinstance(told, AppendAnswer):
            if self.role == LEADING and told.term == self.term:
                self._answered(now, sender, told)
            return
        if told.term < self.term:
            self._say(sender, AppendAnswer(self.term, False, self.commit, told.round))
            return
        self.role, self.leader, self.heard_at = FOLLOWING, sender, now
        self._rest(now)
        if isinstance(told, Append):
            self._append(now, sender, told)
        else:
            self._install(sender, told)

    # --- the disk ---

    def take(self, now: int) -> Batch:
        """What is to be kept and sent since the last call."""
        batch, self.batch = self.batch, Batch(self.term, self.vote, self.founded)
        if batch.must_be_kept():
            self.taken_at = now
        return batch

    def take_early(self) -> list[tuple[str, Message]]:
        """What may be sent at once, whatever the disk does."""
        early, self.early = self.early, []
        return early

    def kept(self, now: int, batch: Batch) -> None:
        """That is on the disk now. Entries that were replaced meanwhile are not counted."""
        if self.taken_at >= 0:
            self.disk = max(now - self.taken_at, self.disk * 3 // 4)
            self.taken_at = -1
            self.turning = self.batch.turned
            if self.role == STANDING:
                self._rest(now)  # only now does anybody hear of it
        if batch.entries:
            upto = batch.first + len(batch.entries) - 1
            while upto >= batch.first and self.term_at(upto) != batch.entries[upto - batch.first].term:
                upto -= 1
            if upto >= batch.first:
                self.durable = max(self.durable, min(upto, self.last()))
        if batch.whole and self.base.index >= batch.whole.index:
            self.durable = max(self.durable, min(batch.whole.index, self.last()))
        if self.role == LEADING:
            self._agree(now)
