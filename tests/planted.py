"""Members and fleets with one fault each, which the checks of the emulated fleet must find."""

from collections.abc import Callable
from random import Random
from typing import Any

from msgspec.structs import replace

from crankfold.agreement.member import Follower, Voter
from crankfold.agreement.words import Ballot, Grant, Message, News
from crankfold.emulator.accord import Case, Fleet, Trouble, schedule


class AnswersBeforeTheDisk(Fleet):
    sends_first = True


class ForgetsVotes(Fleet):
    forgets_votes = True


class VotesTwice(Voter):
    def received(self, now: int, sender: str, told: Message) -> None:
        if isinstance(told, Ballot) and not told.trial and told.term == self.raft.term:
            self.raft.vote = ""
        super().received(now, sender, told)


class LeaseFromTheAnswer(Voter):
    def _granted(self, now: int, sender: str, grant: Grant) -> None:
        super()._granted(now, sender, Grant(grant.term, now, grant.span, grant.need))


class FollowerLeaseFromTheAnswer(Follower):
    def _news(self, now: int, sender: str, told: News) -> None:
        super()._news(now, sender, replace(told, asked=now) if told.span else told)


class OneUnheard(Voter):
    def least(self, now: int) -> tuple[int, int]:
        return self.applied, self.settled_at(self.applied)


class LeaderOneUnheard(Voter):
    """Does not wait for a voter that it has not heard of since it leads."""

    def _count(self, now: int) -> None:
        self.granted.pop(min(self.raft.voters), None)
        super()._count(now)


class OldRead(Voter):
    """Takes a lease for more than it has heard of."""

    def _granted(self, now: int, sender: str, grant: Grant) -> None:
        super()._granted(now, sender, Grant(grant.term, max(grant.asked, self.born), grant.span, 0))


class VotesWithoutItsFolder(Voter):
    def _may_vote(self, last: int) -> bool:
        return True

    def admits(self, voter: str, folder: str) -> str:
        self.folders[voter] = folder
        return ""


class NewLeaderDoesNotWait(Voter):
    def _count(self, now: int) -> None:
        self.raft.led_since, since = self.raft.led_since - 2 * self.timing.outlast, self.raft.led_since
        super()._count(now)
        self.raft.led_since = since


class SharesTwice(Voter):
    """Deals out again what units in hand still hold."""

    def least(self, now: int) -> tuple[int, int]:
        least, _ = super().least(now)
        return least, least


class FollowerSharesTwice(Follower):
    def _ask(self, now: int) -> None:
        self.settled_at = lambda applied: applied
        super()._ask(now)


def restless(seed: int) -> Case:
    """Voters die often and are back at once, with disks that take a while and messages that overtake."""
    luck = Random(f"restless {seed}")
    troubles = [Trouble("delay", 0, 100_000, much=luck.choice((200, 1000)))]
    for voter in ("v0", "v1", "v2"):
        troubles += [Trouble("disk", at, at + luck.choice((400, 2500)), voter)
                     for at in range(luck.randrange(6000), 100_000, 5500)]
        at = luck.randrange(6000, 14_000)
        while at < 100_000:
            down = luck.choice((2, 20, 2000))
            troubles.append(Trouble("kill", at, at + down, voter))
            at += down + luck.randrange(1500, 9000)
    return Case(followers=0, seed=seed, publish_every=0.15, load=False, troubles=tuple(troubles))


def elections(seed: int) -> Case:
    """All start together, again and again, and messages take a part of an election's time."""
    luck = Random(f"elections {seed}")
    troubles = [Trouble("delay", 0, 100_000, much=1500)]
    for at in range(9000, 100_000, 9000):
        troubles += [Trouble("kill", at, at + 500 + luck.randrange(20), voter)
                     for voter in ("v0", "v1", "v2")]
        # Who has voted dies and is back at once.
        back = at + 500 + luck.randrange(3000, 6000)
        troubles.append(Trouble("kill", back, back + 2, luck.choice(("v0", "v1", "v2"))))
    return Case(followers=0, seconds=12.0, seed=seed, publish_every=0.3, load=False, troubles=tuple(troubles))


def wiped(seed: int) -> Case:
    """One is behind, another loses its folder, and the third dies: the two left know less than was agreed."""
    luck = Random(f"wiped {seed}")
    behind, lost, gone = luck.sample(("v0", "v1", "v2"), 3)
    at = luck.randrange(25_000, 40_000)
    troubles = (Trouble("loss", at, at + 20_000, behind), Trouble("loss", at, at + 20_000, "", behind),
                Trouble("wipe", at + 19_000, at + 19_500, lost), Trouble("kill", at + 19_100, 95_000, gone))
    return Case(followers=1, seed=seed, publish_every=0.3, load=False, troubles=troubles)


def late_then_cut(seed: int) -> Case:
    """What is sent to one takes long, and then it is cut off."""
    luck = Random(f"late {seed}")
    troubles: list[Trouble] = []
    for begin in range(20_000, 100_000, 40_000):
        at = luck.choice(("f0", "v0", "v1", "v2"))
        troubles += [Trouble("delay", begin - 9000, begin, to=at, much=8000),
                     Trouble("loss", begin, begin + 30_000, at),
                     Trouble("loss", begin, begin + 30_000, "", at)]
    return Case(followers=1, seed=seed, publish_every=0.15, load=False, troubles=tuple(troubles))


def drawn(seed: int) -> Case:
    return schedule(seed, deals=seed % 2 == 1)


# Where each fault shows, and by which check it has to be told.
CASES: dict[str, tuple[Callable[[int], Case], str]] = {
    "answers before the disk": (restless, "lost|another history|went back"),
    "forgets a vote at a restart": (elections, "lead in term"),
    "votes twice": (elections, "lead in term"),
    "counts a lease from the answer's arrival": (late_then_cut, "without having heard|ms after"),
    "counts with a follower unheard": (drawn, "without having heard"),
    "counts with a voter unheard": (drawn, "without having heard"),
    "counts before old leases are over": (drawn, "without having heard"),
    "votes without its folder": (wiped, "lost|another history|went back|without having heard"),
    "acts on an old read": (restless, "went back|without having heard|ms after"),
    "deals out a share twice": (drawn, "units in hand of"),
}


def fleets(case: Case) -> dict[str, Any]:
    """By the name of the fault, how to make a fleet that has it."""
    return {
        "answers before the disk": lambda: AnswersBeforeTheDisk(case),
        "forgets a vote at a restart": lambda: ForgetsVotes(case),
        "votes twice": lambda: Fleet(case, VotesTwice),
        "counts a lease from the answer's arrival": lambda: Fleet(case, LeaseFromTheAnswer,
                                                                  FollowerLeaseFromTheAnswer),
        "counts with a follower unheard": lambda: Fleet(case, OneUnheard),
        "counts with a voter unheard": lambda: Fleet(case, LeaderOneUnheard),
        "counts before old leases are over": lambda: Fleet(case, NewLeaderDoesNotWait),
        "votes without its folder": lambda: Fleet(case, VotesWithoutItsFolder),
        "acts on an old read": lambda: Fleet(case, OldRead),
        "deals out a share twice": lambda: Fleet(case, SharesTwice, FollowerSharesTwice),
    }
