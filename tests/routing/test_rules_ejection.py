"""How long a backend is left out."""

from itertools import pairwise

from crankfold.routing.interface import Outcome
from tests.routing.rule_scene import RuleScene, ready

LONGEST = 8_000  # ms
JITTER = 0.25  # of the ejection
STEP = 100  # ms
HANG = 1500  # ms until a request at a backend that hangs has timed out


class EjectionRules(RuleScene):
    def test_ejection_of_a_backend_that_keeps_failing_doubles_up_to_the_longest(self) -> None:
        self.open_with(*[ready(backend) for backend in range(3)])
        trials: list[int] = []
        for step in range(80_000 // STEP):
            requests = range(3 * step, 3 * step + 3)
            for request in requests:  # one for each backend that is not left out
                self.send(request)
            for request in requests:
                if self.backends_of(request) == [0]:
                    trials.append(step * STEP)
                    self.finish(request, Outcome.UNREACHABLE, last=False)
                self.finish(request)
            self.sent.clear()
            self.elapse(STEP)
        pauses = [later - earlier for earlier, later in pairwise(trials)]
        for pause, ejection in zip(pauses, (1000, 2000, 4000, 8000), strict=False):
            self.assertGreaterEqual(pause, ejection)
            self.assertLessEqual(pause, ejection * (1 + JITTER) + STEP)
        self.assertLessEqual(max(pauses), LONGEST * (1 + JITTER) + STEP)

    # Guards against a hanging backend that takes one request after the other, as its ejection never doubles.
    def test_ejection_of_a_backend_whose_trial_attempts_hang_doubles_up_to_the_longest(self) -> None:
        self.open_with(*[ready(backend) for backend in range(3)], max_attempts=1)
        trials: list[int] = []
        hanging: list[tuple[int, int]] = []  # request, and when it times out
        for step in range(80_000 // STEP):
            requests = range(3 * step, 3 * step + 3)
            for request in requests:  # one for each backend that is not left out
                self.send(request, timeout=HANG)
            for request in requests:
                if self.backends_of(request) == [0]:
                    trials.append(step * STEP)
                    hanging.append((request, step * STEP + HANG))
                else:
                    self.finish(request)
            self.elapse(STEP)
            for request, due in list(hanging):
                if due <= (step + 1) * STEP:
                    hanging.remove((request, due))
                    self.finish(request, Outcome.TIMED_OUT)
        first_trial = next(at for at in trials if at >= 2 * HANG)
        pauses = [later - earlier for earlier, later in pairwise(at for at in trials if at >= first_trial)]
        for pause, ejection in zip(pauses, (2000, 4000, 8000, 8000), strict=False):
            self.assertGreaterEqual(pause, ejection)
        self.assertLessEqual(max(pauses), HANG + LONGEST * (1 + JITTER) + STEP)

    # Guards against a backend with a rounding residue in its own slots, which never gets its trial attempt.
    def test_a_backend_that_served_fractional_slots_gets_its_trial_attempt(self) -> None:
        self.open_with(ready(0))
        for request, slots in enumerate((0.1, 0.2, 0.3)):
            self.send(request, slots=slots)
        for request in range(3):
            self.finish(request)
        self.send(3, slots=0.1)
        self.finish(3, Outcome.UNREACHABLE, last=True)
        self.change(ready(1), ready(2))
        self.elapse(1500)
        self.assertIn(0, {self.send(request) for request in range(4, 8)})
