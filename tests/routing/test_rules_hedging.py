"""When a request in flight is sent a second time, how often, and which backends are taken to hang."""

from crankfold.routing.interface import Endpoint, EndpointState, Outcome
from tests.routing.rule_scene import RuleScene, ready, request_class

WORK = 400  # ms
HEDGE_SHARE = 0.3  # of the work sent
SAVED_RUNS = 5  # mean running times of hedges that may be saved up


class HedgingRules(RuleScene):
    def hedges(self, first: int, count: int) -> int:
        """How many further attempts the requests from `first` have got."""
        return sum(len(self.backends_of(request)) - 1 for request in range(first, first + count))

    def test_hedges_are_at_most_the_hedge_share_of_the_work_sent(self) -> None:
        self.open_with(*[ready(backend) for backend in range(30)])
        for request in range(10):
            self.send(request, work=WORK)
        self.elapse(900)
        hedges = self.hedges(0, 10)
        self.assertGreaterEqual(hedges, 2)
        # The last hedge may begin with any budget that is left.
        self.assertLessEqual(hedges, HEDGE_SHARE * (10 + hedges) + 1)

    def test_calm_traffic_saves_up_hedges_for_few_mean_runs_only(self) -> None:
        self.open_with(*[ready(backend) for backend in range(45)])
        for request in range(100):
            backend = self.send(request, work=WORK)
            self.start_attempt(request, backend)
            if request % 20 == 19:
                self.elapse(WORK)
                for done in range(request - 19, request + 1):
                    self.finish(done)
        for request in range(100, 120):
            self.send(request, work=WORK)
        self.elapse(900)
        hedges = self.hedges(100, 20)
        self.assertGreaterEqual(hedges, SAVED_RUNS)
        self.assertLessEqual(hedges, SAVED_RUNS + HEDGE_SHARE * hedges + 1)

    def test_request_that_is_late_already_is_hedged_only_if_a_late_answer_earns(self) -> None:
        for late_value, attempts in ((0.0, 1), (0.5, 2)):
            self.open_with(
                ready(0),
                ready(1),
                request_classes=[request_class(late_value=late_value)],
                max_attempts=2,
            )
            self.send(0, work=100)  # on time within 500 ms; it hangs only after that
            self.elapse(2000)
            self.assertEqual(len(self.backends_of(0)), attempts, f"late value {late_value}")

    def test_request_with_two_attempts_in_flight_is_not_hedged_again(self) -> None:
        self.open_with(*[ready(backend) for backend in range(9)], max_attempts=5)
        for request in range(1, 4):  # other work earns budget enough for more than one hedge
            self.start_attempt(request, self.send(request, work=4000))
        self.send(0, work=2000)
        self.elapse(4000)
        self.assertEqual(len(self.backends_of(0)), 2)


class HedgeTimeRules(RuleScene):
    def test_hedge_is_sent_only_while_half_of_the_work_can_be_done_in_time(self) -> None:
        # On time within 4300 ms, half of the work takes 1000 ms.
        for free_slot_at, attempts in ((2900, 2), (3500, 1)):
            self.open_with(ready(0))
            self.send(0, work=2000)
            self.elapse(free_slot_at)
            self.change(ready(1))
            self.report(1, 4.0)
            self.elapse(1000)
            self.assertEqual(len(self.backends_of(0)), attempts, f"a place {free_slot_at} ms after the send")

    def test_in_a_small_subset_a_hedge_waits_for_a_third_of_the_spare_time(self) -> None:
        fleet = [
            Endpoint(backend, EndpointState.READY, 1.0, 0, 0, 0, 0, backend / 40) for backend in range(40)
        ]
        self.open_with(*fleet, instance_count=60)
        self.send(0, work=5700, timeout=15_000)  # on time within 11700 ms: 6000 ms to spare
        self.elapse(1900)
        self.assertEqual(len(self.backends_of(0)), 1)
        self.elapse(200)
        self.assertEqual(len(self.backends_of(0)), 2)


class SilentBackendRules(RuleScene):
    def open_silent(self) -> int:
        """Sends a request after the last sign of life of the three backends; gives its backend."""
        self.open_with(*[ready(backend) for backend in range(3)], hedging_allowed=False)
        self.elapse(50)
        return self.send(0, work=2000)

    def is_chosen(self, backend: int) -> bool:
        """Ends the hanging attempt; whether the backend is among those of three requests at once."""
        self.finish(0, Outcome.CANCELLED)
        return backend in [self.send(request) for request in range(1, 4)]

    def test_backend_without_a_sign_of_life_for_a_second_is_ejected(self) -> None:
        backend = self.open_silent()
        self.elapse(1200)
        self.assertFalse(self.is_chosen(backend))

    def test_backend_is_not_ejected_for_less_than_a_second_of_silence(self) -> None:
        backend = self.open_silent()
        self.elapse(900)
        self.assertTrue(self.is_chosen(backend))

    def test_backend_that_was_heard_of_since_the_attempt_is_not_ejected(self) -> None:
        backend = self.open_silent()
        self.elapse(500)
        self.router.probe_ended(self.now, backend, True, ())
        self.elapse(700)
        self.assertTrue(self.is_chosen(backend))
