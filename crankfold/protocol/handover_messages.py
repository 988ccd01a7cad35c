"""Messages between a process and its successor: one JSON object per line.

Keys on the wire differ from the names in the program: `take` is a `TakeoverRequest`, `yours` a
`TakeoverGrant`, `elsewhere` a `TakeoverRefusal`, `holds` a `UsageReport`, `ended` a `RequestEnded`, `ask` a
query and `re` the `QueryAnswer`; `ran` marks ids of requests that may have been executed, and `tried` the ids
of other requests that were attempted. The file of manual drains uses keys of the state in a `Welcome`. No key
is used outside this module.
"""

from typing import Any, NamedTuple

import orjson

from crankfold.errors import CrankfoldError
from crankfold.protocol.discovery import EndpointDocument

START_TIMES = 2  # number of times in an assumed start: when its drain began, and the start itself
FORMAT_VERSION = 1  # of Hello and Welcome; processes of different versions do not hand over
MAX_LINE_SIZE = 4 * 1024 * 1024  # bytes
DYNAMIC_WEIGHTS = "moving"  # weights in endpoint lists follow load
STATIC_WEIGHTS = "steady"  # weights in endpoint lists are capacities
_Fields = dict[str, Any]  # a JSON object with the keys of the wire


class ProtocolError(CrankfoldError, ValueError):
    """The other side is not a process of this program, or has sent a malformed message."""


class ManualDrainState(NamedTuple):
    """Backends that operators drained or restored, by id. Times are ticks of the boot clock.

    Attributes:
        drained_since: When each drain began that is still in force.
        assumed_starts: For each restored backend, when the drain began and the assumed start of the backend.
    """

    drained_since: dict[str, int]
    assumed_starts: dict[str, tuple[int, int]]


class ManualDrainRecord(NamedTuple):
    """The content of the file of manual drains, which outlives the processes of a dispatcher."""

    dispatcher_name: str
    manual_drains: ManualDrainState
    service_drained: bool = False  # whether the dispatcher itself is drained


class ProcessState(NamedTuple):
    """The state that a process passes to its successor.

    Attributes:
        format_version: FORMAT_VERSION of the sender.
        dispatcher_name: Name of the dispatcher to which both processes belong.
        weight_semantics: DYNAMIC_WEIGHTS or STATIC_WEIGHTS.
        report_fields: The fields of `load_reports`; None from an older version, which uses the successor's.
        manual_drains: The manual drains, in force or ended.
        known_ids: The ids of all backends ever listed.
        endpoints: The endpoint list in the form of a discovery response.
        load_reports: The last load report of each backend, by id.
        service_drained: Whether operators have drained the dispatcher itself.
    """

    format_version: int
    dispatcher_name: str
    weight_semantics: str
    report_fields: list[str] | None
    manual_drains: ManualDrainState
    known_ids: list[str]
    endpoints: EndpointDocument | None
    load_reports: dict[str, list[float]]
    service_drained: bool = False


class ProcessUsage(NamedTuple):
    """The requests and connections that a process still has after it has handed over.

    Attributes:
        request_ids: The ids in use at the process and at its predecessor.
        accepted_connections: Number of connections of clients and backends.
        backend_connections: Number of connections to backends that it may open.
    """

    request_ids: list[str]
    accepted_connections: int
    backend_connections: int


class Hello(NamedTuple):
    """From a new process: its dispatcher's name and the address to listen on."""

    format_version: int
    address: tuple[str, int]
    dispatcher_name: str


class Welcome(NamedTuple):
    """From the predecessor: the response to `Hello`."""

    state: ProcessState


class TakeoverRequest(NamedTuple):
    """From a successor that is ready to serve."""


class PastRequestIds(NamedTuple):
    """The ids of requests that are over and were attempted, as the sender encodes them.

    Both are empty from a version that does not know them.

    Attributes:
        executed: The ids of the requests that may have been executed and may not be executed again.
        attempted: The ids of the others.
    """

    executed: str = ""
    attempted: str = ""


class TakeoverGrant(NamedTuple):
    """From the predecessor, which has stopped accepting connections. `usage` is None if malformed."""

    usage: ProcessUsage | None
    past_ids: PastRequestIds = PastRequestIds()


class TakeoverRefusal(NamedTuple):
    """From a process that has already handed over to another one or does not serve yet."""


class UsageReport(NamedTuple):
    """Sent periodically by a process that has handed over. `usage` is None if malformed."""

    usage: ProcessUsage | None


class RequestEnded(NamedTuple):
    """A request id is not in use any more at the sender: a predecessor, or a successor that attempted it.

    Attributes:
        request_id: The id.
        executed: Whether the request may have been executed; False from an older version.
    """

    request_id: str
    executed: bool = False


class ReloadNotice(NamedTuple):
    """An operator made the sender, or a process beyond it, reload its configuration file."""


