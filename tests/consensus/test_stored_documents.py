"""Documents and log entries that commit 82f8a95 stored (tests/data) are decoded and encoded unchanged."""

import msgspec

from crankfold.consensus.messages import LogEntry
from crankfold.consensus.versioned_documents import (
    Document,
    DocumentVersion,
    ProposalOutcome,
    ReplicatedState,
    VersionedDocuments,
)
from crankfold.maintenance.specification import JobSpecification, WorkMethod, parse_jobs
from crankfold.maintenance.state import MachineInMaintenance, MaintenanceState, TransitionRecord
from crankfold.maintenance.transitions import MaintenancePhase, Placement
from tests.data.write_fixtures import DATA
from tests.fixtures import TraceTestCase
from tests.stored_forms import HISTORY, JOBS, JOBS_DOCUMENT_1, JOBS_DOCUMENT_2, PLACEMENT

DOCUMENTS_DIRECTORY = DATA / "documents"


def make_version(number: int, index: int, proposal_id: str, text: object) -> DocumentVersion:
    assert isinstance(text, dict)
    return DocumentVersion(
        number=number,
        made_from=number - 1,
        author="operator",
        reason=f"why {proposal_id}",
        at=1_700_000_000_000,
        text=text,
        index=index,
    )


def make_transition(index: int, machine_id: str, phase: str, job: str) -> TransitionRecord:
    return TransitionRecord(
        index=index,
        machine_id=machine_id,
        job=job,
        phase=MaintenancePhase(phase),
        by="n0",
        reason=f"{phase} {machine_id}",
        at_ms=1_700_000_100_000,
    )


STORED_STATE = ReplicatedState(
    documents={
        "settings": Document(
            active_number=1,
            versions=[
                make_version(1, 3, "begin", HISTORY[2].data["text"]),
                make_version(2, 5, "c1", HISTORY[4].data["text"]),
            ],
        ),
        "limits": Document(
            active_number=1,
            versions=[make_version(1, 8, "c3", {"limits": {"all": 9, "grade:g": 4, "tenant:t": 0}})],
        ),
        "deal": Document(
            active_number=1,
            versions=[
                make_version(
                    1, 10, "c4", {"shares": {"all": {"n0": 5, "n1": 4}, "grade:g": {"n0": 4, "n1": 0}}}
                )
            ],
        ),
        "runners-out": Document(
            active_number=1,
            versions=[
                make_version(1, 12, "c5", {"runners": {"r9": "smells"}}),
                make_version(2, 14, "c6", {"runners": {"r8": "noise"}}),
            ],
        ),
        "runners-never": Document(
            active_number=1, versions=[make_version(1, 15, "c7", {"runners": {"r7": "stolen"}})]
        ),
        "works": Document(
            active_number=2,
            versions=[make_version(1, 17, "c8", JOBS_DOCUMENT_1), make_version(2, 19, "c9", JOBS_DOCUMENT_2)],
        ),
    },
    outcomes={
        "begin": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=3),
        "c1": ProposalOutcome(accepted=True, reason="", version_number=2, log_index=5),
        "c2": ProposalOutcome(
            accepted=False, reason="made from version 1, but 2 is there by now", version_number=2, log_index=6
        ),
        "c3": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=8),
        "c4": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=10),
        "c5": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=12),
        "c6": ProposalOutcome(accepted=True, reason="", version_number=2, log_index=14),
        "c7": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=15),
        "c8": ProposalOutcome(accepted=True, reason="", version_number=1, log_index=17),
        "c9": ProposalOutcome(accepted=True, reason="", version_number=2, log_index=19),
        "s1": ProposalOutcome(
            accepted=False, reason="r3: decided before its last step", version_number=0, log_index=34
        ),
        "s2": ProposalOutcome(accepted=True, reason="", version_number=0, log_index=35),
    },
    voter_folder_ids={"n0": "f0", "n1": "f1"},
    maintenance=MaintenanceState(
        machines={
            "r1": MachineInMaintenance(
                job="bios",
                phase=MaintenancePhase.DRAINED,
                out_index=21,
                last_index=25,
                drain_number=25,
                executor="n0",
                executor_incarnation=2**45,
                worked=False,
                earlier_jobs=["disks"],
                started_at=77,
                placement=Placement(*PLACEMENT),
                unhealthy=False,
                reason="free r1",
            ),
            "r3": MachineInMaintenance(
                job="disks",
                phase=MaintenancePhase.RETURNING,
                out_index=31,
                last_index=35,
                drain_number=30,
                executor="",
                executor_incarnation=0,
                worked=False,
                earlier_jobs=[],
                started_at=79,
                placement=Placement(*PLACEMENT),
                unhealthy=True,
                reason="back r3",
            ),
        },
        completed={"disks": {"r2": MaintenancePhase.HEALTHY}},
        unhealthy_streaks={"disks": 1},
        halted_jobs={"disks": "halt disks"},
        begun_jobs=["disks"],
        change_count=7,
        latest_wall_ms=1_700_000_100_000,
        transitions=[
            make_transition(21, "r1", "out", "disks"),
            make_transition(22, "r1", "free", "disks"),
            make_transition(23, "r1", "work", "disks"),
            make_transition(24, "r1", "ended", "disks"),
            make_transition(25, "r1", "free", "bios"),
            make_transition(26, "r2", "out", "disks"),
            make_transition(27, "r2", "back", "disks"),
            make_transition(28, "r2", "well", "disks"),
            make_transition(29, "r3", "out", "disks"),
            make_transition(30, "r3", "free", "disks"),
            make_transition(31, "r3", "unwell", "disks"),
            make_transition(33, "disks", "halt", "disks"),
            make_transition(35, "r3", "back", "disks"),
        ],
    ),
)


