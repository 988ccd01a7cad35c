"""A lost zone that returns cold while a tenth of the fleet is out for maintenance."""

import unittest
from dataclasses import replace

from crankfold.simulation.maintenance.study import Strategy, run_study
from crankfold.simulation.traffic.comparison import DEFAULT_CONFIG
from crankfold.simulation.traffic.faults import Fault, FaultKind
from crankfold.simulation.traffic.scenario import Scenario
from crankfold.time_units import TICKS_PER_SECOND

DISPATCHERS, BACKENDS, SLOTS = 40, 100, 4
LOAD = 0.6
WORK = 4000  # ticks
DAY = Scenario(
    dispatcher_count=DISPATCHERS,
    backend_count=BACKENDS,
    slots_per_backend=SLOTS,
    mean_service_time=WORK,
    seconds=70,
    discovery_delay=3000,
    arrival_rate=LOAD * BACKENDS * SLOTS * TICKS_PER_SECOND / WORK / DISPATCHERS,
    faults=(Fault(FaultKind.ZONE_LOSS, 20, 28), Fault(FaultKind.DEAD, 40, 55, share=0.05)),
)
CONFIG = replace(DEFAULT_CONFIG, warm_up_time=30_000)


class LostZone(unittest.TestCase):
    """Each shows that a zone's return beside maintenance pushes a warming backend over."""

    def test_its_return_pushes_no_warming_backend_over_by_id(self) -> None:
        self.assertEqual(run_study(Strategy.BY_ID, DAY, CONFIG, 1).violation_count, 0)

    def test_its_return_pushes_no_warming_backend_over_at_random(self) -> None:
        self.assertEqual(run_study(Strategy.AT_RANDOM, DAY, CONFIG, 6).violation_count, 0)
