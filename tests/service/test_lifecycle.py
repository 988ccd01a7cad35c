"""The lifecycle of a process: starting, in service, draining, out of service, shutting down."""

from crankfold.service.lifecycle import Lifecycle
from tests.fixtures import TraceTestCase


class LifecycleTest(TraceTestCase):
    def test_states_from_start_to_shutdown(self) -> None:
        lifecycle = Lifecycle()

        def record_state(at: float, event: str, result: bool | None = None) -> None:
            self.record(
                f"{at:3} {event}{'' if result is None else ' yes' if result else ' no'}: "
                f"{lifecycle.state.value}"
                f"{', healthy' if lifecycle.is_serving() else ''}"
                f"{', last answers' if lifecycle.is_leaving() else ''}"
                f"{', closes idle' if lifecycle.closes_idle_connections(at) else ''}"
            )

        record_state(0.0, "made")
        lifecycle.start_serving(0.1)
        record_state(0.1, "begun")
        record_state(1.0, "leave", lifecycle.start_drain(1.0))
        record_state(1.2, "empty already", lifecycle.finish_drain(1.2, True))
        record_state(2.0, "leave again", lifecycle.start_drain(2.0))
        record_state(2.6, "somebody left", lifecycle.finish_drain(2.6, False))
        record_state(2.7, "back in the middle", lifecycle.resume_serving(2.7))
        record_state(2.8, "nobody left, but in service", lifecycle.finish_drain(2.8, True))
        record_state(3.0, "leave", lifecycle.start_drain(3.0))
        record_state(5.0, "nobody left", lifecycle.finish_drain(5.0, True))
        record_state(5.1, "leave again", lifecycle.start_drain(5.1))
        record_state(6.0, "back", lifecycle.resume_serving(6.0))
        record_state(6.1, "back again", lifecycle.resume_serving(6.1))
        lifecycle.start_shutdown(7.0)
        record_state(7.0, "ended")
        record_state(7.1, "leave", lifecycle.start_drain(7.1))
        record_state(7.2, "back", lifecycle.resume_serving(7.2))
        drained_before_start = Lifecycle()
        drained_before_start.start_drain(0.0)
        drained_before_start.start_serving(0.1)
        self.record(f"told to leave before it had begun: {drained_before_start.state.value}")
        self.assert_matches_trace("operators-duty")
