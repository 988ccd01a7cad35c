"""Experiments described in a file: cases, faults, policies and seeds; the same file gives the same table."""

import csv
import tomllib
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import fields, replace
from pathlib import Path
from typing import Annotated, Any

import msgspec
from msgspec import Meta, Struct

from crankfold import __version__
from crankfold.emulator.faults import Fault, Kind
from crankfold.emulator.study import ORDERS, OURS, POLICIES, Row, interval, play, verdict
from crankfold.emulator.world import SECOND, ZONES, Scenario

Seconds = Annotated[float, Meta(ge=0, le=3600)]
Count = Annotated[int, Meta(ge=1, le=2000)]
Above = Annotated[float, Meta(gt=0)]


class Unfit(ValueError):
    """The file can't be played: which field, what was found, what is allowed."""


class FaultForm(Struct, forbid_unknown_fields=True, rename="kebab"):
    kind: Kind
    at: Seconds
    until: Seconds
    share: Annotated[float, Meta(gt=0, le=1)] = 0.2
    zone: Annotated[int, Meta(ge=0, lt=ZONES)] = 0
    factor: Above = 4.0


class Day(Struct, forbid_unknown_fields=True, rename="kebab"):
    """Of a case what is not said is as in `[day]`. Times in seconds; load as a share of all slots."""

    dispatchers: Count = 3
    runners: Count = 9
    slots: Annotated[int, Meta(ge=1, le=64)] = 4
    load: Annotated[float, Meta(gt=0, le=3)] = 0.6
    work: Above = 0.35
    seconds: Annotated[int, Meta(ge=1, le=3600)] = 10
    report_every: Above = 1.0
    list_late: Seconds = 1.0
    way: Seconds = 0.0005
    cross: Seconds = 0.0005
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    faults: list[FaultForm] = []


class Case(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(min_length=1)]
    group: str = ""
    at: float = 0.0
    day: dict[str, Any] = {}


class File(Struct, forbid_unknown_fields=True):
    name: Annotated[str, Meta(pattern="^[a-z0-9-]+$")]
    case: Annotated[list[Case], Meta(min_length=1)]
    title: str = ""
    across: str = "case"
    seeds: Annotated[int, Meta(ge=2, le=1000)] = 10
    policies: Annotated[list[str], Meta(min_length=1)] = msgspec.field(default_factory=lambda: list(POLICIES))
    day: dict[str, Any] = {}


def read(path: Path) -> tuple[File, dict[str, Scenario]]:
    try:
        given = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as wrong:
        raise Unfit(f"{path}: {wrong}") from None
    try:
        file = msgspec.convert(given, File)
    except msgspec.ValidationError as wrong:
        raise Unfit(f"{path}: {wrong}") from None
    unknown = [name for name in file.policies if name not in POLICIES]
    if unknown:
        raise Unfit(f"{path}: policies: found {unknown[0]!r}; there are {', '.join(POLICIES)}")
    if OURS not in file.policies:
        file.policies.insert(0, OURS)
    scenarios: dict[str, Scenario] = {}
    for case in file.case:
        try:
            day = msgspec.convert(file.day | case.day, Day)
        except msgspec.ValidationError as wrong:
            raise Unfit(f"{path}: case {case.name!r}: {wrong}") from None
        for fault in day.faults:
            if not fault.at < fault.until <= day.seconds:
                raise Unfit(f"{path}: case {case.name!r}: {fault.kind} from {fault.at} to {fault.until}; "
                            f"allowed within a day of {day.seconds}, the end after the start")
        if case.name in scenarios:
            raise Unfit(f"{path}: case {case.name!r} is there twice")
        scenarios[case.name] = scenario_of(day)
    return file, scenarios


