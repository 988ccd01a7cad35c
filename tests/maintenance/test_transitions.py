"""The stored form of a transition: its keys, their order, and what is left out."""

import unittest

from crankfold.maintenance.transitions import (
    MaintenancePhase,
    Placement,
    Transition,
    coordinator_document,
    decode_transition,
    operator_document,
    outcome_document,
)


class TransitionDocumentsTest(unittest.TestCase):
    def test_a_departure_keeps_its_keys_and_their_order(self) -> None:
        departure = Transition(
            machine_id="a",
            job="w",
            phase=MaintenancePhase.DRAINING,
            by="n0",
            at_ms=9,
            change_count=3,
            jobs_version=2,
            started_at=7,
            placement=Placement("z", "k", "c", 2.0),
        )
        document = coordinator_document(departure)
        self.assertEqual(
            list(document.items()),
            [
                ("step", "out"),
                ("by", "n0"),
                ("made_from", 3),
                ("plan", 2),
                ("why", ""),
                ("uid", "a"),
                ("work", "w"),
                ("start", 7),
                ("place", ("z", "k", "c", 2.0)),
                ("at", 9),
            ],
        )
        self.assertEqual(decode_transition(document), departure)

    def test_other_proposals_keep_their_keys_and_leave_out_what_does_not_apply(self) -> None:
        step = Transition(
            machine_id="a",
            job="w",
            phase=MaintenancePhase.IN_WORK,
            by="n1",
            at_ms=9,
            last_index=5,
            incarnation=8,
        )
        self.assertEqual(
            list(coordinator_document(step)), ["uid", "work", "last", "by", "why", "step", "life", "at"]
        )
        back = Transition(
            machine_id="a", job="w", phase=MaintenancePhase.RETURNING, by="n1", at_ms=9, last_index=5
        )
        self.assertEqual(list(coordinator_document(back)), ["uid", "work", "last", "by", "why", "step", "at"])
        halt = Transition(
            machine_id="", job="w", phase=MaintenancePhase.HALTED, by="n1", reason="bad", at_ms=9
        )
        self.assertEqual(list(coordinator_document(halt)), ["uid", "work", "step", "by", "why", "at"])

    def test_calls_of_operators_and_outcomes_of_commands_keep_their_keys(self) -> None:
        done = Transition(
            machine_id="a",
            job="w",
            phase=MaintenancePhase.WORK_DONE,
            by="o",
            at_ms=9,
            drain_number=4,
            incarnation=0,
        )
        self.assertEqual(
            list(operator_document(done)), ["uid", "work", "step", "by", "life", "why", "at", "number"]
        )
        self.assertEqual(list(outcome_document(done)), ["uid", "work", "step", "number", "by", "why", "at"])
