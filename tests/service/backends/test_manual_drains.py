"""Manual drains, laid over the endpoint list."""

from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.backends.manual_drains import ManualDrains
from tests.scene import TraceTestCase


class ManualDrainsTest(TraceTestCase):
    def test_drains_lie_over_what_is_listed(self) -> None:
        drains = ManualDrains()

        def listed(now: int, state: EndpointState, started_at: int) -> None:
            endpoint = drains.apply_to("a", Endpoint(0, state, 1.0, 0, 0, started_at))
            self.say(
                f"{now}: listed {state.name.lower()} started {started_at}: counts as "
                f"{endpoint.state.name.lower()} started {endpoint.started_at}"
            )

        listed(10, EndpointState.READY, 0)
        self.say(f"20: drained {drains.drain('a', 20)}, again {drains.drain('a', 25)}")
        listed(30, EndpointState.READY, 0)
        listed(31, EndpointState.DRAINING, 0)
        listed(32, EndpointState.REMOVED, 0)
        self.say("the list still shows the old start")
        self.say(f"40: restored {drains.restore('a', 40, False)}, again {drains.restore('a', 41, False)}")
        listed(42, EndpointState.READY, 0)
        self.say("drained and restored once more, on the same connection: warming up as before")
        self.say(f"44: drained {drains.drain('a', 44)}; 45: restored {drains.restore('a', 45, True)}")
        listed(46, EndpointState.READY, 0)
        self.say("the list shows a start during the drain: it may be of a restart before it")
        listed(50, EndpointState.READY, 24)
        listed(51, EndpointState.READY, 24)
        self.say("the list shows a start since the restoring")
        listed(52, EndpointState.READY, 48)
        listed(53, EndpointState.READY, 48)
        self.say(
            f"60: drained {drains.drain('a', 60)}; "
            f"70: restored, never restarted {drains.restore('a', 70, True)}"
        )
        listed(71, EndpointState.READY, 48)
        self.close("manual-drains")
