"""Whether the promises of a plan held, from the records of the processes and of the stand-ins alone.

Shares no code with the program. What rules mean for one another is worked out here again, from their texts.
"""

import json
from bisect import bisect_right
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from crankfold.trial.checks import WorksChecker
from crankfold.trial.stand_ins import Seen

MS = 1_000_000
GRACE = 300 * MS
State = tuple[int, int]  # of a document: the newest version heard of, the one that counts


@dataclass(slots=True)
class Asked:
    """A publish as its operator saw it."""

    call: str
    at: int
    process: str
    doc: str
    text: dict[str, Any]
    outcome: str = "unknown"  # confirmed, refused, unknown
    number: int = 0
    ended: int = 0


@dataclass(slots=True)
class Run:
    """Work on a machine, as whoever did it saw it."""

    uid: str
    work: str
    number: int
    begin: int
    end: int = 0


@dataclass(slots=True)
class Story:
    """All that is known of a trial once it is over."""

    stated: int  # nanoseconds
    records: dict[str, list[dict[str, Any]]]  # by process, in the order written
    seen: Seen
    publishes: list[Asked]
    histories: dict[str, dict[str, dict[int, dict[str, Any]]]]  # by process and document, at the end
    killed: dict[str, list[tuple[int, int]]]  # when each process was dead
    ended_well: dict[str, str] = field(default_factory=dict)  # by process, why it was not
    faults_over: int = 0
    zones: dict[str, str] = field(default_factory=dict)  # of runners
    works: dict[str, dict[str, Any]] = field(default_factory=dict)  # as they were handed in
    runs: list["Run"] = field(default_factory=list)
    lost: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # when each runner was
    ends: dict[str, str] = field(default_factory=dict)  # of works that are not done, what is said of them


@dataclass(frozen=True, slots=True)
class Verdict:
    promise: str
    held: bool
    told: str


def _state(record: dict[str, Any], doc: str) -> State:
    counts, newest = record["versions"].get(doc, (0, 0))
    return newest, counts


