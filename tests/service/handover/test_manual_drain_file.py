"""The file of manual drains: which records are adopted, and what happens when a write fails."""

import unittest
from unittest.mock import Mock

from crankfold.protocol.handover_messages import ManualDrainRecord, ManualDrainState
from crankfold.service.backends.manual_drains import ManualDrains
from crankfold.service.handover.manual_drain_file import ManualDrainFile


class ManualDrainFileTest(unittest.TestCase):
    def setUp(self) -> None:
        self.channel = Mock()
        self.registry = Mock(manual_drains=ManualDrains(), known_ids=set())
        self.registry.timers.clock.now = lambda: 9
        self.registry.timers.clock.wall_shift = lambda: 0
        self.file = ManualDrainFile(self.channel, "n0", self.registry)

    def test_save_stores_drains_with_dispatcher_name(self) -> None:
        self.registry.manual_drains.drain("a", 5)
        self.file.save()
        record = ManualDrainRecord("n0", ManualDrainState({"a": 5}, {}))
        self.channel.save_record.assert_called_once_with(record)

    def test_failed_write_is_logged_and_drain_stays_active(self) -> None:
        self.registry.manual_drains.drain("a", 5)
        self.channel.save_record.side_effect = OSError("No space left on device")
        with self.assertLogs("crankfold.service.handover.manual_drain_file", "WARNING") as logged:
            self.file.save()
        self.assertEqual(
            logged.records[0].getMessage(),
            "No space left on device; the manual drain is active, but will be lost if all processes end",
        )
        self.assertEqual(logged.records[0].category, "records")  # type: ignore[attr-defined]
        self.assertEqual(self.registry.manual_drains.drained_since, {"a": 5})

    def test_only_record_of_same_dispatcher_is_adopted(self) -> None:
        drains = ManualDrainState({"a": 5}, {})
        for record, adopted in (
            (None, {}),
            (ManualDrainRecord("n1", drains), {}),
            (ManualDrainRecord("n0", drains), {"a": 5}),
        ):
            self.channel.load_record.return_value = record
            self.file.adopt()
            self.assertEqual(self.registry.manual_drains.drained_since, adopted)
        self.assertEqual(self.registry.known_ids, {"a"})
