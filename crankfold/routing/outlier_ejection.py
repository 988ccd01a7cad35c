"""Outlier ejection: which backends are left out for a while because of errors or silence."""

from crankfold.routing.backend_table import Backend
from crankfold.routing.interface import SECOND, Outcome
from crankfold.routing.state import RoutingState

MIN_EJECTION = SECOND  # ticks; doubled with each ejection that follows without a success between
MAX_EJECTION = 8 * SECOND  # ticks
OVERLOADED_REST = SECOND // 4  # ticks without attempts after a backend refused one as overloaded
UNREACHABLE_REST = SECOND  # ticks
ERROR_BLEND = 0.3  # share of each outcome in the error rate
MAX_ERROR_RATE = 0.45  # above it a backend is ejected
FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.UNKNOWN, Outcome.UNREACHABLE)


class OutlierEjection:
    """Judges backends by the outcomes of attempts."""

    def __init__(self, state: RoutingState) -> None:
        self.state = state

    def eject(self, now: int, backend: Backend) -> None:
        """Leaves a backend out, longer each time, with jitter so that not all instances return at once."""
        backend.ejection_time = min(max(2 * backend.ejection_time, MIN_EJECTION), MAX_EJECTION)
        jitter = self.state.random.below(backend.ejection_time // 4)
        backend.ejected_until = now + backend.ejection_time + jitter

    def record_outcome(self, now: int, backend: Backend, outcome: Outcome) -> None:
        """Judges a backend by how an attempt there has ended."""
        if outcome == Outcome.COMPLETED:
            backend.last_seen_at = now
            backend.error_rate *= 1.0 - ERROR_BLEND
            backend.ejection_time = 0
        elif outcome == Outcome.OVERLOADED:
            backend.overloaded_until = now + OVERLOADED_REST
        elif outcome == Outcome.UNREACHABLE:
            # Nobody there is no suspicion: with ejection distrusted, dead backends took all of the attempts.
            backend.overloaded_until = now + UNREACHABLE_REST
        if outcome in FAILURES:
            # Quick errors keep a queue short and would draw ever more work.
            backend.error_rate += ERROR_BLEND * (1.0 - backend.error_rate)
            at_once = outcome == Outcome.UNREACHABLE or backend.ejection_time
            if at_once or backend.error_rate > MAX_ERROR_RATE:
                self.eject(now, backend)

    def trusted(self, now: int, backends: list[Backend]) -> list[Backend]:
        """The backends that are not ejected; all of them where the suspicion looks wrong."""
        # Return by limited trial: one attempt at a time until one is completed.
        trusted = [
            b for b in backends if not b.ejection_time or (now >= b.ejected_until and b.own_slots == 0)
        ]
        # When nearly all look bad, the suspicion is more likely wrong than the fleet.
        if 3 * len(trusted) <= len(backends):
            return backends if len(backends) > 2 else trusted or backends
        return trusted
