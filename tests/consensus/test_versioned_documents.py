"""Documents with pending and active versions, and the encoding of their state."""

from crankfold.consensus.messages import LogEntry
from crankfold.consensus.versioned_documents import VersionedDocuments
from crankfold.document_names import SETTINGS
from crankfold.simulation.consensus.cluster import settings_document
from tests.fixtures import TraceTestCase


class VersionedDocumentsTest(TraceTestCase):
    def drained_backends(self, documents: VersionedDocuments) -> list[str]:
        content = documents.effective_content("runners-out") or {}
        return sorted(content["runners"])

    def test_restored_backend_stays_drained_until_restoring_version_is_active(self) -> None:
        documents = VersionedDocuments()
        for number, drained in ((1, {}), (2, {"a": "work"}), (3, {})):
            data = {
                "call": str(number),
                "doc": "runners-out",
                "made_from": number - 1,
                "author": "o",
                "reason": "",
            }
            documents.apply(number, LogEntry(1, "publish", {**data, "at": 0, "text": {"runners": drained}}))
            self.record(f"published {number}: out {self.drained_backends(documents)}")
        for number in (1, 2, 3):
            documents.apply(3 + number, LogEntry(1, "count", {"doc": "runners-out", "number": number}))
            self.record(f"counts {number}: out {self.drained_backends(documents)}")
        self.assert_matches_trace("consensus-drained-and-restored")

    def test_encoded_state_is_restored_with_all_retained_versions(self) -> None:
        documents = VersionedDocuments()
        for number in range(1, 70):
            data = {
                "call": str(number),
                "doc": SETTINGS,
                "made_from": number - 1,
                "author": "o",
                "reason": "",
                "at": 0,
            }
            documents.apply(number, LogEntry(1, "publish", {**data, "text": settings_document("safe")}))
            documents.apply(number, LogEntry(1, "count", {"doc": SETTINGS, "number": number}))
        restored = VersionedDocuments(documents.encode())
        self.assertEqual(restored.version_numbers(), {SETTINGS: (69, 69)})
        self.assertEqual(restored.encode(), documents.encode())
        self.assertEqual(len(restored.document(SETTINGS).versions), 50)
