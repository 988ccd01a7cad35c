"""The maintenance agent of one dispatcher."""

import unittest
from types import SimpleNamespace

import msgspec

from crankfold.consensus.versioned_documents import Document
from crankfold.maintenance.state import MaintenanceState
from crankfold.network.metrics import Metrics
from crankfold.service.maintenance.agent import MaintenanceAgent
from tests.fixtures import TraceTestCase


class LocalRestorationTest(TraceTestCase, unittest.IsolatedAsyncioTestCase):
    """An operator restores a machine at one dispatcher only."""

    async def test_local_restoration_requires_isolation_and_ends_with_next_lease(self) -> None:
        state = MaintenanceState()
        has_lease = [True]
        machines_out: list[set[str]] = []
        transition = {
            "uid": "a",
            "work": "w",
            "step": "out",
            "by": "n0",
            "why": "",
            "plan": 0,
            "made_from": 0,
        }
        state.apply(5, {"steps": [transition]}, 0)
        documents = SimpleNamespace(
            replicated=SimpleNamespace(maintenance=state), document=lambda _name: Document()
        )
        member = SimpleNamespace(name="n1", documents=documents, incarnation=1)
        cluster_node = SimpleNamespace(
            consensus=member, has_lease=lambda: has_lease[0], config=SimpleNamespace(zone="")
        )
        registry = SimpleNamespace(backend_ids=SimpleNamespace(names=[]), records=[])
        request_handler = SimpleNamespace(backends=registry, request_table=SimpleNamespace(requests={}))
        agent = MaintenanceAgent(
            request_handler,  # type: ignore[arg-type]
            None,  # type: ignore[arg-type]
            cluster_node,  # type: ignore[arg-type]
            metrics=Metrics(),
            endpoint_list_age=lambda: 0,
            machines_out_changed=lambda: machines_out.append(agent.machines_out()),
        )
        body = b'{"call": "c", "machine": "%s", "step": "here"}'
        result = await agent.admin.request_transition(body % b"a")
        self.assertEqual(result.accepted, False)  # with a lease, only the cluster may restore the machine
        has_lease[0] = False
        self.assertEqual(
            (await agent.admin.request_transition(body % b"b")).accepted, False
        )  # `b` is not out
        self.assertEqual((await agent.admin.request_transition(body % b"a")).accepted, True)
        self.assertEqual(machines_out, [set()])
        self.assertEqual(msgspec.to_builtins(agent.admin.describe())["here"], ["a"])
        has_lease[0] = True
        agent.build_report()
        self.assertEqual(machines_out, [set(), {"a"}])
