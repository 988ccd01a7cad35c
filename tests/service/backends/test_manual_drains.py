"""Manual drains override the endpoint list."""

from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.backends.manual_drains import ManualDrains
from tests.fixtures import TraceTestCase


class ManualDrainsTest(TraceTestCase):
    def test_drains_override_listed_state_and_start(self) -> None:
        drains = ManualDrains()

        def record_endpoint(now: int, state: EndpointState, started_at: int) -> None:
            endpoint = drains.apply_to("a", Endpoint(0, state, 1.0, 0, 0, started_at))
            self.record(
                f"{now}: listed {state.name.lower()} started {started_at}: counts as "
                f"{endpoint.state.name.lower()} started {endpoint.started_at}"
            )

        record_endpoint(10, EndpointState.READY, 0)
        self.record(f"20: drained {drains.drain('a', 20)}, again {drains.drain('a', 25)}")
        record_endpoint(30, EndpointState.READY, 0)
        record_endpoint(31, EndpointState.DRAINING, 0)
        record_endpoint(32, EndpointState.REMOVED, 0)
        self.record("the list still shows the old start")
        self.record(f"40: restored {drains.restore('a', 40, False)}, again {drains.restore('a', 41, False)}")
        record_endpoint(42, EndpointState.READY, 0)
        self.record("drained and restored once more, on the same connection: warming up as before")
        self.record(f"44: drained {drains.drain('a', 44)}; 45: restored {drains.restore('a', 45, True)}")
        record_endpoint(46, EndpointState.READY, 0)
        self.record("the list shows a start during the drain: it may be of a restart before it")
        record_endpoint(50, EndpointState.READY, 24)
        record_endpoint(51, EndpointState.READY, 24)
        self.record("the list shows a start since the restoring")
        record_endpoint(52, EndpointState.READY, 48)
        record_endpoint(53, EndpointState.READY, 48)
        self.record(
            f"60: drained {drains.drain('a', 60)}; "
            f"70: restored, never restarted {drains.restore('a', 70, True)}"
        )
        record_endpoint(71, EndpointState.READY, 48)
        self.assert_matches_trace("manual-drains")
