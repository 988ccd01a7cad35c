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

DAY = Scenario(
    dispatcher_count=6, backend_count=9, arrival_rate=12.0, mean_service_time=3_500, seconds=8, seed=3
)


class FaultsTest(TraceTestCase):
    def play(self, *faults: Fault, **day: object) -> tuple[SimulatedFleet, float]:
        world = SimulatedFleet(
            replace(DAY, faults=faults, **day),  # type: ignore[arg-type]
            replace(DEFAULT_CONFIG, hedging_allowed=True),
            Router,
        )
        world.run()
        return world, world.on_time_count / world.request_count

    def test_every_kind_of_fault_is_felt_and_no_rule_breaks(self) -> None:
        _, calm = self.play()
        self.record(f"calm: over 95 of a hundred in time: {calm > 0.95}")
        factor = {FaultKind.ERRORS: 0.7, FaultKind.BURST: 2.5}
        for kind in FaultKind:
            # With reports that stand still or lists that are down something else has to happen to be felt.
            release = (Fault(FaultKind.ROLLING_RELEASE, 2.0, 3.5, 0.4),)
            more = {
                FaultKind.DISCOVERY_DOWN: release,
                FaultKind.SILENT_WATCH: release,
                FaultKind.STALE_REPORTS: (Fault(FaultKind.SLOW, 1.0, 7.0, 0.3),),
            }.get(kind, ())
            day = {"dispatcher_count": 2, "arrival_rate": 36.0} if kind == FaultKind.STALE_REPORTS else {}
            base = self.play(*more, **day)[1] if more else calm
            world, share = self.play(Fault(kind, 2.0, 5.0, 0.4, factor=factor.get(kind, 4.0)), *more, **day)
            answers = [record.answer for record in world.invariants.requests.values()]
            self.record(
                f"{kind.value}: felt {share != base}, all answered {all(answers)}, "
                f"lost with a dispatcher {'lost' in answers}, rules broken {len(world.invariants.violations)}"
            )
        self.assert_matches_trace("emulator-faults")

    def test_a_fault_changes_the_fleet_as_its_kind_says(self) -> None:
        def errors(share: float) -> int:
            world, _ = self.play(Fault(FaultKind.ERRORS, 1.0, 7.0, 1.0, factor=share))
            return sum(record.answer != Answer.COMPLETED for record in world.invariants.requests.values())

        self.assertLess(errors(0.1), errors(0.9))
        world, _ = self.play(Fault(FaultKind.ZONE_LOSS, 2.0, 4.0, zone=1))
        self.assertEqual([r.index for r in world.backends if r.ready_since], [1, 4, 7])
        world, _ = self.play(Fault(FaultKind.DISPATCHERS_KILLED, 2.0, 4.0, 0.5))
        self.assertEqual(sum(dispatcher.alive for dispatcher in world.dispatchers), 6)
        before, after = (
            self.play(Fault(FaultKind.BURST, 2.0, 4.0, factor=f))[0].request_count for f in (1.0, 3.0)
        )
        self.assertGreater(after, 1.3 * before)
        shed, _ = self.play(Fault(FaultKind.BURST, 1.0, 7.0, factor=6.0), client_retries=3)
        self.assertGreater(len(shed.invariants.requests), shed.request_count)  # who was shed came again
        far, near = self.play(cross_zone_delay=300)[1], self.play(cross_zone_delay=0)[1]
        self.assertLess(far, near)

    def test_the_affected_indices_depend_on_the_seed_alone(self) -> None:
        fault = Fault(FaultKind.SLOW, 1.0, 2.0, 0.25)
        self.assertEqual(affected_indices(fault, 1, 40), affected_indices(fault, 1, 40))
        self.assertNotEqual(affected_indices(fault, 1, 40), affected_indices(fault, 2, 40))
        self.assertEqual((len(affected_indices(fault, 1, 40)), len(affected_indices(fault, 1, 1))), (10, 1))

    # Shows that many dispatchers may each send a heavy request to a backend that warms up, and push it over.
    def test_a_release_under_a_burst_pushes_no_warming_backend_over(self) -> None:
        work = 3500  # ticks
        dispatchers, backends, load = 21, 12, 0.6
        world = SimulatedFleet(
            Scenario(
                dispatcher_count=dispatchers,
                backend_count=backends,
                arrival_rate=load * backends * SLOTS * TICKS_PER_SECOND / work / dispatchers,
                mean_service_time=work,
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
        world.run()
        self.assertEqual(world.invariants.violations, [])
