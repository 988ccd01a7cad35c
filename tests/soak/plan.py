"""The plan of a soak run, drawn from its seed: request classes, load and faults."""

import random
from dataclasses import dataclass

from tests.soak.faulty_process import ProcessFaults
from tests.soak.observations import RequestClass


@dataclass(frozen=True)
class RunPlan:
    """The load and the faults of one run."""

    seed: int
    classes: tuple[RequestClass, ...]
    clients: int
    backends: int
    faults: ProcessFaults
    crowd: bool
    discovery: str
    hang_in_shutdown: bool
    early_signal: bool

    @classmethod
    def draw(cls, seed: int, plant: str = "") -> "RunPlan":
        """Returns the plan of a seed, with a planted fault if `plant` names one."""
        rng = random.Random(seed)
        short_timeout = rng.choice([0.25, 0.5, 1.0])
        classes = (
            RequestClass("safe", "safe", short_timeout),
            RequestClass("keyed", "keyed", 2 * short_timeout, window=short_timeout),
            RequestClass("unsafe", "unsafe", 2 * short_timeout),
        )
        # Among more backends the share of the new one stays within its slow-start budget anyway.
        has_one_backend = plant == "slow start"
        return cls(
            seed=seed,
            classes=classes,
            clients=30 if has_one_backend else rng.choice([6, 10, 14]),
            backends=1 if has_one_backend else rng.randint(4, 6),
            faults=ProcessFaults(
                seed=seed,
                accept=rng.choice([0.0, 0.1, 0.4]),
                connect=rng.choice([0.0, 0.05]),
                short=rng.choice([0.0, 0.1, 0.3]),
                broken=rng.choice([0.0, 0.002]),
                clock_seconds=rng.choice([0.0, 5.0, -5.0, 3600.0, -3600.0]),
                step_after=rng.choice([0.0, 2.0]),
                plant=plant,
            ),
            crowd=not plant and rng.random() < 0.25,
            discovery=rng.choice(["well", "silent", "pieces"]),
            hang_in_shutdown=rng.random() < 0.4,
            early_signal=rng.random() < 0.3,
        )
