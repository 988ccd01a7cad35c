"""Whether the promises of a plan held, from the records of the processes and of the stand-ins alone.

Shares no code with the program. What rules mean for one another is worked out here again, from their texts.
"""

import json
from bisect import bisect_right
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from crankfold.fault_injection.maintenance_invariants import MaintenanceChecker
from crankfold.fault_injection.stand_ins import Observations

MILLISECOND = 1_000_000
PROPAGATION_GRACE = 300 * MILLISECOND
VersionState = tuple[int, int]  # of a document: the newest version heard of, the one that counts


@dataclass(slots=True)
class PublishRecord:
    """A publish as its operator saw it."""

    call_id: str
    started_at: int
    process: str
    document: str
    content: dict[str, Any]
    outcome: str = "unknown"  # confirmed, refused, unknown
    version: int = 0
    ended_at: int = 0


@dataclass(slots=True)
class MaintenanceRun:
    """Work on a machine, as whoever did it saw it."""

    uid: str
    work: str
    number: int
    begin: int
    end: int = 0


@dataclass(slots=True)
class TrialRecord:
    """All that is known of a trial once it is over."""

    staleness_bound: int  # nanoseconds
    process_records: dict[str, list[dict[str, Any]]]  # by process, in the order written
    observations: Observations
    publishes: list[PublishRecord]
    histories: dict[str, dict[str, dict[int, dict[str, Any]]]]  # by process and document, at the end
    downtimes: dict[str, list[tuple[int, int]]]  # when each process was dead
    final_faults: dict[str, str] = field(default_factory=dict)  # by process, why it was not
    faults_ended_at: int = 0
    zones: dict[str, str] = field(default_factory=dict)  # of runners
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)  # as they were handed in
    runs: list["MaintenanceRun"] = field(default_factory=list)
    losses: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # when each runner was
    unfinished_jobs: dict[str, str] = field(
        default_factory=dict
    )  # of works that are not done, what is said of them


@dataclass(frozen=True, slots=True)
class Verdict:
    promise: str
    held: bool
    detail: str


def _version_state(record: dict[str, Any], doc: str) -> VersionState:
    counts, newest = record["versions"].get(doc, (0, 0))
    return newest, counts


