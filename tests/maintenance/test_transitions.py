"""The stored form of a transition: its keys, their order, and the omitted fields."""

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
    def test_departure_document_keeps_its_keys_and_their_order(self) -> None:
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

    def test_other_coordinator_documents_keep_their_keys_and_omit_unset_fields(self) -> None:
        work_start = Transition(
            machine_id="a",
            job="w",
            phase=MaintenancePhase.IN_WORK,
            by="n1",
            at_ms=9,
            last_index=5,
            incarnation=8,
        )
        self.assertEqual(
            list(coordinator_document(work_start)), ["uid", "work", "last", "by", "why", "step", "life", "at"]
        )
        machine_return = Transition(
            machine_id="a", job="w", phase=MaintenancePhase.RETURNING, by="n1", at_ms=9, last_index=5
        )
        self.assertEqual(
            list(coordinator_document(machine_return)), ["uid", "work", "last", "by", "why", "step", "at"]
        )
        job_halt = Transition(
            machine_id="", job="w", phase=MaintenancePhase.HALTED, by="n1", reason="bad", at_ms=9
        )
        self.assertEqual(list(coordinator_document(job_halt)), ["uid", "work", "step", "by", "why", "at"])

    def test_operator_and_outcome_documents_keep_their_keys(self) -> None:
        work_done = Transition(
            machine_id="a",
            job="w",
            phase=MaintenancePhase.WORK_DONE,
            by="o",
            at_ms=9,
            drain_number=4,
            incarnation=0,
        )
        self.assertEqual(
            list(operator_document(work_done)), ["uid", "work", "step", "by", "life", "why", "at", "number"]
        )
        self.assertEqual(
            list(outcome_document(work_done)), ["uid", "work", "step", "number", "by", "why", "at"]
        )
