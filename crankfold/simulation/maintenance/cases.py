"""The cases of simulated maintenance: a cluster, its machines, losses of machines, and the jobs."""

from dataclasses import dataclass, replace
from random import Random
from typing import NamedTuple

from crankfold.simulation.consensus.cluster import ClusterCase, Document, random_scenario
from crankfold.time_units import TICKS_PER_SECOND

# Parameters of random cases.
RANDOM_CASE_SECONDS = 40.0
RANDOM_MACHINE_COUNT = 9
RANDOM_ZONE_COUNT = 3
CLUSTER_SIZES = ((3, 2), (3, 3), (5, 1))  # (voters, followers)
FAULTY_SHARE = 0.6  # share of the duration that has faults
PUBLISH_INTERVAL_SECONDS = 3.0
UNHEALTHY_SHARE = 0.3  # share of the cases with one unhealthy machine
MIN_UP_TICKS = 8000  # between the losses of the same machine
MAX_MACHINE_LOSSES = 2
FIRST_LOSS_TICKS = 20_000
LOSS_DURATIONS_TICKS = (10_000, 60_000)
ZONE_LOSS_SHARE = 0.2  # share of the cases that lose all machines of a zone
ZONE_LOSS_DURATION_TICKS = 50_000
# Values of the fields of random jobs, in the form that operators publish.
MAX_OUT_VALUES = (1, 2, 3)  # machines
MAX_OUT_PER_ZONE_VALUES = (0, 1, 2)  # machines; 0 for no limit
REMAINING_SHARES = (0.0, 0.5, 0.7)  # of all machines
WORK_SECONDS = (2.0, 30.0)
WATCH_SECONDS = 1.0
MIN_ANSWER_VALUES = (0, 3)  # answers
COVERED_MACHINE_COUNTS = (2, 4)
SHARED_QUOTA_SHARE = 0.7  # share of the jobs that set `shares`
JOB_COUNTS = (1, 2, 2)


class MachineLoss(NamedTuple):
    """A period in which a machine is down, in ticks."""

    begin: int
    end: int
    machine_id: str


@dataclass(frozen=True, slots=True)
class MaintenanceCase:
    """A case of a cluster with machines and jobs."""

    cluster_case: ClusterCase
    jobs: dict[str, Document]  # by name, in the form that operators publish
    machine_count: int = RANDOM_MACHINE_COUNT
    zone_count: int = RANDOM_ZONE_COUNT
    losses: tuple[MachineLoss, ...] = ()
    unhealthy: frozenset[str] = frozenset()  # machines that answer badly after their next start
    work_duration: int = 6000  # ticks of the work on a machine
    request_rate: float = 0.6  # probability that a dispatcher sends a request in a round
    faults_end_at: int = 0  # ticks; with 0, the final state is not checked


def draw_jobs(rng: Random) -> dict[str, Document]:
    """Returns one or two random jobs, in the form that operators publish."""
    methods: list[Document] = [
        {"way": "hand"},
        {"way": "list"},
        {"way": "command", "command": ["x"]},
        {"way": "command", "command": ["x"], "again": True},
    ]
    return {
        name: {
            "at-once": rng.choice(MAX_OUT_VALUES),
            "a-zone": rng.choice(MAX_OUT_PER_ZONE_VALUES),
            "stays": rng.choice(REMAINING_SHARES),
            "takes": rng.choice(WORK_SECONDS),
            "watch": WATCH_SECONDS,
            "least-answers": rng.choice(MIN_ANSWER_VALUES),
            "not-back": rng.choice(("hold", "go-on")),
            "machines": [
                f"m{n}" for n in rng.sample(range(RANDOM_MACHINE_COUNT), rng.choice(COVERED_MACHINE_COUNTS))
            ],
            "shares": rng.random() < SHARED_QUOTA_SHARE,
            **rng.choice(methods),
        }
        for name in ("disks", "racks")[: rng.choice(JOB_COUNTS)]
    }


def draw_case(seed: int, seconds: float = RANDOM_CASE_SECONDS) -> MaintenanceCase:
    """Returns a case with random faults of members and machines in the first `FAULTY_SHARE` of its duration.

    Args:
        seed: The same seed gives the same case.
        seconds: Duration of the case.
    """
    rng = Random(f"yard {seed}")
    voter_count, follower_count = rng.choice(CLUSTER_SIZES)
    faulty_seconds = seconds * FAULTY_SHARE
    cluster_case = replace(
        random_scenario(seed, voter_count, follower_count, seconds=faulty_seconds),
        seconds=seconds,
        publish_every=PUBLISH_INTERVAL_SECONDS,
        publish_until=faulty_seconds,
    )
    faults_end_at = int(faulty_seconds * TICKS_PER_SECOND)
    losses = _draw_losses(rng, faults_end_at)
    has_unhealthy = rng.random() < UNHEALTHY_SHARE
    unhealthy = frozenset({f"m{rng.randrange(RANDOM_MACHINE_COUNT)}"} if has_unhealthy else ())
    # The jobs are drawn last, as the case of a seed depends on the order of the random draws.
    return MaintenanceCase(
        cluster_case=cluster_case,
        jobs=draw_jobs(rng),
        losses=losses,
        unhealthy=unhealthy,
        faults_end_at=faults_end_at,
    )


def _draw_losses(rng: Random, faults_end_at: int) -> tuple[MachineLoss, ...]:
    """Returns random losses of single machines, and sometimes the loss of a zone."""
    losses: list[MachineLoss] = []
    for _ in range(rng.randrange(MAX_MACHINE_LOSSES + 1)):
        begin = rng.randrange(FIRST_LOSS_TICKS, faults_end_at)
        end = begin + rng.choice(LOSS_DURATIONS_TICKS)
        losses.append(MachineLoss(begin, end, f"m{rng.randrange(RANDOM_MACHINE_COUNT)}"))
    if rng.random() < ZONE_LOSS_SHARE:
        begin = rng.randrange(FIRST_LOSS_TICKS, faults_end_at)
        zone = range(0, RANDOM_MACHINE_COUNT, RANDOM_ZONE_COUNT)
        losses += [MachineLoss(begin, begin + ZONE_LOSS_DURATION_TICKS, f"m{n}") for n in zone]
    return _without_overlaps(losses)


def _without_overlaps(losses: list[MachineLoss]) -> tuple[MachineLoss, ...]:
    accepted: list[MachineLoss] = []
    for loss in sorted(losses):
        overlaps = (
            loss.machine_id == other.machine_id and loss.begin < other.end + MIN_UP_TICKS
            for other in accepted
        )
        if not any(overlaps):
            accepted.append(loss)
    return tuple(accepted)
