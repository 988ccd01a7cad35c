"""Where operators' calls meet the desk, the runners and the clients' connections."""

from collections.abc import Awaitable, Callable, Sequence

from crankfold.dispatch.interface import Listing
from crankfold.network.listener import Listener
from crankfold.network.tally import log
from crankfold.protocol.operators import AgreedFace
from crankfold.service.desk import Desk
from crankfold.service.duty import Duty

LOOK_EVERY = 0.05  # seconds, during a drain


class Operations:
    def __init__(self, desk: Desk, listener: Listener, duty: Duty) -> None:
        self.desk, self.fleet, self.tally = desk, desk.fleet, desk.tally
        self.listener, self.duty, self.loop = listener, duty, desk.timers.loop
        self.looking = False
        self.followed: Callable[[], bool] = lambda: False  # by a process that accepts in our place
        # Recorded, and told to the process that follows or goes before.
        self.spread: Callable[[str, str], Awaitable[None]] | None = None
        self.agreed: AgreedFace | None = None

    def ready(self) -> bool:
        """A unit would be taken now, and there is somewhere to send it."""
        return self.desk.serving() and self.fleet.anywhere() and not self.followed()

    async def out(self, uid: str) -> bool:
        return await self._lay("out", uid)

    async def back(self, uid: str) -> bool:
        return await self._lay("back", uid)

    async def _lay(self, what: str, uid: str) -> bool:
        try:
            entry = self.fleet.out(uid) if what == "out" else self.fleet.back(uid)
        except KeyError:
            self.tally.count("runners-not-known")
            return False
        if entry:
            self.tally.count(f"runners-{what}-by-hand")
            log(f"crankfold: runner {what} by hand: {uid!r}")
            self.changed([entry])
        if self.spread:
            await self.spread(what, uid)
        return True

    def changed(self, entries: Sequence[Listing]) -> None:
        self.desk.tell(self.desk.decisions.listed, entries, False)

    def leave_service(self) -> None:
        if self.duty.leave(self.loop.time()):
            self.tally.count("drains")
            log("crankfold: out of service, draining")
        self._look()

    def enter_service(self) -> bool:
        may = self.duty.come_back(self.loop.time())
        if may and self.listener.parting:
            self.listener.parting = False
            log("crankfold: back in service")
        return may

    def _look(self) -> None:
        if not self.looking:
            self.looking = True
            self._go_on()

    def _go_on(self) -> None:
        """Connections to clients go one by one, until there is none."""
        self.looking = self.duty.leaving()
        if not self.looking:
            return
        now = self.loop.time()
        self.listener.parting = True
        if self.duty.closes_idle(now):
            self.listener.close_idle(spare_call_backs=True)
        if self.duty.tend(now, not self.desk.open_units() and not self.listener.of_clients()):
            log("crankfold: out of service, nobody left")
        self.loop.call_later(LOOK_EVERY, self._go_on)
