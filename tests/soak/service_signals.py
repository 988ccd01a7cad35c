"""Series of signals to dispatchers in service, some after a change of the configuration file."""

import asyncio
import json
import random
import signal
from collections.abc import Awaitable, Callable
from typing import Any

from tests.soak.dispatcher import DispatcherProcess

MEAN_PAUSE_SECONDS = 0.4  # between two series
MAX_SERIES_LENGTH = 4  # signals
MAX_SIGNAL_PAUSE_SECONDS = 0.05  # between two signals of a series
INVALID_FILE_SECONDS = 0.1  # until an invalid file is replaced by the valid one
# Weights of what happens to the configuration file before a series.
SERIES_WEIGHTS = {"same file": 6, "changed settings": 2, "changed address": 1, "invalid file": 1}


class ServiceSignals:
    """Sends signals to the dispatchers that are in service."""

    def __init__(
        self,
        dispatchers: dict[str, DispatcherProcess],
        rng: random.Random,
        move_discovery: Callable[[str], Awaitable[int]],
    ) -> None:
        """Takes `move_discovery`, which opens another agent for a named dispatcher and returns its port."""
        self.dispatchers = dispatchers
        self.rng = rng
        self.move_discovery = move_discovery
        self.sent = 0

    async def run(self) -> None:
        """Sends one series after another until it is cancelled."""
        while True:
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_PAUSE_SECONDS))
            await self.send_series(self.rng.choice(sorted(self.dispatchers)))

    async def send_to_all(self) -> None:
        """Sends a series to each dispatcher, so that it coincides with another event."""
        for name in sorted(self.dispatchers):
            await self.send_series(name)

    async def send_series(self, name: str) -> None:
        """Sends a series to one dispatcher, unless its process is starting or stopped."""
        dispatcher = self.dispatchers[name]
        async with dispatcher.config_lock:
            kind = self.rng.choices([*SERIES_WEIGHTS], [*SERIES_WEIGHTS.values()])[0]
            if kind == "invalid file":
                await self._reload_invalid_file(dispatcher)
                return
            if kind == "changed settings":
                self._change_settings(dispatcher)
            elif kind == "changed address":
                document = json.loads(dispatcher.config.read_text())
                host = document["discovery"].partition(":")[0]
                document["discovery"] = f"{host}:{await self.move_discovery(name)}"
                dispatcher.config.write_text(json.dumps(document))
            self._send(dispatcher, signal.SIGHUP if kind != "same file" else self._draw_signal())
            for _ in range(self.rng.randrange(MAX_SERIES_LENGTH)):
                await asyncio.sleep(self.rng.uniform(0, MAX_SIGNAL_PAUSE_SECONDS))
                self._send(dispatcher, self._draw_signal())

    def _draw_signal(self) -> signal.Signals:
        return self.rng.choice([signal.SIGHUP, signal.SIGUSR1])

    def _send(self, dispatcher: DispatcherProcess, signal_number: signal.Signals) -> None:
        if dispatcher.ready and dispatcher.process and dispatcher.process.returncode is None:
            dispatcher.process.send_signal(signal_number)
            self.sent += 1

    @staticmethod
    def _change_settings(dispatcher: DispatcherProcess) -> None:
        document: dict[str, Any] = json.loads(dispatcher.config.read_text())
        allowed = document["settings"]["allowed"]
        allowed["most-dispatches"] = 7 - allowed["most-dispatches"]  # alternates between 3 and 4
        dispatcher.config.write_text(json.dumps(document))

    async def _reload_invalid_file(self, dispatcher: DispatcherProcess) -> None:
        text = dispatcher.config.read_text()
        dispatcher.config.write_text(text[: self.rng.randrange(len(text) - 1)])
        self._send(dispatcher, signal.SIGHUP)
        await asyncio.sleep(INVALID_FILE_SECONDS)
        dispatcher.config.write_text(text)
