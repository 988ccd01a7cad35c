"""The replicated state applies transitions that are allowed, and treats the others as void."""

from typing import Any

from msgspec import to_builtins

from crankfold.maintenance.state import MaintenanceState
from tests.fixtures import TraceTestCase


class MaintenanceStateTest(TraceTestCase):
    """Applies log entries to a state and records the results."""

    def setUp(self) -> None:
        super().setUp()
        self.state = MaintenanceState()
        self.index = 10

    def apply(self, machine_id: str, step: str, **fields: Any) -> None:
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
            **fields,
        }
        void_reason = self.state.apply(self.index, {"steps": [document]}, 1)
        record = self.state.machines.get(machine_id)
        self.record(
            f"{step} {machine_id}: {void_reason or 'taken'}; {record.phase if record else 'carries work'}"
            + (f" under {record.drain_number}" if record and record.drain_number else "")
        )

    def test_transition_out_of_order_or_from_earlier_state_is_void(self) -> None:
        self.apply("a", "free")
        self.apply("a", "out", made_from=3)  # bounds were checked against another state
        self.apply("a", "out", plan=0)  # bounds of a previous version of the jobs
        self.apply("a", "out")
        self.apply("a", "out")
        self.apply("a", "work")
        self.apply("a", "free")
        self.apply("a", "work")
        self.apply("a", "work")  # a leader resumed after a suspension restarts the work
        self.apply("a", "free", last=self.index)  # its executor restarted, and the command may be repeated
        self.apply("a", "work")
        self.apply("a", "ended", number=14)  # late outcome of the first run
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

    def test_step_with_unknown_name_is_void_and_others_of_its_entry_apply(self) -> None:
        known = {"uid": "a", "work": "w", "step": "out", "by": "n0", "why": "", "plan": 0, "made_from": 0}
        unknown = {**known, "uid": "b", "step": "polish"}
        void_reason = self.state.apply(5, {"steps": [unknown, known]}, 0)
        self.assertEqual(void_reason, "b: polish does not follow carrying work")
        self.assertEqual(list(self.state.machines), ["a"])
