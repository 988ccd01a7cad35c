"""Whether machines were out for work as their works allow, from what was recorded alone.

Shares no code with the program: what a step means for a machine is worked out here again.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from crankfold.trial.checker import Story

MS = 1_000_000
TOLD_WITHIN = 1500 * MS  # lists tell of a loss so late at the most, if no fault is between
OVER = ("well", "undone", "gone")


class WorksChecker:
    def __init__(self, story: "Story") -> None:
        self.story = story
        # By entry and machine, in the order of the history: when a process first knew of it.
        self.steps: dict[tuple[int, str, str], tuple[int, dict[str, Any]]] = {}
        for records in story.records.values():
            for record in records:
                if record["what"] == "step":
                    key = record["index"], record["uid"], record["step"]
                    if key not in self.steps or record["at"] < self.steps[key][0]:
                        self.steps[key] = record["at"], record
        self.order = [self.steps[key] for key in sorted(self.steps)]
        self.begin = min((records[0]["at"] for records in story.records.values() if records), default=0)

    def _at(self, ns: int) -> str:
        return f"{(ns - self.begin) / 1e9:.3f} s"

    def judge(self, promise: str) -> str:
        return {"free-means-free": self.free_means_free, "works-bounds": self.bounds,
                "commands": self.commands, "works-end": self.ends}[promise]()

    def free_means_free(self) -> str:
        """From when anybody knew that it is free until anybody knew that it is back: nothing reached it."""
        numbers: dict[str, int] = {}
        for at, step in self.order:
            uid = step["uid"]
            if step["step"] != "free":
                continue
            if step["index"] <= numbers.get(uid, 0):
                return f"{uid} is free under {step['index']} after {numbers[uid]}"
            numbers[uid] = step["index"]
            until = min((then for then, later in self.order if later["uid"] == uid
                         and later["index"] > step["index"]
                         and later["step"] in ("back", "gone", "out", "unwell")), default=1 << 62)
            for when, at_uid, unit in self.story.seen.received:
                if at_uid == uid and at < when < until:
                    return f"{unit} reached {uid} at {self._at(when)}, which is free since {self._at(at)}"
        return ""

    def _lost(self, at: int) -> set[str]:
        return {uid for uid, spans in self.story.lost.items()
                if any(begin + TOLD_WITHIN < at and at < end for begin, end in spans)}

    def bounds(self) -> str:
        """At each moment when one more went out, unplanned losses counted."""
        away: dict[str, str] = {}
        for at, step in self.order:
            uid, work = step["uid"], step["work"]
            if step["step"] == "out" and not uid.startswith("@"):
                broken = self._broken(uid, work, away, self._lost(at))
                if broken:
                    return f"{uid} went out for {work} at {self._at(at)}: {broken}"
            if step["step"] in OVER:
                away.pop(uid, None)
            elif uid:
                away[uid] = work
        return self._dispatchers()

    def _dispatchers(self) -> str:
        """At no moment more of them in work than the work allows. Those killed by faults are not counted."""
        runs = [run for run in self.story.runs if run.uid.startswith("@")]
        for run in runs:
            at_once = [one.uid for one in runs if one.begin <= run.begin < (one.end or 1 << 62)]
            if len(at_once) > self.story.works[run.work]["work"].get("at-once", 1):
                return f"{sorted(at_once)} were worked on at the same time, {self._at(run.begin)}"
        return ""

    def _wants(self, given: dict[str, Any], uid: str) -> bool:
        zones, machines = given.get("zones"), given.get("machines")
        return (not zones or self.story.zones.get(uid) in zones) and (not machines or uid in machines)

    def _broken(self, uid: str, work: str, away: dict[str, str], lost: set[str]) -> str:
        zones = self.story.zones
        out = ({one for one in away if not one.startswith("@")} | lost) - {uid}
        for name, handed in self.story.works.items():
            given = handed["work"]
            if given.get("of") == "dispatchers" or name != work and (
                    name not in away.values() or not self._wants(given, uid)):
                continue
            mine = {one for one in out if self._wants(given, one)}
            if len(mine) >= given.get("at-once", 1):
                return f"{sorted(mine)} are out, {name} allows {given.get('at-once', 1)} at once"
            zoned = {one for one in mine if zones.get(one) == zones.get(uid)}
            if given.get("a-zone") and len(zoned) >= given["a-zone"]:
                return f"{sorted(zoned)} are out, {name} allows {given['a-zone']} in a zone"
            stays = sum(one not in out and one != uid for one in zones) / max(len(zones), 1)
            if stays < given.get("stays", 0.5) - 1e-9:
                return f"{stays:.2f} stay, {name} wants {given.get('stays', 0.5)}"
        return ""

    def commands(self) -> str:
        """Each ran once, unless its work allows more, on a machine that was free, and never two at once."""
        runs: dict[tuple[str, str], list[Any]] = {}
        for run in self.story.runs:
            runs.setdefault((run.uid, run.work), []).append(run)
            free = [at for at, step in self.order if step["uid"] == run.uid and step["step"] == "free"
                    and step["index"] == run.number]
            if not free or free[0] > run.begin:
                return f"{run.uid} was worked on at {self._at(run.begin)}, not free under {run.number}"
        for (uid, work), some in runs.items():
            given = self.story.works[work]["work"]
            numbers = [run.number for run in some]
            if len(set(numbers)) < len(numbers):
                return f"{uid} was worked on twice for {work} under one number, {numbers}"
            unwell = any(step["uid"] == uid and step["step"] in ("unwell", "undone")
                         for _, step in self.order)
            if len(some) > 1 and not given.get("again") and not unwell:
                return f"{uid} was worked on {len(some)} times for {work}"
        return ""

    def ends(self) -> str:
        """Every work is done, or it is said of each machine that is left why it is not."""
        return "; ".join(f"{name}: {why}" for name, why in self.story.ends.items() if why)

    def said(self, promise: str) -> str:
        steps = [step["step"] for _, step in self.order]
        if promise == "works-bounds":
            return ", ".join(f"{steps.count(one)} {one}" for one in dict.fromkeys(steps))
        if promise == "commands":
            return f"{len(self.story.runs)} runs"
        if promise == "free-means-free":
            spans = [then - at for at, step in self.order if step["step"] == "out" for then in [min(
                (later for later, other in self.order if other["uid"] == step["uid"]
                 and other["index"] > step["index"]), default=at)]]
            return f"from out to free, longest {max(spans, default=0) / MS:.0f} ms"
        return ""
