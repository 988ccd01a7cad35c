"""A changed configuration: requests in hand keep theirs, and what is known of backends stays."""

from dataclasses import replace

from crankfold.routing.interface import DeduplicationScope, Idempotency, Outcome
from tests.scene import MS, REQUEST_CLASS, ROUTING_CONFIG, RouterTestCase


class Renewed(RouterTestCase):
    def fails(self, unit: int) -> None:
        """Where it was sent first."""
        sent_to = next(line for line in self.lines if f"unit {unit} -> runner" in line)
        self.end(unit, int(sent_to[-1]), Outcome.ERROR)

    def test_units_in_hand_keep_their_orders(self) -> None:
        self.open(runners=4, effect=Idempotency.IDEMPOTENT)
        old = replace(REQUEST_CLASS)
        new = replace(old, idempotency=Idempotency.NON_IDEMPOTENT)
        self.take(0)
        self.say("the grade becomes once-only, in a row of its own")
        self.told.config_changed(self.now, replace(ROUTING_CONFIG, request_classes=[old, new]))
        self.take(1, grade=1)
        self.fails(0)
        self.fails(1)
        self.say("one dispatch is allowed from here on, also for what was taken before")
        self.take(2)
        self.told.config_changed(
            self.now, replace(ROUTING_CONFIG, request_classes=[old, new], max_attempts=1)
        )
        self.fails(2)
        self.say("three are allowed again, but not for what was taken meanwhile")
        self.take(3)
        self.told.config_changed(self.now, replace(ROUTING_CONFIG, request_classes=[old, new]))
        self.fails(3)
        self.close("renewal-units")

    def test_what_is_known_of_runners_and_runs_stays(self) -> None:
        self.open(runners=3)
        self.told.state.classes[0].typical_run, self.told.limit.limit = 77.0, 5.0
        self.backends[1].reported_queue, self.backends[2].ejection_time = 4.5, 10_000
        self.told.config_changed(
            self.now,
            replace(
                ROUTING_CONFIG,
                request_classes=[
                    REQUEST_CLASS,
                    replace(REQUEST_CLASS, deduplication_scope=DeduplicationScope.ZONE),
                ],
            ),
        )
        self.assertEqual(
            ([known.typical_run for known in self.told.state.classes], self.told.limit.limit),
            ([77.0, 500.0 * MS], 5.0),
        )
        self.assertEqual((self.backends[1].reported_queue, self.backends[2].ejection_time), (4.5, 10_000))
