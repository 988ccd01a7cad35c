"""The lifecycle of a process: in service, draining, out of service, ending."""

from crankfold.service.lifecycle import Lifecycle
from tests.scene import TraceTestCase


class Decided(TraceTestCase):
    def test_duty_from_start_to_end(self) -> None:
        duty = Lifecycle()

        def shown(at: float, what: str, yes: bool | None = None) -> None:
            self.say(
                f"{at:3} {what}{'' if yes is None else ' yes' if yes else ' no'}: {duty.state.value}"
                f"{', healthy' if duty.is_serving() else ''}{', last answers' if duty.is_leaving() else ''}"
                f"{', closes idle' if duty.closes_idle_connections(at) else ''}"
            )

        shown(0.0, "made")
        duty.start_serving(0.1)
        shown(0.1, "begun")
        shown(1.0, "leave", duty.start_drain(1.0))
        shown(1.2, "empty already", duty.finish_drain(1.2, True))
        shown(2.0, "leave again", duty.start_drain(2.0))
        shown(2.6, "somebody left", duty.finish_drain(2.6, False))
        shown(2.7, "back in the middle", duty.resume_serving(2.7))
        shown(2.8, "nobody left, but in service", duty.finish_drain(2.8, True))
        shown(3.0, "leave", duty.start_drain(3.0))
        shown(5.0, "nobody left", duty.finish_drain(5.0, True))
        shown(5.1, "leave again", duty.start_drain(5.1))
        shown(6.0, "back", duty.resume_serving(6.0))
        shown(6.1, "back again", duty.resume_serving(6.1))
        duty.start_shutdown(7.0)
        shown(7.0, "ended")
        shown(7.1, "leave", duty.start_drain(7.1))
        shown(7.2, "back", duty.resume_serving(7.2))
        early = Lifecycle()
        early.start_drain(0.0)
        early.start_serving(0.1)
        self.say(f"told to leave before it had begun: {early.state.value}")
        self.close("operators-duty")
