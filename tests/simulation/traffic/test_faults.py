"""Faults in a simulated fleet: each kind has its effect and breaks no invariant."""

from dataclasses import replace

from crankfold.routing.router import Router
from crankfold.simulation.traffic.comparison import DEFAULT_CONFIG
from crankfold.simulation.traffic.faults import Fault, FaultKind, affected_indices
from crankfold.simulation.traffic.fleet import SimulatedFleet
from crankfold.simulation.traffic.invariants import Answer
from crankfold.simulation.traffic.scenario import Scenario
from crankfold.time_units import TICKS_PER_SECOND
from tests.fixtures import TraceTestCase

SLOTS = Scenario().slots_per_backend

SCENARIO = Scenario(
    dispatcher_count=6, backend_count=9, arrival_rate=12.0, mean_service_time=3_500, seconds=8, seed=3
)


class FaultsTest(TraceTestCase):
    def run_fleet(self, *faults: Fault, **fields: object) -> tuple[SimulatedFleet, float]:
        """Runs the scenario with these faults and fields; returns the fleet and its on-time share."""
        fleet = SimulatedFleet(
            replace(SCENARIO, faults=faults, **fields),  # type: ignore[arg-type]
            replace(DEFAULT_CONFIG, hedging_allowed=True),
            Router,
        )
        fleet.run()
        return fleet, fleet.on_time_count / fleet.request_count

    def test_each_fault_kind_affects_requests_and_violates_no_invariant(self) -> None:
        _, share_without_fault = self.run_fleet()
        self.record(f"calm: over 95 of a hundred in time: {share_without_fault > 0.95}")
        factors = {FaultKind.ERRORS: 0.7, FaultKind.BURST: 2.5}
        for kind in FaultKind:
            # Stale reports and delayed discovery have an effect only when backends change at the same time.
            release = (Fault(FaultKind.ROLLING_RELEASE, 2.0, 3.5, 0.4),)
            other_faults = {
                FaultKind.DISCOVERY_DOWN: release,
                FaultKind.SILENT_WATCH: release,
                FaultKind.STALE_REPORTS: (Fault(FaultKind.SLOW, 1.0, 7.0, 0.3),),
            }.get(kind, ())
            fields = {"dispatcher_count": 2, "arrival_rate": 36.0} if kind == FaultKind.STALE_REPORTS else {}
            base_share = self.run_fleet(*other_faults, **fields)[1] if other_faults else share_without_fault
            fleet, share = self.run_fleet(
                Fault(kind, 2.0, 5.0, 0.4, factor=factors.get(kind, 4.0)), *other_faults, **fields
            )
            answers = [record.answer for record in fleet.invariants.requests.values()]
            self.record(
                f"{kind.value}: felt {share != base_share}, all answered {all(answers)}, "
                f"lost with a dispatcher {'lost' in answers}, rules broken {len(fleet.invariants.violations)}"
            )
        self.assert_matches_trace("emulator-faults")

    def test_faults_have_effects_of_their_kinds(self) -> None:
        def count_not_completed(error_share: float) -> int:
            fleet, _ = self.run_fleet(Fault(FaultKind.ERRORS, 1.0, 7.0, 1.0, factor=error_share))
            return sum(record.answer != Answer.COMPLETED for record in fleet.invariants.requests.values())

        self.assertLess(count_not_completed(0.1), count_not_completed(0.9))
        fleet, _ = self.run_fleet(Fault(FaultKind.ZONE_LOSS, 2.0, 4.0, zone=1))
        self.assertEqual([backend.index for backend in fleet.backends if backend.ready_since], [1, 4, 7])
        fleet, _ = self.run_fleet(Fault(FaultKind.DISPATCHERS_KILLED, 2.0, 4.0, 0.5))
        self.assertEqual(sum(dispatcher.alive for dispatcher in fleet.dispatchers), 6)
        usual_count, burst_count = (
            self.run_fleet(Fault(FaultKind.BURST, 2.0, 4.0, factor=factor))[0].request_count
            for factor in (1.0, 3.0)
        )
        self.assertGreater(burst_count, 1.3 * usual_count)
        shedding_fleet, _ = self.run_fleet(Fault(FaultKind.BURST, 1.0, 7.0, factor=6.0), client_retries=3)
        # The requests exceed those of the load, as clients retry shed ones.
        self.assertGreater(len(shedding_fleet.invariants.requests), shedding_fleet.request_count)
        slow_share, fast_share = (
            self.run_fleet(cross_zone_delay=300)[1],
            self.run_fleet(cross_zone_delay=0)[1],
        )
        self.assertLess(slow_share, fast_share)

    def test_affected_indices_depend_on_seed(self) -> None:
        fault = Fault(FaultKind.SLOW, 1.0, 2.0, 0.25)
        self.assertEqual(affected_indices(fault, 1, 40), affected_indices(fault, 1, 40))
        self.assertNotEqual(affected_indices(fault, 1, 40), affected_indices(fault, 2, 40))
        self.assertEqual((len(affected_indices(fault, 1, 40)), len(affected_indices(fault, 1, 1))), (10, 1))

    # Guards against overload of a backend in slow start by several dispatchers: each limits itself to its
    # fraction of the load, but has no information on the long requests that the others send to the backend.
    def test_release_under_burst_overloads_no_warming_backend(self) -> None:
        mean_service_ticks = 3500
        dispatchers, backends, load = 21, 12, 0.6
        fleet = SimulatedFleet(
            Scenario(
                dispatcher_count=dispatchers,
                backend_count=backends,
                arrival_rate=load * backends * SLOTS * TICKS_PER_SECOND / mean_service_ticks / dispatchers,
                mean_service_time=mean_service_ticks,
                seconds=14,
                seed=7,
                faults=(
                    Fault(FaultKind.ROLLING_RELEASE, 2.0, 5.0, 0.5),
                    Fault(FaultKind.BURST, 4.0, 9.0, factor=1.5),
                ),
            ),
            DEFAULT_CONFIG,
            Router,
        )
        fleet.run()
        self.assertEqual(fleet.invariants.violations, [])