class StoredDocumentsTest(TraceTestCase):
    def setUp(self) -> None:
        super().setUp()
        self.encoded_state = (DOCUMENTS_DIRECTORY / "state.msgpack").read_bytes()

    def test_stored_state_is_decoded_and_encoded_unchanged(self) -> None:
        documents = VersionedDocuments(self.encoded_state)
        self.assertEqual(documents.replicated, STORED_STATE)
        self.assertEqual(documents.encode(), self.encoded_state)

    def test_stored_state_has_expected_effective_content(self) -> None:
        documents = VersionedDocuments(self.encoded_state)
        self.assertEqual(
            documents.version_numbers(),
            {
                "settings": (1, 2),
                "limits": (1, 1),
                "deal": (1, 1),
                "runners-out": (1, 2),
                "runners-never": (1, 1),
                "works": (2, 2),
            },
        )
        self.assertEqual(
            documents.effective_content("settings"),
            {
                "service-grades": [
                    {
                        "name": "g",
                        "effect": "keyed",
                        "cut-off": 4_000_000,
                        "expected-time": 500_000,
                        "group": "zone",
                        "repeat-window": 1_000_000,
                        "revenue": 1.5,
                    }
                ],
                "allowed": {"most-dispatches": 3, "second-copies": True, "cancel": False},
            },
        )
        self.assertEqual(
            documents.effective_content("runners-out"), {"runners": {"r9": "smells", "r8": "noise"}}
        )
        self.assertEqual(documents.effective_content("works"), JOBS_DOCUMENT_2)
        self.assertEqual(
            [(name, version.number) for name, version in documents.pending_versions()],
            [("settings", 2), ("runners-out", 2)],
        )
        self.assertEqual(documents.max_request_duration(), 50_000)

    def test_applying_stored_entries_gives_stored_state(self) -> None:
        data = (DOCUMENTS_DIRECTORY / "history.msgpack").read_bytes()
        history = msgspec.msgpack.decode(data, type=list[LogEntry])
        self.assertEqual(history, HISTORY)
        self.assertEqual(msgspec.msgpack.encode(history), data)
        documents = VersionedDocuments()
        changed = [documents.apply(index, entry) for index, entry in enumerate(history, 1)]
        self.assertEqual(documents.encode(), self.encoded_state)
        self.assertEqual(
            changed,
            [
                "",
                "",
                "settings",
                "settings",
                "settings",
                "",
                "",
                "limits",
                "limits",
                "deal",
                "deal",
                "runners-out",
                "runners-out",
                "runners-out",
                "runners-never",
                "runners-never",
                "works",
                "works",
                "works",
                "works",
                *["machines"] * 15,
            ],
        )

    def test_stored_maintenance_jobs_are_decoded_and_encoded_unchanged(self) -> None:
        data = (DOCUMENTS_DIRECTORY / "works.json").read_bytes()
        jobs = parse_jobs(msgspec.json.decode(data))
        self.assertEqual(jobs, JOBS)
        self.assertEqual(msgspec.json.encode({"works": jobs}), data)
        self.assertEqual(
            parse_jobs(JOBS_DOCUMENT_2),
            {
                "disks": JobSpecification(reason="new disks", zones=["north"], max_out=4),
                "bios": JobSpecification(machines=["r1"], method=WorkMethod.ENDPOINT_LIST, work_seconds=60.0),
            },
        )
