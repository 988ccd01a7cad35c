"""Decodes callbacks, in which backends report on the requests that they execute.

Only this module translates the names on the wire (`id`, `from`, `share`, `returned`, `lost`).
"""

from collections.abc import Sequence
from typing import Any, Protocol

import orjson

from crankfold.protocol.load_reports import report_from_fields
from crankfold.routing.interface import Outcome

_OUTCOMES = {
    "done": Outcome.COMPLETED,
    "failed": Outcome.ERROR,
    "returned": Outcome.OVERLOADED,
    "lost": Outcome.RESET,
}
_Message = dict[str, Any]  # a JSON object with the field names of the wire


class CallbackHandler(Protocol):
    """Receives the contents of callbacks. The request and the backend may be unknown."""

    def execution_started(self, request_id: str, backend_id: str) -> None:
        """The backend has begun to execute the request."""

    def execution_progressed(self, request_id: str, backend_id: str, progress: float) -> None:
        """The backend has executed that share of the request, from 0 to 1."""

    def execution_ended(
        self, request_id: str, backend_id: str, outcome: Outcome, result: bytes, report: Sequence[float]
    ) -> None:
        """The backend no longer executes the request; `report` is its load report, empty if there is none."""


def request_id_of(body: bytes) -> str:
    """Returns the id of the request that a callback is about; an empty string if there is none."""
    message = _decode(body)
    request_id = message.get("id") if message is not None else None
    return request_id if isinstance(request_id, str) else ""


def handle_callback(body: bytes, handler: CallbackHandler, report_fields: Sequence[str]) -> bool:
    """Decodes a callback and passes its content to the handler.

    Returns:
        Whether the callback is well-formed; its request and backend may be unknown.
    """
    message = _decode(body)
    if message is None:
        return False
    request_id = message.get("id")
    backend_id = message.get("from")
    state = message.get("state")
    if not isinstance(request_id, str) or not isinstance(backend_id, str) or not isinstance(state, str):
        return False
    if state == "started":
        handler.execution_started(request_id, backend_id)
    elif state == "running":
        progress = message.get("share")
        if isinstance(progress, bool) or not isinstance(progress, int | float):
            return False
        handler.execution_progressed(request_id, backend_id, min(max(float(progress), 0.0), 1.0))
    elif state in _OUTCOMES:
        report = report_from_fields(message.get("load"), report_fields)
        handler.execution_ended(request_id, backend_id, _OUTCOMES[state], _result(message), report)
    else:
        return False
    return True


def _decode(body: bytes) -> _Message | None:
    try:
        message = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    return message if isinstance(message, dict) else None


def _result(message: _Message) -> bytes:
    """Returns the result as text; a value of another JSON type is encoded as JSON."""
    result = message.get("result", "")
    return result.encode() if isinstance(result, str) else orjson.dumps(result)
