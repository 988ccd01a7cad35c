"""Runners that operators took out by hand, laid over what discovery lists."""

from dataclasses import replace

from crankfold.dispatch.interface import Listing, Standing


class Bans:
    """By uid. Times are tenths of a millisecond of the clock by which runners' starts are told."""

    def __init__(self) -> None:
        self.since: dict[str, int] = {}  # out, and from when
        self.assumed: dict[str, tuple[int, int]] = {}  # back: when the ban began, the start taken for granted

    def out(self, uid: str, now: int) -> bool:
        """Whether that is new. A call that is repeated lengthens nothing."""
        if uid in self.since:
            return False
        self.since[uid] = now
        return True

    def back(self, uid: str, now: int, ran_on: bool) -> bool:
        """Whether there was a ban. With `ran_on` the runner is known to be the process it was."""
        began = self.since.pop(uid, None)
        if began is None:
            return False
        before = self.assumed.pop(uid, None)
        if ran_on:
            if before:
                self.assumed[uid] = before  # it is still as cold as it was
        else:
            # Lists lag behind restarts. Taken for warm on an old list, it would be pushed over.
            self.assumed[uid] = (began, now)
        return True

    def over(self, uid: str, entry: Listing) -> Listing:
        """A runner's entry in the list, with the ban or what is left of it laid over."""
        if uid in self.since and entry.standing == Standing.READY:
            entry = replace(entry, standing=Standing.DRAINING)
        if uid in self.assumed:
            began, start = self.assumed[uid]
            if entry.since >= began:
                del self.assumed[uid]  # the list has caught up and knows better
            else:
                entry = replace(entry, since=start)
        return entry
