"""The lifecycle of a process: in service, draining, out of service, ending."""

from crankfold.service.lifecycle import Lifecycle
from tests.fixtures import TraceTestCase


class LifecycleTest(TraceTestCase):
    def test_duty_from_start_to_end(self) -> None:
        lifecycle = Lifecycle()

        def record(at: float, what: str, yes: bool | None = None) -> None:
            self.record(
                f"{at:3} {what}{'' if yes is None else ' yes' if yes else ' no'}: {lifecycle.state.value}"
                f"{', healthy' if lifecycle.is_serving() else ''}"
                f"{', last answers' if lifecycle.is_leaving() else ''}"
                f"{', closes idle' if lifecycle.closes_idle_connections(at) else ''}"
            )

        record(0.0, "made")
        lifecycle.start_serving(0.1)
        record(0.1, "begun")
        record(1.0, "leave", lifecycle.start_drain(1.0))
        record(1.2, "empty already", lifecycle.finish_drain(1.2, True))
        record(2.0, "leave again", lifecycle.start_drain(2.0))
        record(2.6, "somebody left", lifecycle.finish_drain(2.6, False))
        record(2.7, "back in the middle", lifecycle.resume_serving(2.7))
        record(2.8, "nobody left, but in service", lifecycle.finish_drain(2.8, True))
        record(3.0, "leave", lifecycle.start_drain(3.0))
        record(5.0, "nobody left", lifecycle.finish_drain(5.0, True))
        record(5.1, "leave again", lifecycle.start_drain(5.1))
        record(6.0, "back", lifecycle.resume_serving(6.0))
        record(6.1, "back again", lifecycle.resume_serving(6.1))
        lifecycle.start_shutdown(7.0)
        record(7.0, "ended")
        record(7.1, "leave", lifecycle.start_drain(7.1))
        record(7.2, "back", lifecycle.resume_serving(7.2))
        early = Lifecycle()
        early.start_drain(0.0)
        early.start_serving(0.1)
        self.record(f"told to leave before it had begun: {early.state.value}")
        self.assert_matches_trace("operators-duty")
