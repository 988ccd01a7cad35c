"""The rows of request classes across configuration changes."""

from dataclasses import replace
from typing import Any

from crankfold.routing.interface import Idempotency
from crankfold.service.requests.classes import RequestClassTable
from tests.fixtures import REQUEST_CLASS, TraceTestCase


class RequestClassTableTest(TraceTestCase):
    def test_name_maps_to_its_newest_row(self) -> None:
        def update(description: str, **classes: Any) -> None:
            changed = table.update(classes, list(classes.values()))
            self.record(
                f"{description}: {'changed' if changed else 'nothing new'}, "
                f"{table.index_by_name}, open {table.open_counts}"
            )

        idempotent, keyed = REQUEST_CLASS, replace(REQUEST_CLASS, idempotency=Idempotency.IDEMPOTENT_WITH_KEY)
        non_idempotent = replace(REQUEST_CLASS, idempotency=Idempotency.NON_IDEMPOTENT)
        table = RequestClassTable(["a", "b"], [idempotent, keyed])
        table.request_opened(0)
        table.request_opened(1)
        update("the same", a=idempotent, b=keyed)
        update(
            "b has another idempotency and is in hand, c is new", a=idempotent, b=non_idempotent, c=idempotent
        )
        table.request_opened(2)
        update("b is dropped with requests in hand", a=idempotent, c=idempotent)
        self.record(f"  b is {table.find('b')}")
        update("b is back with another idempotency", a=idempotent, b=keyed, c=idempotent)
        table.request_closed(1)
        table.request_closed(2)
        update("the old rows of b are free, one is used again", a=idempotent, b=non_idempotent, c=idempotent)
        self.record(f"  by row: {', '.join(row.idempotency.name.lower() for row in table.classes)}")
        self.assert_matches_trace("request-classes")
