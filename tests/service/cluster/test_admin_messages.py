"""The JSON of admin answers: its keys and their order."""

import unittest
from http import HTTPStatus

from msgspec import Struct

from crankfold.maintenance.transitions import MaintenancePhase
from crankfold.service.cluster.admin_messages import (
    AppliedPublishOutcome,
    CallOutcome,
    DocumentAnswer,
    ErrorAnswer,
    MembershipOutcome,
    PublishOutcome,
    encode_answer,
)
from crankfold.service.maintenance.admin_messages import (
    ForecastAnswer,
    ForecastDeparture,
    JobStatus,
    MachineWait,
    MaintenanceOverview,
)


class AdminMessagesTest(unittest.TestCase):
    def assert_encoded(self, content: Struct, body: str) -> None:
        self.assertEqual(encode_answer(HTTPStatus.CONFLICT, content), (409, body))

    def test_call_outcomes_keep_json_keys(self) -> None:
        self.assert_encoded(CallOutcome(False, "no"), '{"well":false,"text":"no"}')
        self.assert_encoded(
            MembershipOutcome(True, "", {"n": "x:1"}), '{"well":true,"text":"","voters":{"n":"x:1"}}'
        )
        self.assert_encoded(PublishOutcome(True, "", 3), '{"well":true,"text":"","number":3}')
        self.assert_encoded(
            AppliedPublishOutcome(True, "", 3, is_active=False, lagging_members=["f"]),
            '{"well":true,"text":"","number":3,"counts":false,"lag":["f"]}',
        )

    def test_document_answers_keep_json_keys(self) -> None:
        self.assert_encoded(ErrorAnswer("no such document"), '{"text":"no such document"}')
        self.assert_encoded(
            DocumentAnswer("settings", 1, 2, True, {"a": 1}, [{"number": 1}]),
            '{"doc":"settings","counts":1,"newest":2,"acts":true,"acting":{"a":1},"versions":[{"number":1}]}',
        )

    def test_maintenance_answers_keep_json_keys(self) -> None:
        job = JobStatus("disks", "go", "", 2, {"m0": MaintenancePhase.RETURNING}, ["m1"])
        phase = MaintenancePhase.RETURNING.value
        self.assert_encoded(
            MaintenanceOverview(
                {"j": job},
                {"m2": {"work": "j"}},
                [{"index": 1}],
                [MachineWait("m3", "j", "r")],
                True,
                "n0",
                ["m4"],
            ),
            '{"works":{"j":{"why":"disks","state":"go","halted":"","wanted":2,'
            f'"done":{{"m0":"{phase}"}},"left":["m1"]}}}},"machines":{{"m2":{{"work":"j"}}}},'
            '"steps":[{"index":1}],"waits":[{"machine":"m3","work":"j","why":"r"}],'
            '"leads":true,"leader":"n0","here":["m4"]}',
        )
        self.assert_encoded(
            ForecastAnswer(True, [ForecastDeparture(0.0, 1.25, "m", "z", "w")], {"m2": "never"}),
            '{"well":true,"turns":[{"begin":0.0,"end":1.25,"machine":"m","zone":"z","why":"w"}],'
            '"waits":{"m2":"never"}}',
        )
