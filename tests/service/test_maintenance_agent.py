"""One dispatcher's part in the maintenance of machines."""

import unittest
from types import SimpleNamespace

from crankfold.consensus.versioned_documents import Document
from crankfold.maintenance.state import MaintenanceState
from crankfold.network.metrics import Metrics
from crankfold.service.maintenance_agent import MaintenanceAgent
from tests.scene import Kept


class IsolatedDispatcherTest(Kept, unittest.IsolatedAsyncioTestCase):
    """A machine brought back by hand at a dispatcher that the others can't be reached from."""

    async def test_here_is_for_who_is_cut_off_and_ends_when_the_fleet_is_heard(self) -> None:
        ledger, heard, laid = MaintenanceState(), [True], list[set[str]]()
        step = {"uid": "a", "work": "w", "step": "out", "by": "n0", "why": "", "plan": 0, "made_from": 0}
        ledger.apply(5, {"steps": [step]}, 0)
        docs = SimpleNamespace(
            replicated=SimpleNamespace(maintenance=ledger), document=lambda _name: Document()
        )
        member = SimpleNamespace(name="n1", documents=docs, incarnation=1)
        peer = SimpleNamespace(consensus=member, has_lease=lambda: heard[0], config=SimpleNamespace(zone=""))
        fleet = SimpleNamespace(backend_ids=SimpleNamespace(names=[]), records=[])
        desk = SimpleNamespace(backends=fleet, request_table=SimpleNamespace(requests={}))
        works = MaintenanceAgent(
            desk,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            peer,  # type: ignore[arg-type]
            metrics=Metrics(),
            endpoint_list_age=lambda: 0,
            machines_out_changed=lambda: laid.append(works.machines_out()),
        )
        body = b'{"call": "c", "machine": "%s", "step": "here"}'
        refused = await works.admin.request_transition(body % b"a")
        self.assertEqual(refused.accepted, False)  # heard: it is a step of all
        heard[0] = False
        self.assertEqual((await works.admin.request_transition(body % b"b")).accepted, False)  # not out
        self.assertEqual((await works.admin.request_transition(body % b"a")).accepted, True)
        self.assertEqual(laid, [set()])
        self.assertEqual(works.admin.describe()["here"], ["a"])
        heard[0] = True
        works.build_report()
        self.assertEqual(laid, [set(), {"a"}])
