"""The queue, the concurrency limit, and requests that come too late."""

from crankfold.routing.interface import Endpoint, EndpointState
from tests.scene import MS, RouterTestCase


class Pacing(RouterTestCase):
    def test_held_units_go_richest_then_newest_and_are_shed_when_late(self) -> None:
        self.open(runners=1)
        self.told.limit.limit = 1.0
        for n in range(4):
            self.take(n)
        self.start(0, 0)
        self.at(100)
        self.told.state.averages.mean_wait = 3000.0
        self.end(0, 0)
        self.at(800)
        self.close("held")

    def test_the_limit_falls_as_waits_grow_and_rises_when_they_end(self) -> None:
        self.open()
        self.told.limit.in_flight = 30
        for wait in (0, 400, 400, 400, 0, 0, 0):
            for _ in range(10):
                self.told.limit.sample_wait(self.now, self.now, wait * MS)
            self.told.limit.sample_wait(
                self.now, self.now - 1, 9999 * MS
            )  # sent under the old limit: counts no more
            self.told.limit.in_flight = min(30, int(self.told.limit.limit))
            self.say(f"ten starts after {wait} ms: limit {min(self.told.limit.limit, 999):.1f}")
            self.at(self.now / MS - 10_000 + 100)
        self.close("limit")

    def test_the_limit_shrinks_at_once_with_the_fleet(self) -> None:
        self.open(runners=3)
        self.told.limit.limit = 30.0
        self.list([Endpoint(1, EndpointState.DRAINING, 1.0, 1, 1, 0)], whole=False)
        self.say(f"a third drains: limit {self.told.limit.limit:.0f}")
        self.list([Endpoint(1, EndpointState.READY, 1.0, 1, 1, self.now)], whole=False)
        self.say(f"it is back, cold: limit {self.told.limit.limit:.0f}")
        self.close("scaled-limit")

    def test_a_unit_waits_here_rather_than_behind_two_fillings(self) -> None:
        self.open(runners=1, free=1.0)
        for n in range(4):
            self.take(n)
        self.at(200)
        self.start(0, 0)
        self.end(0, 0)
        self.close("deep")

    def test_a_retry_past_its_worth_is_shed_at_once(self) -> None:
        self.open()
        self.take(0, cutoff=4400)  # its first try came 600 ms ago
        self.take(1, cutoff=4900)
        self.close("late-retry")
