"""What carries over from one process to the next when deployments move, and the first seconds after it."""

import orjson

from crankfold.config.schema import SchemaError, validate
from crankfold.protocol.handover_messages import STATIC_WEIGHTS, ProcessState, Welcome, decode_message
from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.handover import transferred_state
from tests.fixtures import TICKS_PER_MS, RouterTestCase, TraceTestCase

FIELDS = ["queue", "x0"]


def welcome(**other: object) -> ProcessState:
    targets = [{"uid": "a", "capacity_hint": 4.0}, {"uid": "b", "capacity_hint": 2.0}]
    fields = {
        "form": 1,
        "of": "n0",
        "known": {"rev": 3, "targets": targets},
        "weights": "moving",
        "fields": FIELDS,
        "reports": {"a": [1.0, 2.0]},
        **other,
    }
    message = decode_message(orjson.dumps({"welcome": fields}))
    assert isinstance(message, Welcome)
    return message.state


class TransferredStateTest(TraceTestCase):
    def test_only_weights_and_reports_of_the_same_meaning_are_inherited(self) -> None:
        self.lines = []
        for name, state, weights_follow_load in (
            ("alike", welcome(), True),
            ("back to sizes", welcome(), False),
            ("from one that tells no meaning", welcome(weights=STATIC_WEIGHTS), True),
            ("no list", welcome(known=None), True),
            ("no targets", welcome(known={}), False),
            ("other fields", welcome(fields=["qps", "queue"]), True),
        ):
            known = transferred_state.inherited_endpoints(state, weights_follow_load)
            hints = [entry["capacity_hint"] for entry in known["targets"]] if known else known
            self.record(
                f"{name}: weights {hints}, "
                f"reports of {sorted(transferred_state.inherited_reports(state, FIELDS))}"
            )
        self.assert_matches_trace("carry")

    def test_settings_of_the_move_are_checked(self) -> None:
        self.lines = []
        request_class = {"name": "g", "effect": "safe", "cut-off": 5, "expected-time": 1}
        settings = {"service-grades": [request_class], "allowed": {"most-dispatches": 1}}
        for more in (
            {"weights": "live"},
            {"weights": "heavy"},
            {"specifics": {"keeps-keys": "no"}},
            {"specifics": {"tells-start": 1}},
        ):
            try:
                validate({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings | more})
                self.record("taken")
            except SchemaError as wrong:
                self.record(str(wrong))
        self.assert_matches_trace("carry-settings")


class FirstListTest(RouterTestCase):
    def test_requests_sent_before_the_first_list_still_count_when_weights_arrive(self) -> None:
        self.open(
            backend_count=0,
            free_slots=0,
            weights_follow_load=True,
            start_notifications=False,
            hedging_allowed=False,
            instance_count=4,
        )
        slow_start_since = self.now - 1000 * TICKS_PER_MS
        self.change_endpoints(
            [Endpoint(r, EndpointState.READY, 0.0, 0, 0, slow_start_since if r == 2 else 0) for r in range(3)]
        )
        for n in range(4):  # before any list of its own: sizes not known, the cold one not pushed
            self.receive_request(n, work=0)
        self.change_endpoints(
            [
                Endpoint(r, EndpointState.READY, w, 0, 0, slow_start_since if r == 2 else 0)
                for r, w in enumerate((4.0, 1.0, 4.0))
            ]
        )
        sizes = [backend.weight for backend in self.backends]
        own_slots = sum(backend.own_slots for backend in self.backends)
        self.record(f"sizes {sizes}, own units still counted {own_slots:.0f}")
        self.receive_request(4, work=0)
        self.assert_matches_trace("carry-first")
