"""What runners tell of a unit by their call-backs, decoded into calls."""

from collections.abc import Sequence
from typing import Protocol

import orjson

from crankfold.protocol.load_reports import report_from_fields
from crankfold.routing.interface import Outcome

_OUTCOMES = {
    "done": Outcome.COMPLETED,
    "failed": Outcome.ERROR,
    "returned": Outcome.OVERLOADED,
    "lost": Outcome.RESET,
}


class CallbackHandler(Protocol):
    def execution_started(self, ident: str, uid: str) -> None: ...
    def execution_progressed(self, ident: str, uid: str, share: float) -> None: ...
    def execution_ended(
        self, ident: str, uid: str, outcome: Outcome, result: bytes, report: Sequence[float]
    ) -> None: ...


def request_id_of(body: bytes) -> str:
    """The unit that a call-back speaks of, or nothing."""
    try:
        told = orjson.loads(body)
    except orjson.JSONDecodeError:
        return ""
    ident = told.get("id") if isinstance(told, dict) else None
    return ident if isinstance(ident, str) else ""


def handle_callback(body: bytes, hearer: CallbackHandler, names: Sequence[str]) -> bool:
    """Whether it could be read; what names a unit or runner not known here is read all the same."""
    try:
        told = orjson.loads(body)
    except orjson.JSONDecodeError:
        return False
    if not isinstance(told, dict):
        return False
    ident, uid, state = told.get("id"), told.get("from"), told.get("state")
    if not isinstance(ident, str) or not isinstance(uid, str) or not isinstance(state, str):
        return False
    if state == "started":
        hearer.execution_started(ident, uid)
    elif state == "running":
        share = told.get("share")
        if isinstance(share, bool) or not isinstance(share, int | float):
            return False
        hearer.execution_progressed(ident, uid, min(max(float(share), 0.0), 1.0))
    elif state in _OUTCOMES:
        result = told.get("result", "")
        if not isinstance(result, str):
            result = orjson.dumps(result).decode()
        hearer.execution_ended(
            ident, uid, _OUTCOMES[state], result.encode(), report_from_fields(told.get("load"), names)
        )
    else:
        return False
    return True