class ManualDrainQuery(NamedTuple):
    """Requests a drain or the restore of a backend; answered once older processes have applied it too."""

    query_id: int
    backend_id: str
    drained: bool


class ServiceDrainQuery(NamedTuple):
    """Requests the drain of the dispatcher, or its end; answered once other processes have applied it."""

    query_id: int
    drained: bool


class CallbackQuery(NamedTuple):
    """Queries whether the receiver holds the request of a callback; `callback` is its JSON text."""

    query_id: int
    callback: str


class ReservationQuery(NamedTuple):
    """From a process that has handed over, before it admits a request.

    Reserves the id for the sender; the answer is positive if the id is in use already. A version that does
    not know the query answers negatively.
    """

    query_id: int
    request_id: str


class UnknownQuery(NamedTuple):
    """A query that only a newer version knows; its answer is negative."""

    query_id: int


class QueryAnswer(NamedTuple):
    """The answer to a query; always negative to a `ManualDrainQuery`."""

    query_id: int
    positive: bool


class UnknownMessage(NamedTuple):
    """A JSON object that is not one of the messages above; it is ignored."""


Query = ManualDrainQuery | ServiceDrainQuery | CallbackQuery | ReservationQuery | UnknownQuery
HandoverMessage = (
    Hello
    | Welcome
    | TakeoverRequest
    | TakeoverGrant
    | TakeoverRefusal
    | UsageReport
    | RequestEnded
    | ReloadNotice
    | Query
    | QueryAnswer
    | UnknownMessage
)


# --- encoding ---


def encode_message(message: HandoverMessage) -> bytes:
    """Returns the line for a message, including the line break."""
    return orjson.dumps(_message_fields(message)) + b"\n"


def _message_fields(message: HandoverMessage) -> _Fields:  # noqa: C901 - one case for each message
    match message:
        case Hello():
            return {"hello": message.format_version, "at": message.address, "of": message.dispatcher_name}
        case Welcome():
            return {"welcome": _state_fields(message.state)}
        case TakeoverRequest():
            return {"take": True}
        case TakeoverGrant():
            return {"yours": _usage_fields(message.usage), **_past_ids_fields(message.past_ids)}
        case TakeoverRefusal():
            return {"elsewhere": True}
        case UsageReport():
            return {"holds": _usage_fields(message.usage)}
        case RequestEnded():
            return {"ended": message.request_id, **({"ran": True} if message.executed else {})}
        case ReloadNotice():
            return {"reload": True}
        case ManualDrainQuery():
            operation = "out" if message.drained else "back"
            return {"ask": message.query_id, "what": operation, "uid": message.backend_id}
        case ServiceDrainQuery():
            return {"ask": message.query_id, "what": "leave" if message.drained else "enter"}
        case CallbackQuery():
            return {"ask": message.query_id, "what": "event", "body": message.callback}
        case ReservationQuery():
            return {"ask": message.query_id, "what": "reserve", "id": message.request_id}
        case UnknownQuery():
            return {"ask": message.query_id}
        case QueryAnswer():
            return {"re": message.query_id, "yes": message.positive}
        case UnknownMessage():
            return {}


def _state_fields(state: ProcessState) -> _Fields:
    return {
        "form": state.format_version,
        "of": state.dispatcher_name,
        "weights": state.weight_semantics,
        "fields": state.report_fields,
        "bans": state.manual_drains.drained_since,
        "assumed": state.manual_drains.assumed_starts,
        "ever": state.known_ids,
        "known": state.endpoints,
        "reports": state.load_reports,
        **_service_drain_fields(state.service_drained),
    }


def _service_drain_fields(drained: bool) -> _Fields:
    return {"drained": True} if drained else {}


def _past_ids_fields(past_ids: PastRequestIds) -> _Fields:
    fields = {"ran": past_ids.executed, "tried": past_ids.attempted}
    return {key: encoded for key, encoded in fields.items() if encoded}


def _usage_fields(usage: ProcessUsage | None) -> _Fields | None:
    if usage is None:
        return None
    return {
        "ids": usage.request_ids,
        "clients": usage.accepted_connections,
        "runners": usage.backend_connections,
    }


def encode_drain_record(record: ManualDrainRecord) -> bytes:
    """Returns the content of the file of manual drains."""
    drains = record.manual_drains
    return orjson.dumps(
        {
            "of": record.dispatcher_name,
            "bans": drains.drained_since,
            "assumed": drains.assumed_starts,
            **_service_drain_fields(record.service_drained),
        }
    )


# --- decoding: malformed fields are dropped, as the two processes may have different versions ---


