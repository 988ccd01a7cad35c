"""Members, foremen and ledgers with one fault each, which the checks of the emulated yard must find."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from random import Random
from typing import Any
from unittest import mock

from crankfold.agreement.member import Voter
from crankfold.agreement.words import Tell
from crankfold.emulator.accord import Case, Trouble
from crankfold.emulator.yard import Yard, YardCase, drawn
from crankfold.works import ledger
from crankfold.works.foreman import Foreman, Steps, View
from crankfold.works.ledger import WORK, Ledger


class FreeTooEarly(Voter):
    """As soon as the leader itself holds nothing there."""

    def gathered(self, now: int) -> tuple[Tell, Callable[[str, int], str]]:
        whole, _ = super().gathered(now)
        upto, own = self.drained(now)
        return whole, lambda uid, index: "held" if own is None or uid in own.holds or upto < index else ""


class SilenceIsConsent(Voter):
    """Whoever is not heard any more is asked no longer, whatever lease he has and whatever he sent."""

    def gathered(self, now: int) -> tuple[Tell, Callable[[str, int], str]]:
        quiet = [name for name, report in self.reports.items() if now - report.heard > 3 * self.timing.renew]
        before = {name: self.granted.pop(name) for name in quiet if name in self.granted}
        led, self.raft.led_since = self.raft.led_since, -10 * self.timing.outlast
        told = super().gathered(now)
        self.granted |= before
        self.raft.led_since = led
        return told

    def drained(self, now: int) -> tuple[int, Tell | None]:
        quiet = [ward for ward in self.wards.values() if now - ward.heard > 3 * self.timing.renew]
        until = [ward.until for ward in quiet]
        for ward in quiet:
            ward.until = -10 * self.timing.outlast
        told = super().drained(now)
        for ward, end in zip(quiet, until, strict=True):
            ward.until = end
        return told


class Hasty(Foreman):
    """Does not wait for what it proposed: bounds were kept by what was known before."""

    def look(self, view: View) -> Steps:
        self.went = -1, -1, 0
        return super().look(view)


class Twice(Foreman):
    """A new leader begins anew what another had begun."""

    def _works(self, view: View, uid: str, away: Any, *rest: Any) -> dict[str, Any] | None:
        if away.by in view.lives and away.by != self.me and view.works[away.work].way == "command":
            return {"step": WORK, "by": self.me, "life": view.lives[self.me]}
        return super()._works(view, uid, away, *rest)


@contextmanager
def unbound() -> Iterator[None]:
    """Bounds are checked by whoever proposes, and not again by what was agreed meanwhile."""
    check = Ledger._unfit

    def unfit(self: Ledger, step: dict[str, Any], changes: int, plan: int) -> str:
        return check(self, {**step, "made_from": changes, "plan": plan}, changes, plan)

    with mock.patch.object(Ledger, "_unfit", unfit):
        yield


@contextmanager
def any_time() -> Iterator[None]:
    """A command may be begun again from anywhere."""
    with mock.patch.dict(ledger.FROM, {WORK: (*ledger.FROM[WORK], WORK)}):
        yield


@contextmanager
def plain() -> Iterator[None]:
    yield


ALL: dict[str, dict[str, Any]] = {"disks": {
    "at-once": 3, "stays": 0.0, "takes": 30.0, "watch": 0.5, "least-answers": 0, "way": "command",
    "command": ["x"], "not-back": "go-on"}}


def cut_off(seed: int) -> YardCase:
    """One after another is cut off for as long as a lease, and goes on for as long as it has one."""
    luck = Random(f"cut off {seed}")
    troubles: list[Trouble] = []
    for begin in range(30_000, 200_000, 25_000):
        at = luck.choice(("v0", "v1", "v2", "f0", "f1"))
        troubles += [Trouble("loss", begin, begin + 20_000, *ends) for ends in ((at, ""), ("", at))]
    case = Case(seed=seed, seconds=22.0, publish_every=9.0, troubles=tuple(troubles))
    return YardCase(case, ALL, takes=2000)


def long_commands(seed: int) -> YardCase:
    return replace(cut_off(seed), takes=40_000)


def flutter(seed: int) -> YardCase:
    """Machines come and go, and what is agreed takes its time."""
    luck = Random(f"flutter {seed}")
    losses = tuple((at, at + 3000, f"m{luck.randrange(9)}") for at in range(20_000, 180_000, 4000))
    works = {"disks": {**ALL["disks"], "at-once": 3}}
    slow = tuple(Trouble("disk", at, at + 6000, voter) for at in range(20_000, 200_000, 6500)
                 for voter in ("v0", "v1", "v2"))
    return YardCase(Case(seed=seed, seconds=22.0, publish_every=9.0, troubles=slow), works, losses=losses)


Planted = tuple[Callable[[YardCase], Yard], Callable[[], Any], Callable[[int], YardCase], str]
PLANTED: dict[str, Planted] = {
    "free told before the last has answered": (
        lambda case: Yard(case, FreeTooEarly), plain, drawn, "free while"),
    "silence taken for consent": (
        lambda case: Yard(case, SilenceIsConsent), plain, cut_off, "free while|is free since"),
    "a bound checked before the agreement": (
        lambda case: Yard(case, foremen=Hasty), unbound, flutter, "goes out"),
    "a step taken twice after a change of leader": (
        lambda case: Yard(case, foremen=Twice), any_time, long_commands, "ran again|two commands"),
    "cold taken for warm": (lambda case: Yard(case, warm=0), plain, drawn, "called well"),
}
