"""Whether this process is in service, and how it is taken out of service and back; given the time, no I/O.

Times are seconds of one monotonic clock.
"""

from enum import Enum

CLIENT_MIGRATION_PERIOD = 1.5  # seconds in which clients get the answer marked as their connection's last


class LifecycleState(Enum):
    """Where a process stands between its start and its end."""

    STARTING = "starting"
    SERVING = "in service"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out of service"
    SHUTTING_DOWN = "ending"


class Lifecycle:
    """A state machine: operators drain it and put it back; a signal ends it for good."""

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING
        self.entered_at = 0.0

    def _enter(self, state: LifecycleState, now: float) -> bool:
        if state == self.state:
            return False
        self.state = state
        self.entered_at = now
        return True

    def start_serving(self, now: float) -> None:
        """The end of the start. A drain that was asked for before is not forgotten by it."""
        if self.state == LifecycleState.STARTING:
            self._enter(LifecycleState.SERVING, now)

    def start_drain(self, now: float) -> bool:
        """Whether anything changes: a repeated call does not begin the drain anew."""
        return self.state in (LifecycleState.STARTING, LifecycleState.SERVING) and self._enter(
            LifecycleState.DRAINING, now
        )

    def resume_serving(self, now: float) -> bool:
        """Back in service; false if the process is shutting down, as it then stays out."""
        if self.state in (LifecycleState.DRAINING, LifecycleState.OUT_OF_SERVICE):
            self._enter(LifecycleState.SERVING, now)
        return self.state != LifecycleState.SHUTTING_DOWN

    def start_shutdown(self, now: float) -> None:
        """The process ends."""
        self._enter(LifecycleState.SHUTTING_DOWN, now)

    def finish_drain(self, now: float, empty: bool) -> bool:
        """Ends a drain if no request and no client is left; true when that is now."""
        return (
            self.state == LifecycleState.DRAINING
            and empty
            and now - self.entered_at > CLIENT_MIGRATION_PERIOD
            and self._enter(LifecycleState.OUT_OF_SERVICE, now)
        )

    def is_serving(self) -> bool:
        """Whether health checks are answered in the affirmative."""
        return self.state == LifecycleState.SERVING

    def is_leaving(self) -> bool:
        """Whether every answer is the last on its connection."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.OUT_OF_SERVICE)

    def closes_idle_connections(self, now: float) -> bool:
        """Whether clients had the time to take another dispatcher with their next request."""
        return self.is_leaving() and now - self.entered_at > CLIENT_MIGRATION_PERIOD
