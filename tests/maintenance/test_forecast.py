"""The forecast of a job: when each machine is drained, and which ones never are."""

from crankfold.maintenance.forecast import ForecastInputs, forecast_job
from crankfold.maintenance.specification import JobSpecification
from tests.fixtures import TraceTestCase
from tests.maintenance.machines import MACHINES


class ForecastTest(TraceTestCase):
    def test_forecast_has_departure_times_and_wait_reasons(self) -> None:
        jobs = {
            "disks": JobSpecification(
                max_out=2,
                max_out_per_zone=1,
                min_remaining_share=0.5,
                work_seconds=60.0,
                watch_seconds=5.0,
                machines=["m00", "m03", "m01", "m99"],
            ),
            "racks": JobSpecification(
                machines=["m01"], work_seconds=30.0, watch_seconds=5.0, after=["disks"]
            ),
        }
        for name in jobs:
            forecast = forecast_job(
                name,
                ForecastInputs(
                    jobs=jobs,
                    machines=MACHINES,
                    out_for={},
                    completed=set(),
                    now_ms=0,
                    drain_seconds=3.0,
                    warm_up_seconds=10.0,
                ),
            )
            for departure in forecast.departures:
                times = f"{departure.begin_seconds:.0f} to {departure.end_seconds:.0f} s"
                self.record(
                    f"{name}: {times} {departure.machine_id} {departure.zone} {departure.waited_for}".rstrip()
                )
            self.record(f"{name} never: {forecast.wait_reasons}")
        self.assert_matches_trace("works-plan")
