"""What is safe to send again, and where; each by a trace that changes when its guard is taken out."""

from crankfold.routing.interface import DeduplicationScope, Endpoint, EndpointState, Idempotency, Outcome
from tests.scene import MS, RouterTestCase


class Rules(RouterTestCase):
    def test_every_unit_is_answered_by_its_cutoff(self) -> None:
        self.open(effect=Idempotency.NON_IDEMPOTENT)
        self.take(0)
        self.start(0, 0)
        self.at(4900)
        self.take(1, cutoff=-1)
        self.at(5100)
        self.end(0, 0, Outcome.CANCELLED, last=True)
        self.close("cutoff")

    def test_nothing_is_sent_for_an_ended_unit(self) -> None:
        self.open()
        self.take(0)
        self.told.client_disconnected(self.now, 0)
        self.end(0, 0, Outcome.ERROR, last=True)
        self.told.attempt_started(self.now, 0, 0, 0)
        self.told.client_disconnected(self.now, 0)
        self.at(1900)
        self.say(f"slots still counted as out: {sum(backend.own_slots for backend in self.backends):.0f}")
        self.close("ended")

    def test_no_runner_ready(self) -> None:
        self.open(runners=0, free=0)
        self.take(0)
        self.at(470)
        self.take(1)
        self.at(500)
        self.list([Endpoint(0, EndpointState.READY, 0.0, 0, 0, 0)])
        self.close("no-runner")

    def test_once_only_is_never_sent_again_after_it_may_have_run(self) -> None:
        self.open(effect=Idempotency.NON_IDEMPOTENT)
        may_have_run = (Outcome.ERROR, Outcome.RESET, Outcome.TIMED_OUT, Outcome.UNKNOWN)
        for n, outcome in enumerate((*may_have_run, Outcome.OVERLOADED, Outcome.UNREACHABLE)):
            self.take(n)
            sent_to = int(self.lines[-1][-1])
            self.end(n, sent_to, outcome)
        self.at(800)
        self.close("once-only")

    def test_tagged_keeps_to_its_zone(self) -> None:
        self.open(
            runners=3, effect=Idempotency.IDEMPOTENT_WITH_KEY, group=DeduplicationScope.ZONE, window=1000
        )
        self.held_back(1)
        self.held_back(2)
        self.take(0)
        self.end(0, 0, Outcome.ERROR)
        self.end(0, 2, Outcome.RESET, 1)
        self.close("tagged-zone")

    def test_tagged_outside_its_window_or_cell_is_given_up(self) -> None:
        self.open(effect=Idempotency.IDEMPOTENT_WITH_KEY, group=DeduplicationScope.CELL, window=200)
        self.take(0)
        self.start(0, 0)
        self.at(250)
        self.end(0, 0, Outcome.ERROR)
        self.close("tagged-window")

    def test_tagged_keeps_to_its_cell(self) -> None:
        self.open(
            runners=4, effect=Idempotency.IDEMPOTENT_WITH_KEY, group=DeduplicationScope.CELL, window=1000
        )
        self.take(0)
        self.end(0, int(self.lines[-1][-1]), Outcome.ERROR)
        self.close("tagged-cell")

    def test_tagged_known_everywhere_may_be_shed(self) -> None:
        self.open(
            runners=1, effect=Idempotency.IDEMPOTENT_WITH_KEY, group=DeduplicationScope.GLOBAL, window=100
        )
        self.take(0)
        self.at(150)
        self.end(0, 0, Outcome.ERROR)
        self.close("tagged-all")

    def test_nothing_goes_to_a_draining_or_gone_runner(self) -> None:
        self.open(runners=3)
        self.list([Endpoint(0, EndpointState.DRAINING, 1.0, 0, 0, 0)], whole=False)
        self.take(0)
        self.list([Endpoint(1, EndpointState.READY, 1.0, 1, 1, 0)])
        self.take(1)
        self.take(2)
        self.list([Endpoint(1, EndpointState.REMOVED, 1.0, 1, 1, 0)], whole=False)
        self.take(3)
        self.at(900)
        self.close("drain")

    def test_a_cold_runner_gets_its_part_only(self) -> None:
        # Alone in the list: what its part does not hold yet has to wait or be shed.
        self.open(runners=2)
        self.list([Endpoint(2, EndpointState.READY, 1.0, 0, 0, self.now - 1000 * MS)])
        for n in range(12):
            self.at(250 * n)
            self.take(n, work=120)
            if "->" in self.lines[-1]:
                self.start(n, 2)
                self.end(n, 2)
        self.at(3500)
        self.close("cold")
