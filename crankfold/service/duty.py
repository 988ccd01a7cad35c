"""Whether this process is in service, and how it goes out and comes back; told the time."""

from enum import Enum

MOVING_ON = 1.5  # seconds in which clients see the answer that is marked as their connection's last


class Stage(Enum):
    STARTING = "starting"
    SERVING = "in service"
    DRAINING = "draining"
    OUT = "out of service"
    ENDING = "ending"


class Duty:
    def __init__(self) -> None:
        self.stage = Stage.STARTING
        self.since = 0.0

    def _turn(self, stage: Stage, now: float) -> bool:
        if stage == self.stage:
            return False
        self.stage, self.since = stage, now
        return True

    def begin(self, now: float) -> None:
        # An order to leave that came before is not forgotten by the start.
        if self.stage == Stage.STARTING:
            self._turn(Stage.SERVING, now)

    def leave(self, now: float) -> bool:
        """Whether anything changes: a call that comes again does not begin the drain anew."""
        return self.stage in (Stage.STARTING, Stage.SERVING) and self._turn(Stage.DRAINING, now)

    def come_back(self, now: float) -> bool:
        """Whether it may, which it may not once it ends."""
        if self.stage in (Stage.DRAINING, Stage.OUT):
            self._turn(Stage.SERVING, now)
        return self.stage != Stage.ENDING

    def end(self, now: float) -> None:
        self._turn(Stage.ENDING, now)

    def tend(self, now: float, empty: bool) -> bool:
        """A drain is over once nobody is left; true when that is now."""
        return (self.stage == Stage.DRAINING and empty and now - self.since > MOVING_ON
                and self._turn(Stage.OUT, now))

    def healthy(self) -> bool:
        return self.stage == Stage.SERVING

    def leaving(self) -> bool:
        """Answers are the last on their connections."""
        return self.stage in (Stage.DRAINING, Stage.OUT)

    def closes_idle(self, now: float) -> bool:
        return self.leaving() and now - self.since > MOVING_ON
