"""Outlier ejection: which backends get no attempts for a while, because of errors or stalled attempts."""

from crankfold.routing.backend_table import Backend, Backends
from crankfold.routing.interface import Outcome
from crankfold.routing.records import Attempt, PendingRequest
from crankfold.routing.smoothing import exponential_average
from crankfold.routing.state import RoutingState
from crankfold.time_units import TICKS_PER_SECOND

MIN_EJECTION_TICKS = TICKS_PER_SECOND
MAX_EJECTION_TICKS = 8 * TICKS_PER_SECOND
EJECTION_GROWTH_FACTOR = 2  # with each further ejection before an attempt is completed
EJECTION_JITTER_DIVISOR = 4  # the longest jitter is the ejection time by this; it keeps instances apart
OVERLOADED_BACKOFF_TICKS = TICKS_PER_SECOND // 4  # without attempts, after a backend refused one
UNREACHABLE_BACKOFF_TICKS = TICKS_PER_SECOND
ERROR_WEIGHT = 0.3  # of the latest outcome in the error rate
MAX_ERROR_RATE = 0.45  # above it a backend is ejected
FAILURES = (Outcome.ERROR, Outcome.RESET, Outcome.UNKNOWN, Outcome.UNREACHABLE)
MIN_TRUSTED_DIVISOR = 3  # of the backends: where no more than this part is trusted, all are
MIN_COMPARABLE_BACKENDS = 3  # with fewer, a majority of ejected backends does not show a common cause

MAX_SILENCE_TICKS = TICKS_PER_SECOND  # from sending an attempt without a response until ejection
STALL_TICKS = TICKS_PER_SECOND // 2  # without a response or notification, after which an attempt is stalled
SPARSE_STALL_TICKS = TICKS_PER_SECOND  # the same, where few responses of a backend come here
MAX_PROGRESS_GAP_INTERVALS = 2.5  # progress intervals without progress, after which an attempt is stalled


class OutlierEjection:
    """Judges backends by the outcomes of attempts."""

    def __init__(self, state: RoutingState) -> None:
        self._state = state

    def eject(self, now: int, backend: Backend) -> None:
        """Ejects a backend, each time for longer until an attempt there is completed.

        Args:
            now: Ticks.
            backend: The backend to be ejected.
        """
        longer = EJECTION_GROWTH_FACTOR * backend.ejection_time
        backend.ejection_time = min(max(longer, MIN_EJECTION_TICKS), MAX_EJECTION_TICKS)
        jitter = self._state.random.below(backend.ejection_time // EJECTION_JITTER_DIVISOR)
        backend.ejected_until = now + backend.ejection_time + jitter

    def record_outcome(self, now: int, backend: Backend, outcome: Outcome) -> None:
        """Updates a backend's error rate and backoff by the outcome of an attempt, and may eject it.

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
            # The backoff applies even where `trusted` disregards ejection: a dead backend gets few attempts.
            backend.backoff_until = now + UNREACHABLE_BACKOFF_TICKS
        if outcome in FAILURES:
            # A backend that fails fast has a short queue, and without ejection would attract more attempts.
            backend.error_rate = exponential_average(backend.error_rate, 1.0, ERROR_WEIGHT)
            at_once = outcome == Outcome.UNREACHABLE or backend.ejection_time
            if at_once or backend.error_rate > MAX_ERROR_RATE:
                self.eject(now, backend)

    def trusted(self, now: int, backends: Backends) -> Backends:
        """Returns the backends that are not ejected, or all where too few would be left.

        A backend whose ejection is over gets one attempt at a time until one is completed. Where at most
        `1 / MIN_TRUSTED_DIVISOR` of the backends are trusted, the failures probably have a common cause, so
        all are returned. Of one or two backends, an ejected one is returned only if there is no other.

        Args:
            now: Ticks.
            backends: The backends to be considered.
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
    """Detects stalled attempts, and ejects backends that accept work and do not respond."""

    def __init__(self, state: RoutingState, ejection: OutlierEjection) -> None:
        self._state = state
        self._ejection = ejection
        # Ticks without progress, after which a started attempt is stalled; 0 where backends notify none.
        self.max_progress_gap = int(MAX_PROGRESS_GAP_INTERVALS * state.config.progress_interval)

    def is_stalled(self, now: int, attempt: Attempt) -> bool:
        """Whether the backend has not responded to an attempt in flight for too long.

        Args:
            now: Ticks.
            attempt: An attempt in flight.
        """
        if attempt.started_at >= 0:
            return self._lacks_progress(now, attempt)
        # A backend that responds to other attempts is busy, and a hedge would only add to the load.
        responded_since = attempt.backend.last_seen_at > attempt.sent_at
        max_wait = SPARSE_STALL_TICKS if self._state.sparse else STALL_TICKS
        return not responded_since and now - attempt.sent_at > max_wait

    def eject_unresponsive_backends(self, now: int, request: PendingRequest) -> None:
        """Ejects the backends that do not respond to the request's attempts in flight.

        Args:
            now: Ticks.
            request: The request whose attempts are checked.
        """
        for attempt in request.attempts:
            backend = attempt.backend
            # The backend was ejected for such an attempt already; a trial attempt is sent after its ejection.
            counts_no_more = backend.ejection_time and attempt.sent_at < backend.ejected_until
            if attempt.in_flight and not counts_no_more and self._is_unresponsive(now, attempt):
                self._ejection.eject(now, backend)

    def _is_unresponsive(self, now: int, attempt: Attempt) -> bool:
        if attempt.started_at >= 0:
            return self._lacks_progress(now, attempt)
        responded_since = attempt.backend.last_seen_at >= attempt.sent_at
        overdue = now - attempt.sent_at > MAX_SILENCE_TICKS
        return self._state.start_notifications and not responded_since and overdue

    def _lacks_progress(self, now: int, attempt: Attempt) -> bool:
        """Whether a started attempt has made no progress for too long, where backends notify progress."""
        return bool(self.max_progress_gap) and now - attempt.last_seen_at > self.max_progress_gap
