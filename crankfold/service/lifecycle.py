"""Whether this process is in service, and how it goes out and comes back; told the time."""

from enum import Enum

CLIENT_MIGRATION_PERIOD = (
    1.5  # seconds in which clients see the answer that is marked as their connection's last
)


class LifecycleState(Enum):
    STARTING = "starting"
    SERVING = "in service"
    DRAINING = "draining"
    OUT_OF_SERVICE = "out of service"
    SHUTTING_DOWN = "ending"


class Lifecycle:
    def __init__(self) -> None:
        self.state = LifecycleState.STARTING
        self.entered_at = 0.0

    def _enter(self, stage: LifecycleState, now: float) -> bool:
        if stage == self.state:
            return False
        self.state, self.entered_at = stage, now
        return True

    def start_serving(self, now: float) -> None:
        # An order to leave that came before is not forgotten by the start.
        if self.state == LifecycleState.STARTING:
            self._enter(LifecycleState.SERVING, now)

    def start_drain(self, now: float) -> bool:
        """Whether anything changes: a call that comes again does not begin the drain anew."""
        return self.state in (LifecycleState.STARTING, LifecycleState.SERVING) and self._enter(
            LifecycleState.DRAINING, now
        )

    def resume_serving(self, now: float) -> bool:
        """Whether it may, which it may not once it ends."""
        if self.state in (LifecycleState.DRAINING, LifecycleState.OUT_OF_SERVICE):
            self._enter(LifecycleState.SERVING, now)
        return self.state != LifecycleState.SHUTTING_DOWN

    def start_shutdown(self, now: float) -> None:
        self._enter(LifecycleState.SHUTTING_DOWN, now)

    def finish_drain(self, now: float, empty: bool) -> bool:
        """A drain is over once nobody is left; true when that is now."""
        return (
            self.state == LifecycleState.DRAINING
            and empty
            and now - self.entered_at > CLIENT_MIGRATION_PERIOD
            and self._enter(LifecycleState.OUT_OF_SERVICE, now)
        )

    def is_serving(self) -> bool:
        return self.state == LifecycleState.SERVING

    def is_leaving(self) -> bool:
        """Answers are the last on their connections."""
        return self.state in (LifecycleState.DRAINING, LifecycleState.OUT_OF_SERVICE)

    def closes_idle_connections(self, now: float) -> bool:
        return self.is_leaving() and now - self.entered_at > CLIENT_MIGRATION_PERIOD