class TrialChecker:
    def __init__(self, story: TrialRecord) -> None:
        self.trial = story
        self.documents = ("settings", "runners-out")
        # By document and state: what was acted on, and who first did from when on.
        self.contents: dict[tuple[str, VersionState], str] = {}
        self.first_used: dict[str, dict[VersionState, tuple[int, str]]] = {doc: {} for doc in self.documents}
        self.actions: list[tuple[int, str, dict[str, Any]]] = []
        self.inconsistencies: list[str] = []
        for name, records in story.process_records.items():
            for record in records:
                if record["what"] == "rules":
                    for doc in self.documents:
                        state = _version_state(record, doc)
                        text = json.dumps(record["acting"].get(doc), sort_keys=True)
                        if self.contents.setdefault((doc, state), text) != text:
                            self.inconsistencies.append(f"{name} makes something else of {doc} {state}")
                        before = self.first_used[doc].get(state)
                        if before is None or record["at"] < before[0]:
                            self.first_used[doc][state] = record["at"], name
                elif record["what"] != "step":
                    self.actions.append((record["at"], name, record))
        self.actions.sort(key=lambda act: act[0])
        self.maintenance = MaintenanceChecker(story)
        self.longest_contradiction, self.longest_detail = 0, "no two differed"

    def judge(self, promise: str) -> Verdict:
        check = {
            "bound": self.check_staleness_bound,
            "heard-first": self.check_known_before_effect,
            "history": self.check_history,
            "no-way-back": self.check_monotonic_versions,
            "publishes": self.check_publishes,
            "one-answer": self.check_single_answer,
            "no-effect-twice": self.check_no_duplicate_effect,
            "out-means-out": self.check_drained_backends,
            "well-at-the-end": self.check_final_health,
        }.get(promise) or partial(self.maintenance.judge, promise)
        broken = check()
        return Verdict(promise, not broken, broken or self._summary(promise))

    def _summary(self, promise: str) -> str:
        if promise == "bound":
            longest = self.longest_contradiction / MILLISECOND
            bound = self.trial.staleness_bound / MILLISECOND
            return f"longest {longest:.0f} ms of {bound:.0f}; {self.longest_detail}"
        if promise == "publishes":
            kinds = [one.outcome for one in self.trial.publishes]
            return ", ".join(f"{kinds.count(kind)} {kind}" for kind in ("confirmed", "refused", "unknown"))
        if promise == "one-answer":
            kinds = [told.split()[0] for *_, told in self.trial.observations.answers]
            return ", ".join(f"{kinds.count(kind)} {kind}" for kind in sorted(set(kinds)))
        return self.maintenance.summary(promise)

    def _format_time(self, ns: int) -> str:
        begin = min(
            (records[0]["at"] for records in self.trial.process_records.values() if records), default=0
        )
        return f"{(ns - begin) / 1e9:.3f} s"

    def check_staleness_bound(self) -> str:
        """No act under a rule for longer than the stated time after somebody followed one that differs."""
        if self.inconsistencies:
            return self.inconsistencies[0]
        for doc in self.documents:
            states = sorted(self.first_used[doc])  # in the order of the history
            for act_at, name, record in self.actions:
                own = _version_state(record, doc)
                mine = self.contents.get((doc, own))
                for state in states[bisect_right(states, own) :]:
                    began, who = self.first_used[doc][state]
                    if act_at - began > self.longest_contradiction and self.contents[doc, state] != mine:
                        self.longest_contradiction = act_at - began
                        self.longest_detail = (
                            f"{name} at {self._format_time(act_at)} on {doc} {own}, {who} on {state}"
                        )
        return (
            f"{self.longest_contradiction / MILLISECOND:.0f} ms: {self.longest_detail}"
            if self.longest_contradiction > self.trial.staleness_bound
            else ""
        )

    def check_known_before_effect(self) -> str:
        """Nobody follows a version alone while another acts who has not heard of it."""
        for doc in self.documents:
            alone: dict[int, tuple[int, str]] = {}
            for (_, counts), (at, who) in self.first_used[doc].items():
                if counts and (counts not in alone or at < alone[counts][0]):
                    alone[counts] = at, who
            for act_at, name, record in self.actions:
                newest, _ = _version_state(record, doc)
                for counts, (at, who) in alone.items():
                    if counts > newest and act_at > at and newest:
                        return (
                            f"{name} acts at {self._format_time(act_at)} "
                            f"without having heard of {doc} {counts}, "
                            f"which counts at {who} since {self._format_time(at)}"
                        )
        return ""

    def check_history(self) -> str:
        if self.inconsistencies:
            return self.inconsistencies[0]
        known: dict[tuple[str, int], tuple[str, str]] = {}
        for name, docs in self.trial.histories.items():
            for doc, versions in docs.items():
                for number, version in versions.items():
                    text = json.dumps(version, sort_keys=True)
                    other, before = known.setdefault((doc, number), (name, text))
                    if before != text:
                        return f"{name} and {other} have different versions {number} of {doc}"
        return ""

    def check_monotonic_versions(self) -> str:
        for name, records in self.trial.process_records.items():
            most: dict[str, int] = {}
            for record in records:
                if record["what"] in ("rules", "step"):
                    continue  # a process that starts reads its history before it may act
                for doc in self.documents:
                    counts = _version_state(record, doc)[1]
                    if counts < most.get(doc, 0):
                        acted_at = self._format_time(record["at"])
                        return f"{name} acts at {acted_at} on {doc} {counts} after {most[doc]}"
                    most[doc] = counts
        return ""

    def check_publishes(self) -> str:
        for asked in self.trial.publishes:
            for name, docs in self.trial.histories.items():
                found = [
                    number
                    for number, version in docs.get(asked.document, {}).items()
                    if version["reason"] == asked.call_id
                ]
                if len(found) > 1:
                    return f"{asked.call_id} took effect as {found} at {name}"
                if asked.outcome == "refused" and found:
                    return f"{asked.call_id} was refused and is version {found[0]} at {name}"
                kept = docs.get(asked.document, {})
                if (
                    asked.outcome == "confirmed"
                    and found != [asked.version]
                    and kept
                    and min(kept) <= asked.version <= max(kept)
                ):
                    confirmed = f"{asked.call_id}, confirmed as {asked.document} {asked.version}"
                    return f"{confirmed}, is {found} at {name}"
                if found and docs[asked.document][found[0]]["text"] != asked.content:
                    return f"{asked.call_id} was changed at {name}"
        newest = {
            doc: max((max(docs.get(doc) or [0]) for docs in self.trial.histories.values()), default=0)
            for doc in self.documents
        }
        for asked in self.trial.publishes:
            if asked.outcome == "confirmed" and asked.version > newest[asked.document]:
                confirmed = f"{asked.call_id}, confirmed as {asked.document} {asked.version}"
                return f"{confirmed}, is after {newest[asked.document]}"
        return ""

    def _was_down(self, name: str, begin: int, end: int) -> bool:
        return any(a <= end and begin <= b for a, b in self.trial.downtimes.get(name, ()))

    def check_single_answer(self) -> str:
        ends: dict[str, list[str]] = {}
        for at, unit, name, told in self.trial.observations.answers:
            ends.setdefault(unit, []).append(told)
            asked, _, grade = self.trial.observations.requests[unit]
            if told[:3] == "400" and self._class_was_removed(grade):
                continue  # nobody took it
            if told[:3] not in ("200", "503", "504") and not self._was_down(name, asked, at):
                return f"{unit} got {told} at {self._format_time(at)}, though {name} was there"
        for unit in self.trial.observations.requests:
            if len(ends.get(unit, ())) != 1:
                return f"{unit} got {ends.get(unit, 'nothing')}"
        return ""

    def _class_was_removed(self, grade: str) -> bool:
        """Whether there ever was a version without that grade."""
        return any(
            grade not in [one["name"] for one in version["text"].get("service-grades", ())]
            for docs in self.trial.histories.values()
            for version in docs.get("settings", {}).values()
        )

    def check_no_duplicate_effect(self) -> str:
        """A unit that was taken as once-only ran once at most, whatever its grade became."""
        ran: dict[str, int] = {}
        for _, _, unit in self.trial.observations.received_requests:
            ran[unit] = ran.get(unit, 0) + 1
        for _, name, record in self.actions:
            if record["what"] != "take" or ran.get(record["unit"], 0) < 2:
                continue
            rules = (
                json.loads(self.contents.get(("settings", _version_state(record, "settings")), "null")) or {}
            )
            for grade in rules.get("service-grades", ()):
                if grade["name"] == record["where"] and grade["effect"] == "unsafe":
                    return f"{record['unit']}, once-only at {name}, ran {ran[record['unit']]} times"
        return ""

    def check_drained_backends(self) -> str:
        """From when a version with a runner out counts anywhere until one without it is heard of: nothing."""
        spans: list[tuple[int, int, str]] = []
        end_of_time = 1 << 62
        versions: dict[int, dict[str, Any]] = {}
        for docs in self.trial.histories.values():
            versions |= docs.get("runners-out", {})
        counted: dict[int, int] = {}
        heard: dict[int, int] = {}
        for (newest, counts), (at, _) in self.first_used["runners-out"].items():
            for number in range(1, counts + 1):
                counted[number] = min(counted.get(number, end_of_time), at)
            for number in range(1, newest + 1):
                heard[number] = min(heard.get(number, end_of_time), at)
        for number in sorted(versions):
            for uid in versions[number]["text"].get("runners", {}):
                after = [
                    n
                    for n in sorted(versions)
                    if n > number and uid not in versions[n]["text"].get("runners", {})
                ]
                until = heard.get(after[0], end_of_time) if after else end_of_time
                if number in counted:
                    spans.append((counted[number], until, uid))
        for at, uid, unit in self.trial.observations.received_requests:
            for begin, until, out in spans:
                if out == uid and begin + PROPAGATION_GRACE < at < until:
                    out_since = self._format_time(begin)
                    return f"{unit} reached {uid} at {self._format_time(at)}, which is out since {out_since}"
        return ""

    def check_final_health(self) -> str:
        wrong = [f"{name}: {why}" for name, why in self.trial.final_faults.items() if why]
        return "; ".join(wrong)
