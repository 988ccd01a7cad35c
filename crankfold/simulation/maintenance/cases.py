"""Cases for the simulated maintenance of a fleet, given by hand or drawn by a seed."""

from dataclasses import dataclass, replace
from random import Random
from typing import Any, NamedTuple

from crankfold.simulation.consensus.cluster import ClusterCase, random_scenario
from crankfold.time_units import TICKS_PER_SECOND

DRAWN_MACHINE_COUNT = 9
DRAWN_ZONE_COUNT = 3
FAULTY_PART = 0.6  # of a drawn case's time; the rest is free of faults
MIN_UP_TICKS = 8000  # between two losses of the same machine


class MachineLoss(NamedTuple):
    """A machine that is down from one time to another, in ticks."""

    begin: int
    end: int
    machine_id: str


@dataclass(frozen=True, slots=True)
class MaintenanceCase:
    """A cluster's case, with machines and jobs."""

    cluster_case: ClusterCase
    jobs: dict[str, dict[str, Any]]  # as operators hand them in
    machine_count: int = 9
    zone_count: int = 3
    losses: tuple[MachineLoss, ...] = ()
    unhealthy: frozenset[str] = frozenset()  # machines whose answers are bad from their next start on
    work_duration: int = 6000  # ticks that the work on a machine takes
    request_rate: float = 0.6  # requests of a dispatcher in each round
    faults_end_at: int = 0  # ticks; 0 if that is not known, and the end is not checked


def draw_jobs(rng: Random) -> dict[str, dict[str, Any]]:
    """One or two jobs, as operators would hand them in."""
    methods: list[dict[str, Any]] = [
        {"way": "hand"},
        {"way": "list"},
        {"way": "command", "command": ["x"]},
        {"way": "command", "command": ["x"], "again": True},
    ]
    return {
        name: {
            "at-once": rng.choice((1, 2, 3)),
            "a-zone": rng.choice((0, 1, 2)),
            "stays": rng.choice((0.0, 0.5, 0.7)),
            "takes": rng.choice((2.0, 30.0)),
            "watch": 1.0,
            "least-answers": rng.choice((0, 3)),
            "not-back": rng.choice(("hold", "go-on")),
            "machines": [f"m{n}" for n in rng.sample(range(DRAWN_MACHINE_COUNT), rng.choice((2, 4)))],
            "shares": rng.random() < 0.7,
            **rng.choice(methods),
        }
        for name in ("disks", "racks")[: rng.choice((1, 2, 2))]
    }


def draw_case(seed: int, seconds: float = 40.0) -> MaintenanceCase:
    """A case with faults of members and machines drawn by the seed; the last part is free of them.

    Args:
        seed: The same seed draws the same case.
        seconds: How long it lasts.
    """
    rng = Random(f"yard {seed}")
    voter_count, follower_count = rng.choice(((3, 2), (3, 3), (5, 1)))
    faulty_seconds = seconds * FAULTY_PART
    cluster_case = replace(
        random_scenario(seed, voter_count, follower_count, seconds=faulty_seconds),
        seconds=seconds,
        publish_every=3.0,
        publish_until=faulty_seconds,
    )
    faults_end_at = int(faulty_seconds * TICKS_PER_SECOND)
    losses = _draw_losses(rng, faults_end_at)
    unhealthy = frozenset({f"m{rng.randrange(DRAWN_MACHINE_COUNT)}"} if rng.random() < 0.3 else ())
    # The jobs are drawn last: a seed keeps its case as long as the order of drawing stays.
    return MaintenanceCase(
        cluster_case=cluster_case,
        jobs=draw_jobs(rng),
        losses=losses,
        unhealthy=unhealthy,
        faults_end_at=faults_end_at,
    )


def _draw_losses(rng: Random, faults_end_at: int) -> tuple[MachineLoss, ...]:
    """Losses of single machines, and of a zone in some cases."""
    losses: list[MachineLoss] = []
    for _ in range(rng.randrange(3)):
        begin = rng.randrange(20_000, faults_end_at)
        end = begin + rng.choice((10_000, 60_000))
        losses.append(MachineLoss(begin, end, f"m{rng.randrange(DRAWN_MACHINE_COUNT)}"))
    if rng.random() < 0.2:
        begin = rng.randrange(20_000, faults_end_at)
        zone = range(0, DRAWN_MACHINE_COUNT, DRAWN_ZONE_COUNT)
        losses += [MachineLoss(begin, begin + 50_000, f"m{n}") for n in zone]
    return _without_overlaps(losses)


def _without_overlaps(losses: list[MachineLoss]) -> tuple[MachineLoss, ...]:
    chosen: list[MachineLoss] = []
    for loss in sorted(losses):
        overlaps = (
            loss.machine_id == other.machine_id and loss.begin < other.end + MIN_UP_TICKS for other in chosen
        )
        if not any(overlaps):
            chosen.append(loss)
    return tuple(chosen)
