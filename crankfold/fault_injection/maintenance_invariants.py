"""Whether machines were out for work as their works allow, from what was recorded alone.

Shares no code with the program: what a step means for a machine is worked out here again.
"""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from crankfold.fault_injection.invariants import TrialRecord

MILLISECOND = 1_000_000
DISCOVERY_DELAY = 1500 * MILLISECOND  # lists tell of a loss so late at the most, if no fault is between
FINAL_STEPS = ("well", "undone", "gone")


class MaintenanceChecker:
    def __init__(self, story: "TrialRecord") -> None:
        self.trial = story
        # By entry and machine, in the order of the history: when a process first knew of it.
        self.first_transitions: dict[tuple[int, str, str], tuple[int, dict[str, Any]]] = {}
        for records in story.process_records.values():
            for record in records:
                if record["what"] == "step":
                    key = record["index"], record["uid"], record["step"]
                    if key not in self.first_transitions or record["at"] < self.first_transitions[key][0]:
                        self.first_transitions[key] = record["at"], record
        self.transitions = [self.first_transitions[key] for key in sorted(self.first_transitions)]
        self.started_at = min(
            (records[0]["at"] for records in story.process_records.values() if records), default=0
        )

    def _format_time(self, ns: int) -> str:
        return f"{(ns - self.started_at) / 1e9:.3f} s"

    def judge(self, promise: str) -> str:
        return {
            "free-means-free": self.check_freed_machines,
            "works-bounds": self.check_limits,
            "commands": self.check_commands,
            "works-end": self.check_job_ends,
        }[promise]()

    def check_freed_machines(self) -> str:
        """From when anybody knew that it is free until anybody knew that it is back: nothing reached it."""
        numbers: dict[str, int] = {}
        for at, step in self.transitions:
            uid = step["uid"]
            if step["step"] != "free":
                continue
            if step["index"] <= numbers.get(uid, 0):
                return f"{uid} is free under {step['index']} after {numbers[uid]}"
            numbers[uid] = step["index"]
            until = min(
                (
                    then
                    for then, later in self.transitions
                    if later["uid"] == uid
                    and later["index"] > step["index"]
                    and later["step"] in ("back", "gone", "out", "unwell")
                ),
                default=1 << 62,
            )
            for when, at_uid, unit in self.trial.observations.received_requests:
                if at_uid == uid and at < when < until:
                    free_since = self._format_time(at)
                    return (
                        f"{unit} reached {uid} at {self._format_time(when)}, which is free since {free_since}"
                    )
        return ""

    def _lost_machines(self, at: int) -> set[str]:
        return {
            uid
            for uid, spans in self.trial.losses.items()
            if any(begin + DISCOVERY_DELAY < at and at < end for begin, end in spans)
        }

    def check_limits(self) -> str:
        """At each moment when one more went out, unplanned losses counted."""
        away: dict[str, str] = {}
        for at, step in self.transitions:
            uid, work = step["uid"], step["work"]
            if step["step"] == "out" and not uid.startswith("@"):
                broken = self._limit_violation(uid, work, away, self._lost_machines(at))
                if broken:
                    return f"{uid} went out for {work} at {self._format_time(at)}: {broken}"
            if step["step"] in FINAL_STEPS:
                away.pop(uid, None)
            elif uid:
                away[uid] = work
        return self._check_dispatcher_limits()

    def _check_dispatcher_limits(self) -> str:
        """At no moment more of them in work than the work allows. Those killed by faults are not counted."""
        runs = [run for run in self.trial.runs if run.uid.startswith("@")]
        for run in runs:
            at_once = [one.uid for one in runs if one.begin <= run.begin < (one.end or 1 << 62)]
            if len(at_once) > self.trial.jobs[run.work]["work"].get("at-once", 1):
                return f"{sorted(at_once)} were worked on at the same time, {self._format_time(run.begin)}"
        return ""

    def _selects(self, given: dict[str, Any], uid: str) -> bool:
        zones, machines = given.get("zones"), given.get("machines")
        return (not zones or self.trial.zones.get(uid) in zones) and (not machines or uid in machines)

    def _limit_violation(self, uid: str, work: str, away: dict[str, str], lost: set[str]) -> str:
        zones = self.trial.zones
        out = ({one for one in away if not one.startswith("@")} | lost) - {uid}
        for name, handed in self.trial.jobs.items():
            given = handed["work"]
            if (
                given.get("of") == "dispatchers"
                or name != work
                and (name not in away.values() or not self._selects(given, uid))
            ):
                continue
            mine = {one for one in out if self._selects(given, one)}
            if len(mine) >= given.get("at-once", 1):
                return f"{sorted(mine)} are out, {name} allows {given.get('at-once', 1)} at once"
            zoned = {one for one in mine if zones.get(one) == zones.get(uid)}
            if given.get("a-zone") and len(zoned) >= given["a-zone"]:
                return f"{sorted(zoned)} are out, {name} allows {given['a-zone']} in a zone"
            stays = sum(one not in out and one != uid for one in zones) / max(len(zones), 1)
            if stays < given.get("stays", 0.5) - 1e-9:
                return f"{stays:.2f} stay, {name} wants {given.get('stays', 0.5)}"
        return ""

    def check_commands(self) -> str:
        """Each ran once, unless its work allows more, on a machine that was free, and never two at once."""
        runs: dict[tuple[str, str], list[Any]] = {}
        for run in self.trial.runs:
            runs.setdefault((run.uid, run.work), []).append(run)
            free = [
                at
                for at, step in self.transitions
                if step["uid"] == run.uid and step["step"] == "free" and step["index"] == run.number
            ]
            if not free or free[0] > run.begin:
                return (
                    f"{run.uid} was worked on at {self._format_time(run.begin)}, not free under {run.number}"
                )
        for (uid, work), some in runs.items():
            given = self.trial.jobs[work]["work"]
            numbers = [run.number for run in some]
            if len(set(numbers)) < len(numbers):
                return f"{uid} was worked on twice for {work} under one number, {numbers}"
            unwell = any(
                step["uid"] == uid and step["step"] in ("unwell", "undone") for _, step in self.transitions
            )
            if len(some) > 1 and not given.get("again") and not unwell:
                return f"{uid} was worked on {len(some)} times for {work}"
        return ""

    def check_job_ends(self) -> str:
        """Every work is done, or it is said of each machine that is left why it is not."""
        return "; ".join(f"{name}: {why}" for name, why in self.trial.unfinished_jobs.items() if why)

    def summary(self, promise: str) -> str:
        steps = [step["step"] for _, step in self.transitions]
        if promise == "works-bounds":
            return ", ".join(f"{steps.count(one)} {one}" for one in dict.fromkeys(steps))
        if promise == "commands":
            return f"{len(self.trial.runs)} runs"
        if promise == "free-means-free":
            spans = [
                then - at
                for at, step in self.transitions
                if step["step"] == "out"
                for then in [
                    min(
                        (
                            later
                            for later, other in self.transitions
                            if other["uid"] == step["uid"] and other["index"] > step["index"]
                        ),
                        default=at,
                    )
                ]
            ]
            return f"from out to free, longest {max(spans, default=0) / MILLISECOND:.0f} ms"
        return ""
