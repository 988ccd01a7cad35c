"""Outlier ejection: which backends get no attempts for a while because of errors or stalled attempts."""

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.interface import Outcome
from crankfold.routing.records import Attempt, PendingRequest
from crankfold.routing.smoothing import exponential_average
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

MIN_EJECTION_TICKS = TICKS_PER_SECOND
MAX_EJECTION_TICKS = 8 * TICKS_PER_SECOND
EJECTION_GROWTH_FACTOR = 2  # each further ejection lasts longer by this factor, until an attempt is completed
# The jitter is at most the ejection time divided by this; it keeps instances from retrying at the same time.
EJECTION_JITTER_DIVISOR = 4
OVERLOADED_BACKOFF_TICKS = TICKS_PER_SECOND // 4  # after a backend has refused an attempt
UNREACHABLE_BACKOFF_TICKS = TICKS_PER_SECOND
ERROR_WEIGHT = 0.3  # weight of the latest outcome in the error rate
MAX_ERROR_RATE = 0.45  # a backend with a higher rate is ejected
FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.UNKNOWN, Outcome.UNREACHABLE)
MIN_TRUSTED_DIVISOR = 3  # ejections are ignored if at most one in this many backends is trusted
MIN_COMPARABLE_BACKENDS = 3  # with fewer, a majority of ejected backends does not show a common cause

MAX_SILENCE_TICKS = TICKS_PER_SECOND  # a backend that is silent for longer after an attempt is ejected
STALL_TICKS = TICKS_PER_SECOND // 2  # an attempt without a response or notification for longer is stalled
SUBSET_STALL_TICKS = TICKS_PER_SECOND  # the same with a subset, where few responses of a backend come here
MAX_PROGRESS_GAP_INTERVALS = 2.5  # an attempt without progress for more progress intervals is stalled


class OutlierEjection:
    """Judges backends by the outcomes of attempts."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def eject(self, now: int, backend: Backend) -> None:
        """Ejects a backend; each ejection lasts longer until the backend completes an attempt.

        Args:
            now: Ticks.
            backend: The backend to eject.
        """
        longer = EJECTION_GROWTH_FACTOR * backend.ejection_time
        backend.ejection_time = min(max(longer, MIN_EJECTION_TICKS), MAX_EJECTION_TICKS)
        jitter = self._state.random.below(backend.ejection_time // EJECTION_JITTER_DIVISOR)
        backend.ejected_until = now + backend.ejection_time + jitter

    def record_outcome(self, now: int, backend: Backend, outcome: Outcome) -> None:
        """Updates the error rate and backoff of a backend by the outcome of an attempt, and may eject it.

        Args:
            now: Ticks.
            backend: The backend of the attempt.
            outcome: The outcome of the attempt.
        """
        if outcome == Outcome.COMPLETED:
            backend.last_seen_at = now
            backend.error_rate *= 1.0 - ERROR_WEIGHT
            backend.ejection_time = 0
        elif outcome == Outcome.OVERLOADED:
            backend.backoff_until = now + OVERLOADED_BACKOFF_TICKS
        elif outcome == Outcome.UNREACHABLE:
            # The backoff applies even if `trusted` ignores ejections: a dead backend gets few attempts.
            backend.backoff_until = now + UNREACHABLE_BACKOFF_TICKS
        if outcome in FAILURES:
            # A backend that fails fast has a short queue, which would attract more attempts without ejection.
            backend.error_rate = exponential_average(backend.error_rate, 1.0, ERROR_WEIGHT)
            eject_at_once = outcome == Outcome.UNREACHABLE or backend.ejection_time
            if eject_at_once or backend.error_rate > MAX_ERROR_RATE:
                self.eject(now, backend)

    def trusted(self, now: int, backends: Backends) -> Backends:
        """Returns the backends that are not ejected, or all if too few would be left.

        A backend whose ejection is over gets one attempt at a time until one is completed. If at most
        `1 / MIN_TRUSTED_DIVISOR` of the backends are trusted, the failures probably have a common cause, so
        all are returned. Of one or two backends, an ejected one is returned only if there is no other.

        Args:
            now: Ticks.
            backends: The backends to consider.
        """
        trusted = [
            b for b in backends if not b.ejection_time or (now >= b.ejected_until and not b.own_attempts)
        ]
        if MIN_TRUSTED_DIVISOR * len(trusted) > len(backends):
            return trusted
        if len(backends) >= MIN_COMPARABLE_BACKENDS:
            return backends
        return trusted or backends


class StallDetection:
    """Detects stalled attempts, and ejects backends that accept requests but do not respond."""

    def __init__(self, state: RoutingState, ejection: OutlierEjection) -> None:
        self._state = state
        self._ejection = ejection
        # Ticks without progress after which a started attempt is stalled; 0 if backends notify none.
        self.max_progress_gap = int(MAX_PROGRESS_GAP_INTERVALS * state.config.progress_interval)

    def is_stalled(self, now: int, attempt: Attempt) -> bool:
        """Whether the backend has not responded to an attempt in flight for too long.

        Args:
            now: Ticks.
            attempt: An attempt in flight.
        """
        if attempt.started_at >= 0:
            return self._lacks_progress(now, attempt)
        # A backend that responds to other attempts is merely busy, and a hedge would only add load.
        responded_since = attempt.backend.last_seen_at > attempt.sent_at
        max_wait = SUBSET_STALL_TICKS if self._state.uses_subset else STALL_TICKS
        return not responded_since and now - attempt.sent_at > max_wait

    def eject_unresponsive_backends(self, now: int, request: PendingRequest) -> None:
        """Ejects the backends that do not respond to the request's attempts in flight.

        Args:
            now: Ticks.
            request: The request whose attempts are checked.
        """
        for attempt in request.attempts:
            backend = attempt.backend
            # An ejection covers the attempts sent before its end; a trial attempt is sent after it.
            already_ejected = backend.ejection_time and attempt.sent_at < backend.ejected_until
            if attempt.in_flight and not already_ejected and self._is_unresponsive(now, attempt):
                self._ejection.eject(now, backend)

    def _is_unresponsive(self, now: int, attempt: Attempt) -> bool:
        if attempt.started_at >= 0:
            return self._lacks_progress(now, attempt)
        responded_since = attempt.backend.last_seen_at >= attempt.sent_at
        overdue = now - attempt.sent_at > MAX_SILENCE_TICKS
        return self._state.start_notifications and not responded_since and overdue

    def _lacks_progress(self, now: int, attempt: Attempt) -> bool:
        """Whether backends notify progress, and a started attempt has made none for too long."""
        return bool(self.max_progress_gap) and now - attempt.last_seen_at > self.max_progress_gap
