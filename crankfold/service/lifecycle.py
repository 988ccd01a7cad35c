"""The lifecycle state machine: in service, draining, out of service, shutting down. No I/O.

All times are seconds on the same monotonic clock.
"""

from enum import Enum

# Seconds of a drain in which only responses close connections, so that clients move to another dispatcher.
CLIENT_MIGRATION_PERIOD = 1.5


class LifecycleState(Enum):
    """The states of a process."""

    STARTING = "starting"
    SERVING = "in service"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out of service"
    SHUTTING_DOWN = "ending"


class Lifecycle:
    """The state of the process: admin calls drain it and resume service, a signal shuts it down for good."""

    def __init__(self) -> None:
        self.state = LifecycleState.STARTING
        self.entered_at = 0.0
        self._started = False
        self._ready_while_drained = False

    def _enter(self, state: LifecycleState, now: float) -> bool:
        if state == self.state:
            return False
        self.state = state
        self.entered_at = now
        return True

    def start_serving(self, now: float) -> None:
        """Ends the start; a drain that began during the start continues."""
        self._started = True
        if self.state == LifecycleState.STARTING:
            self._enter(LifecycleState.SERVING, now)

    def start_drain(self, now: float, *, in_replacement: bool = False) -> bool:
        """Starts a drain; returns False if one has begun already.

        Args:
            now: The time.
            in_replacement: Whether the process replaces another one, so that it is ready during the drain. A
                process that is drained before it has started is ready too, once it has.
        """
        if self.state not in (LifecycleState.STARTING, LifecycleState.SERVING):
            return False
        self._ready_while_drained = in_replacement or not self._started
        return self._enter(LifecycleState.DRAINING, now)

    def resume_serving(self, now: float) -> bool:
        """Ends a drain; returns False if the process is shutting down, which cannot be undone."""
        if self.state in (LifecycleState.DRAINING, LifecycleState.OUT_OF_SERVICE):
            self._enter(LifecycleState.SERVING if self._started else LifecycleState.STARTING, now)
        return self.state != LifecycleState.SHUTTING_DOWN

    def start_shutdown(self, now: float) -> None:
        """Starts the shutdown, which is final."""
        self._enter(LifecycleState.SHUTTING_DOWN, now)

    def finish_drain(self, now: float, empty: bool) -> bool:
        """Completes the drain if no request and no client is left; returns whether it did."""
        return (
            self.state == LifecycleState.DRAINING
            and empty
            and now - self.entered_at > CLIENT_MIGRATION_PERIOD
            and self._enter(LifecycleState.OUT_OF_SERVICE, now)
        )

    def is_serving(self) -> bool:
        """Whether the process is in service, as its health check reports."""
        return self.state == LifecycleState.SERVING

    def is_ready(self) -> bool:
        """Whether the start is complete and no drain or shutdown has begun since."""
        return self.is_serving() or (self.is_leaving() and self._started and self._ready_while_drained)

    def is_leaving(self) -> bool:
        """Whether each response closes its connection."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.OUT_OF_SERVICE)

    def closes_idle_connections(self, now: float) -> bool:
        """Whether the migration period is over, so that idle connections are closed."""
        return self.is_leaving() and now - self.entered_at > CLIENT_MIGRATION_PERIOD