class Checker:
    def __init__(self, story: Story) -> None:
        self.story = story
        self.docs = ("settings", "runners-out")
        # By document and state: what was acted on, and who first did from when on.
        self.texts: dict[tuple[str, State], str] = {}
        self.first: dict[str, dict[State, tuple[int, str]]] = {doc: {} for doc in self.docs}
        self.acts: list[tuple[int, str, dict[str, Any]]] = []
        self.odd: list[str] = []
        for name, records in story.records.items():
            for record in records:
                if record["what"] == "rules":
                    for doc in self.docs:
                        state = _state(record, doc)
                        text = json.dumps(record["acting"].get(doc), sort_keys=True)
                        if self.texts.setdefault((doc, state), text) != text:
                            self.odd.append(f"{name} makes something else of {doc} {state}")
                        before = self.first[doc].get(state)
                        if before is None or record["at"] < before[0]:
                            self.first[doc][state] = record["at"], name
                elif record["what"] != "step":
                    self.acts.append((record["at"], name, record))
        self.acts.sort(key=lambda act: act[0])
        self.of_works = WorksChecker(story)
        self.longest, self.longest_told = 0, "no two differed"

    def judge(self, promise: str) -> Verdict:
        check = {"bound": self.bound, "heard-first": self.heard_first, "history": self.history,
                 "no-way-back": self.no_way_back, "publishes": self.publishes, "one-answer": self.one_answer,
                 "no-effect-twice": self.no_effect_twice, "out-means-out": self.out_means_out,
                 "well-at-the-end": self.well_at_the_end}.get(promise) or partial(
                     self.of_works.judge, promise)
        broken = check()
        return Verdict(promise, not broken, broken or self._said(promise))

    def _said(self, promise: str) -> str:
        if promise == "bound":
            return f"longest {self.longest / MS:.0f} ms of {self.story.stated / MS:.0f}; {self.longest_told}"
        if promise == "publishes":
            kinds = [one.outcome for one in self.story.publishes]
            return ", ".join(f"{kinds.count(kind)} {kind}" for kind in ("confirmed", "refused", "unknown"))
        if promise == "one-answer":
            kinds = [told.split()[0] for *_, told in self.story.seen.answered]
            return ", ".join(f"{kinds.count(kind)} {kind}" for kind in sorted(set(kinds)))
        return self.of_works.said(promise)

    def _at(self, ns: int) -> str:
        begin = min((records[0]["at"] for records in self.story.records.values() if records), default=0)
        return f"{(ns - begin) / 1e9:.3f} s"

    def bound(self) -> str:
        """No act under a rule for longer than the stated time after somebody followed one that differs."""
        if self.odd:
            return self.odd[0]
        for doc in self.docs:
            states = sorted(self.first[doc])  # in the order of the history
            for act_at, name, record in self.acts:
                own = _state(record, doc)
                mine = self.texts.get((doc, own))
                for state in states[bisect_right(states, own):]:
                    began, who = self.first[doc][state]
                    if act_at - began > self.longest and self.texts[doc, state] != mine:
                        self.longest = act_at - began
                        self.longest_told = f"{name} at {self._at(act_at)} on {doc} {own}, {who} on {state}"
        return f"{self.longest / MS:.0f} ms: {self.longest_told}" if self.longest > self.story.stated else ""

    def heard_first(self) -> str:
        """Nobody follows a version alone while another acts who has not heard of it."""
        for doc in self.docs:
            alone: dict[int, tuple[int, str]] = {}
            for (_, counts), (at, who) in self.first[doc].items():
                if counts and (counts not in alone or at < alone[counts][0]):
                    alone[counts] = at, who
            for act_at, name, record in self.acts:
                newest, _ = _state(record, doc)
                for counts, (at, who) in alone.items():
                    if counts > newest and act_at > at and newest:
                        return (f"{name} acts at {self._at(act_at)} without having heard of {doc} {counts}, "
                                f"which counts at {who} since {self._at(at)}")
        return ""

    def history(self) -> str:
        if self.odd:
            return self.odd[0]
        known: dict[tuple[str, int], tuple[str, str]] = {}
        for name, docs in self.story.histories.items():
            for doc, versions in docs.items():
                for number, version in versions.items():
                    text = json.dumps(version, sort_keys=True)
                    other, before = known.setdefault((doc, number), (name, text))
                    if before != text:
                        return f"{name} and {other} have different versions {number} of {doc}"
        return ""

    def no_way_back(self) -> str:
        for name, records in self.story.records.items():
            most: dict[str, int] = {}
            for record in records:
                if record["what"] in ("rules", "step"):
                    continue  # a process that starts reads its history before it may act
                for doc in self.docs:
                    counts = _state(record, doc)[1]
                    if counts < most.get(doc, 0):
                        return f"{name} acts at {self._at(record['at'])} on {doc} {counts} after {most[doc]}"
                    most[doc] = counts
        return ""

    def publishes(self) -> str:
        for asked in self.story.publishes:
            for name, docs in self.story.histories.items():
                found = [number for number, version in docs.get(asked.doc, {}).items()
                         if version["reason"] == asked.call]
                if len(found) > 1:
                    return f"{asked.call} took effect as {found} at {name}"
                if asked.outcome == "refused" and found:
                    return f"{asked.call} was refused and is version {found[0]} at {name}"
                kept = docs.get(asked.doc, {})
                if asked.outcome == "confirmed" and found != [asked.number] and kept \
                        and min(kept) <= asked.number <= max(kept):
                    return f"{asked.call}, confirmed as {asked.doc} {asked.number}, is {found} at {name}"
                if found and docs[asked.doc][found[0]]["text"] != asked.text:
                    return f"{asked.call} was changed at {name}"
        newest = {doc: max((max(docs.get(doc) or [0]) for docs in self.story.histories.values()), default=0)
                  for doc in self.docs}
        for asked in self.story.publishes:
            if asked.outcome == "confirmed" and asked.number > newest[asked.doc]:
                return f"{asked.call}, confirmed as {asked.doc} {asked.number}, is after {newest[asked.doc]}"
        return ""

    def _dead(self, name: str, begin: int, end: int) -> bool:
        return any(a <= end and begin <= b for a, b in self.story.killed.get(name, ()))

    def one_answer(self) -> str:
        ends: dict[str, list[str]] = {}
        for at, unit, name, told in self.story.seen.answered:
            ends.setdefault(unit, []).append(told)
            asked, _, grade = self.story.seen.asked[unit]
            if told[:3] == "400" and self._dropped(grade):
                continue  # nobody took it
            if told[:3] not in ("200", "503", "504") and not self._dead(name, asked, at):
                return f"{unit} got {told} at {self._at(at)}, though {name} was there"
        for unit in self.story.seen.asked:
            if len(ends.get(unit, ())) != 1:
                return f"{unit} got {ends.get(unit, 'nothing')}"
        return ""

    def _dropped(self, grade: str) -> bool:
        """Whether there ever was a version without that grade."""
        return any(grade not in [one["name"] for one in version["text"].get("service-grades", ())]
                   for docs in self.story.histories.values() for version in docs.get("settings", {}).values())

    def no_effect_twice(self) -> str:
        """A unit that was taken as once-only ran once at most, whatever its grade became."""
        ran: dict[str, int] = {}
        for _, _, unit in self.story.seen.received:
            ran[unit] = ran.get(unit, 0) + 1
        for _, name, record in self.acts:
            if record["what"] != "take" or ran.get(record["unit"], 0) < 2:
                continue
            rules = json.loads(self.texts.get(("settings", _state(record, "settings")), "null")) or {}
            for grade in rules.get("service-grades", ()):
                if grade["name"] == record["where"] and grade["effect"] == "unsafe":
                    return f"{record['unit']}, once-only at {name}, ran {ran[record['unit']]} times"
        return ""

    def out_means_out(self) -> str:
        """From when a version with a runner out counts anywhere until one without it is heard of: nothing."""
        spans: list[tuple[int, int, str]] = []
        end_of_time = 1 << 62
        versions: dict[int, dict[str, Any]] = {}
        for docs in self.story.histories.values():
            versions |= docs.get("runners-out", {})
        counted: dict[int, int] = {}
        heard: dict[int, int] = {}
        for (newest, counts), (at, _) in self.first["runners-out"].items():
            for number in range(1, counts + 1):
                counted[number] = min(counted.get(number, end_of_time), at)
            for number in range(1, newest + 1):
                heard[number] = min(heard.get(number, end_of_time), at)
        for number in sorted(versions):
            for uid in versions[number]["text"].get("runners", {}):
                after = [n for n in sorted(versions) if n > number
                         and uid not in versions[n]["text"].get("runners", {})]
                until = heard.get(after[0], end_of_time) if after else end_of_time
                if number in counted:
                    spans.append((counted[number], until, uid))
        for at, uid, unit in self.story.seen.received:
            for begin, until, out in spans:
                if out == uid and begin + GRACE < at < until:
                    return f"{unit} reached {uid} at {self._at(at)}, which is out since {self._at(begin)}"
        return ""

    def well_at_the_end(self) -> str:
        wrong = [f"{name}: {why}" for name, why in self.story.ended_well.items() if why]
        return "; ".join(wrong)