class HandoverDecoder:
    """Splits the bytes from another process into messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def receive_data(self, data: bytes) -> list[HandoverMessage]:
        """Receives bytes; returns the messages that they complete.

        Raises:
            ProtocolError: A line is too long or is not a JSON object.
        """
        self.buffer += data
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        if len(rest) > MAX_LINE_SIZE:
            raise ProtocolError(f"a line is longer than {MAX_LINE_SIZE} bytes")
        return [decode_message(line) for line in lines]


def decode_message(line: bytes) -> HandoverMessage:
    """Decodes the message in a line.

    Raises:
        ProtocolError: The line is not a JSON object.
    """
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(str(error)) from None
    if not isinstance(fields, dict):
        raise ProtocolError("not a JSON object")
    if "take" in fields:
        return TakeoverRequest()
    if "yours" in fields:
        past_ids = PastRequestIds(_string(fields.get("ran")), _string(fields.get("tried")))
        return TakeoverGrant(_decode_usage(fields["yours"]), past_ids)
    if "elsewhere" in fields:
        return TakeoverRefusal()
    if "holds" in fields:
        return UsageReport(_decode_usage(fields["holds"]))
    if "ended" in fields and isinstance(fields["ended"], str):
        return RequestEnded(fields["ended"], fields.get("ran") is True)
    if "ask" in fields:
        return _decode_query(fields)
    if "re" in fields and isinstance(fields["re"], int):
        return QueryAnswer(fields["re"], fields.get("yes") is True)
    return _decode_other(fields)


def _decode_query(fields: _Fields) -> Query:
    match fields:
        case {"ask": query_id, "what": "out" | "back" as operation, "uid": str(backend_id)}:
            return ManualDrainQuery(query_id, backend_id, operation == "out")
        case {"ask": query_id, "what": "leave" | "enter" as operation}:
            return ServiceDrainQuery(query_id, operation == "leave")
        case {"ask": query_id, "what": "event", "body": str(callback)}:
            return CallbackQuery(query_id, callback)
        case {"ask": query_id, "what": "reserve", "id": str(request_id)}:
            return ReservationQuery(query_id, request_id)
    return UnknownQuery(fields["ask"])


def _decode_other(fields: _Fields) -> HandoverMessage:
    match fields:
        case {"reload": True}:
            return ReloadNotice()
        case {"hello": int(version), "at": [str(host), int(port)], "of": str(name)}:
            return Hello(version, (host, port), name)
        case {"welcome": {"form": int(version), "of": str(name)} as state}:
            return Welcome(_decode_state(version, name, state))
    return UnknownMessage()


def _decode_state(version: int, name: str, fields: _Fields) -> ProcessState:
    reports = fields.get("reports")
    endpoints = fields.get("known")
    weights = fields.get("weights", STATIC_WEIGHTS)
    return ProcessState(
        format_version=version,
        dispatcher_name=name,
        weight_semantics=weights if isinstance(weights, str) else "",
        report_fields=_strings(fields["fields"]) if "fields" in fields else None,
        manual_drains=_decode_drains(fields),
        known_ids=_strings(fields.get("ever")),
        endpoints=endpoints if isinstance(endpoints, dict) else None,
        load_reports={
            backend_id: report
            for backend_id, report in (reports.items() if isinstance(reports, dict) else ())
            if isinstance(report, list) and all(type(value) is float for value in report)
        },
        service_drained=fields.get("drained") is True,
    )


def _decode_drains(fields: _Fields) -> ManualDrainState:
    assumed = fields.get("assumed")
    return ManualDrainState(
        drained_since=_integers(fields.get("bans")),
        assumed_starts={
            backend_id: (times[0], times[1])
            for backend_id, times in (assumed.items() if isinstance(assumed, dict) else ())
            if isinstance(times, list)
            and len(times) == START_TIMES
            and all(type(time) is int for time in times)
        },
    )


def _decode_usage(fields: object) -> ProcessUsage | None:
    if not isinstance(fields, dict):
        return None
    counts = _integers(fields)
    return ProcessUsage(_strings(fields.get("ids")), counts.get("clients", 0), counts.get("runners", 0))


def decode_drain_record(content: bytes) -> ManualDrainRecord | None:
    """Decodes the content of the file of manual drains; None if it is JSON but not a record.

    Raises:
        ProtocolError: It is not JSON.
    """
    try:
        fields = orjson.loads(content)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(str(error)) from None
    if not isinstance(fields, dict) or not isinstance(fields.get("of"), str):
        return None
    return ManualDrainRecord(fields["of"], _decode_drains(fields), fields.get("drained") is True)


def _string(value: object) -> str:
    return value if isinstance(value, str) else ""


def _strings(value: object) -> list[str]:
    return [item for item in value if isinstance(item, str)] if isinstance(value, list) else []


def _integers(value: object) -> dict[str, int]:
    if not isinstance(value, dict):
        return {}
    return {name: number for name, number in value.items() if type(number) is int}