def scenario_of(day: Day) -> Scenario:
    faults = tuple(Fault(**{field.name: getattr(given, field.name) for field in fields(Fault)})
                   for given in day.faults)
    return Scenario(
        dispatchers=day.dispatchers, runners=day.runners, slots=day.slots, seconds=day.seconds,
        rate=day.load * day.runners * day.slots / day.work / day.dispatchers, work=int(day.work * SECOND),
        report_every=int(day.report_every * SECOND), list_late=int(day.list_late * SECOND),
        way=int(day.way * SECOND), cross=int(day.cross * SECOND), retries=day.retries, faults=faults)


def _one(told: tuple[str, str, Scenario, int]) -> tuple[str, Row]:
    case, policy, scenario, seed = told
    return case, play(policy, scenario, replace(ORDERS, may_cancel=False), seed)


def run(file: File, scenarios: dict[str, Scenario], workers: int) -> list[tuple[str, Row]]:
    """All rows in the file's order, whoever played them."""
    all_of_it = [(case, policy, scenario, seed) for case, scenario in scenarios.items()
                 for policy in dict.fromkeys(file.policies) for seed in range(1, file.seeds + 1)]
    if workers <= 1:
        return [_one(one) for one in all_of_it]
    with ProcessPoolExecutor(workers) as pool:
        return list(pool.map(_one, all_of_it, chunksize=1))


def shares(rows: Sequence[tuple[str, Row]], case: str, policy: str) -> list[float]:
    return [row.in_time for name, row in rows if name == case and row.policy == policy]


def table(rows: Sequence[tuple[str, Row]], path: Path) -> None:
    with path.open("w", newline="") as out:
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(["case", "policy", "seed", "units", "in_time", "rules_broken"])
        writer.writerows([case, row.policy, row.seed, row.units, f"{row.in_time:.6f}", row.broken]
                         for case, row in rows)


def summary(file: File, rows: Sequence[tuple[str, Row]]) -> list[str]:
    lines = [f"{file.title or file.name}: share of units in time, mean of {file.seeds} seeds; "
             f"crankfold less the other with 95% interval; made by crankfold {__version__}"]
    for case in file.case:
        ours = shares(rows, case.name, OURS)
        lines.append(f"{case.name}: {OURS} {sum(ours) / len(ours):.3f}")
        for policy in dict.fromkeys(file.policies):
            if policy != OURS:
                theirs = shares(rows, case.name, policy)
                mean, low, high = interval(ours, theirs)
                lines.append(f"  {policy} {sum(theirs) / len(theirs):.3f}; {mean:+.3f} "
                             f"({low:+.3f} to {high:+.3f}): {verdict(low, high)}")
    broken = sum(row.broken for _, row in rows if row.policy == OURS)
    return [*lines, f"rules broken by {OURS}: {broken}"]


def chart(file: File, rows: Sequence[tuple[str, Row]], path: Path) -> None:
    """A panel for each group of cases, a line for each policy; the same bytes each time."""
    import matplotlib
    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = file.name
    from matplotlib import pyplot

    groups = list(dict.fromkeys(case.group for case in file.case))
    figure, panels = pyplot.subplots(1, len(groups), sharey=True, squeeze=False,
                                     figsize=(3.2 * len(groups) + 1, 3.4))
    for panel, group in zip(panels[0], groups, strict=True):
        cases = [case for case in file.case if case.group == group]
        for policy in dict.fromkeys(file.policies):
            means = [sum(one := shares(rows, case.name, policy)) / len(one) for case in cases]
            panel.plot([str(f"{case.at:g}") for case in cases], means, marker="o", markersize=3,
                       linewidth=2.0 if policy == OURS else 0.9, label=policy)
        panel.set_title(group, fontsize=9)
        panel.set_xlabel(file.across, fontsize=8)
        panel.tick_params(labelsize=7)
        panel.grid(alpha=0.3)
    panels[0][0].set_ylabel("in time", fontsize=8)
    panels[0][-1].legend(fontsize=7)
    figure.suptitle(file.title or file.name, fontsize=10)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
