"""Each transition follows from the one before, or is void."""

from typing import Any

from msgspec import to_builtins

from crankfold.maintenance.state import MaintenanceState
from tests.fixtures import TraceTestCase


class TransitionsTest(TraceTestCase):
    """The state, given log entries by hand."""

    def setUp(self) -> None:
        super().setUp()
        self.state = MaintenanceState()
        self.index = 10

    def apply(self, machine_id: str, step: str, **more: Any) -> None:
        self.index += 1
        document = {
            "uid": machine_id,
            "work": "w",
            "step": step,
            "by": "n0",
            "life": 7,
            "why": "",
            "plan": 1,
            "made_from": self.state.change_count,
            **more,
        }
        void = self.state.apply(self.index, {"steps": [document]}, 1)
        record = self.state.machines.get(machine_id)
        self.record(
            f"{step} {machine_id}: {void or 'taken'}; {record.phase if record else 'carries work'}"
            + (f" under {record.drain_number}" if record and record.drain_number else "")
        )

    def test_each_transition_follows_from_the_one_before_or_is_void(self) -> None:
        self.apply("a", "free")
        self.apply("a", "out", made_from=3)  # bounds were kept by another state of things
        self.apply("a", "out", plan=0)  # by jobs that were changed since
        self.apply("a", "out")
        self.apply("a", "out")
        self.apply("a", "work")
        self.apply("a", "free")
        self.apply("a", "work")
        self.apply("a", "work")  # a leader that slept begins it again
        self.apply("a", "free", last=self.index)  # it died with the command, which may be run again
        self.apply("a", "work")
        self.apply("a", "ended", number=14)  # the first run is heard of late
        self.apply("a", "ended", number=self.state.machines["a"].drain_number)
        self.apply("a", "back", last=3)
        self.apply("a", "back")
        self.apply("a", "unwell")
        self.apply("a", "ended")
        self.apply("a", "free")
        self.apply("a", "ended")
        self.apply("a", "back")
        self.apply("a", "well")
        self.record(f"{to_builtins(self.state.completed)} {self.state.unhealthy_streaks}")
        self.assert_matches_trace("works-steps")

    def test_a_step_of_an_unknown_name_is_void_and_the_others_of_its_entry_count(self) -> None:
        known = {"uid": "a", "work": "w", "step": "out", "by": "n0", "why": "", "plan": 0, "made_from": 0}
        unknown = {**known, "uid": "b", "step": "polish"}
        void = self.state.apply(5, {"steps": [unknown, known]}, 0)
        self.assertEqual(void, "b: polish does not follow carrying work")
        self.assertEqual(list(self.state.machines), ["a"])
