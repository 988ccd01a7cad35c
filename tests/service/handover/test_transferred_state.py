"""The state that a successor inherits when the configuration changes, and its first endpoint lists."""

import orjson

from crankfold.config.schema import SchemaError, validate
from crankfold.protocol.handover_messages import STATIC_WEIGHTS, ProcessState, Welcome, decode_message
from crankfold.routing.interface import Endpoint, EndpointState
from crankfold.service.handover import transferred_state
from tests.fixtures import TICKS_PER_MS, RouterTestCase, TraceTestCase

FIELDS = ["queue", "x0"]


def decode_state(**changes: object) -> ProcessState:
    """Decodes the state in a welcome message with these changes of its fields."""
    targets = [{"uid": "a", "capacity_hint": 4.0}, {"uid": "b", "capacity_hint": 2.0}]
    fields = {
        "form": 1,
        "of": "n0",
        "known": {"rev": 3, "targets": targets},
        "weights": "moving",
        "fields": FIELDS,
        "reports": {"a": [1.0, 2.0]},
        **changes,
    }
    message = decode_message(orjson.dumps({"welcome": fields}))
    assert isinstance(message, Welcome)
    return message.state


class TransferredStateTest(TraceTestCase):
    def test_only_weights_and_reports_with_same_meaning_are_inherited(self) -> None:
        self.lines = []
        for name, state, weights_follow_load in (
            ("alike", decode_state(), True),
            ("back to sizes", decode_state(), False),
            ("from one that tells no meaning", decode_state(weights=STATIC_WEIGHTS), True),
            ("no list", decode_state(known=None), True),
            ("no targets", decode_state(known={}), False),
            ("other fields", decode_state(fields=["qps", "queue"]), True),
        ):
            endpoints = transferred_state.inherited_endpoints(state, weights_follow_load)
            weights = [entry["capacity_hint"] for entry in endpoints["targets"]] if endpoints else endpoints
            self.record(
                f"{name}: weights {weights}, "
                f"reports of {sorted(transferred_state.inherited_reports(state, FIELDS))}"
            )
        self.assert_matches_trace("carry")

    def test_weight_and_backend_settings_are_validated(self) -> None:
        self.lines = []
        request_class = {"name": "g", "effect": "safe", "cut-off": 5, "expected-time": 1}
        settings = {"service-grades": [request_class], "allowed": {"most-dispatches": 1}}
        for change in (
            {"weights": "live"},
            {"weights": "heavy"},
            {"specifics": {"keeps-keys": "no"}},
            {"specifics": {"tells-start": 1}},
        ):
            try:
                validate({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": settings | change})
                self.record("taken")
            except SchemaError as error:
                self.record(str(error))
        self.assert_matches_trace("carry-settings")


class FirstEndpointListTest(RouterTestCase):
    def test_requests_sent_before_first_list_still_count_when_weights_arrive(self) -> None:
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
            [
                Endpoint(index, EndpointState.READY, 0.0, 0, 0, slow_start_since if index == 2 else 0)
                for index in range(3)
            ]
        )
        # Before the process has an endpoint list of its own, it does not know the weights. Backend 2, in slow
        # start, gets no requests.
        for request_id in range(4):
            self.receive_request(request_id, work=0)
        self.change_endpoints(
            [
                Endpoint(index, EndpointState.READY, weight, 0, 0, slow_start_since if index == 2 else 0)
                for index, weight in enumerate((4.0, 1.0, 4.0))
            ]
        )
        weights = [backend.weight for backend in self.backends]
        own_slots = sum(backend.own_slots for backend in self.backends)
        self.record(f"sizes {weights}, own units still counted {own_slots:.0f}")
        self.receive_request(4, work=0)
        self.assert_matches_trace("carry-first")
