"""A lost zone that returns in slow start while a tenth of the fleet is out for maintenance."""

import unittest
from dataclasses import replace

from crankfold.simulation.maintenance.study import Strategy, run_study
from crankfold.simulation.traffic.comparison import DEFAULT_CONFIG
from crankfold.simulation.traffic.faults import Fault, FaultKind
from crankfold.simulation.traffic.scenario import Scenario
from crankfold.time_units import TICKS_PER_SECOND

DISPATCHERS, BACKENDS, SLOTS = 40, 100, 4  # slots of each backend
LOAD = 0.6  # mean share of all slots in use
MEAN_SERVICE_TICKS = 4000
SCENARIO = Scenario(
    dispatcher_count=DISPATCHERS,
    backend_count=BACKENDS,
    slots_per_backend=SLOTS,
    mean_service_time=MEAN_SERVICE_TICKS,
    seconds=70,
    discovery_delay=3000,
    arrival_rate=LOAD * BACKENDS * SLOTS * TICKS_PER_SECOND / MEAN_SERVICE_TICKS / DISPATCHERS,
    faults=(Fault(FaultKind.ZONE_LOSS, 20, 28), Fault(FaultKind.DEAD, 40, 55, share=0.05)),
)
CONFIG = replace(DEFAULT_CONFIG, warm_up_time=30_000)


class LostZoneTest(unittest.TestCase):
    """Guards against overload of a backend in slow start when a lost zone returns during maintenance."""

    def test_return_overloads_no_warming_backend_by_id(self) -> None:
        self.assertEqual(run_study(Strategy.BY_ID, SCENARIO, CONFIG, 1).violation_count, 0)

    def test_return_overloads_no_warming_backend_at_random(self) -> None:
        self.assertEqual(run_study(Strategy.AT_RANDOM, SCENARIO, CONFIG, 6).violation_count, 0)
