"""A reload of the configuration while a process of the dispatcher is replaced, with real processes."""

import asyncio
import signal

import orjson

from tests.replacement_scene import SERVE, ReplacementTestCase


class ReloadInReplacementTest(ReplacementTestCase):
    async def assert_signal_binds_other_process(self, *, at_predecessor: bool) -> None:
        """Adds a class, signals one process, and waits until both have reloaded."""
        await self.start()
        outputs = [await self.start_process(SERVE, self.folder)]
        processes = [self.process]
        outputs.append(await self.start_process(SERVE, self.folder))
        processes.append(self.process)
        classes = self.config["settings"]["service-grades"]
        self.config["settings"]["service-grades"] = [*classes, {**classes[0], "name": "added"}]
        self.config_file.write_bytes(orjson.dumps(self.config))
        processes[0 if at_predecessor else 1].send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        for process in processes:
            process.send_signal(signal.SIGTERM)
        for output in outputs:
            self.assertIn("new configuration", await output)

    # Both guard against a reload that only the process that got the signal carries out.
    async def test_signal_at_predecessor_reloads_successor(self) -> None:
        await self.assert_signal_binds_other_process(at_predecessor=True)

    async def test_signal_at_successor_reloads_predecessor(self) -> None:
        await self.assert_signal_binds_other_process(at_predecessor=False)
