"""Runners that operators took out by hand, laid over what discovery lists."""

from dataclasses import replace

from crankfold.routing.interface import Endpoint, EndpointState


class ManualDrains:
    """By uid. Times are tenths of a millisecond of the clock by which runners' starts are told."""

    def __init__(self) -> None:
        self.drained_since: dict[str, int] = {}  # out, and from when
        self.assumed_starts: dict[
            str, tuple[int, int]
        ] = {}  # back: when the ban began, the start taken for granted

    def drain(self, uid: str, now: int) -> bool:
        """Whether that is new. A call that is repeated lengthens nothing."""
        if uid in self.drained_since:
            return False
        self.drained_since[uid] = now
        return True

    def restore(self, uid: str, now: int, ran_on: bool) -> bool:
        """Whether there was a ban. With `ran_on` the runner is known to be the process it was."""
        began = self.drained_since.pop(uid, None)
        if began is None:
            return False
        before = self.assumed_starts.pop(uid, None)
        if ran_on:
            if before:
                self.assumed_starts[uid] = before  # it is still as cold as it was
        else:
            # Lists lag behind restarts. Taken for warm on an old list, it would be pushed over.
            self.assumed_starts[uid] = (began, now)
        return True

    def apply_to(self, uid: str, entry: Endpoint) -> Endpoint:
        """A runner's entry in the list, with the ban or what is left of it laid over."""
        if uid in self.drained_since and entry.state == EndpointState.READY:
            entry = replace(entry, state=EndpointState.DRAINING)
        if uid in self.assumed_starts:
            began, start = self.assumed_starts[uid]
            if entry.started_at >= began:
                del self.assumed_starts[uid]  # the list has caught up and knows better
            else:
                entry = replace(entry, started_at=start)
        return entry
