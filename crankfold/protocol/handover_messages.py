"""What a process and the one that replaces it tell each other: one JSON object a line.

Keys on the wire are older than the names in the program: `take` is a `TakeoverRequest`, `yours` a
`TakeoverGrant`, `elsewhere` a `TakeoverRefusal`, `holds` a `UsageReport`, `ask` a query and `re` the
`QueryAnswer`. The file in which manual drains outlive both processes has keys of the state in a `Welcome`.
"""

from typing import Any, NamedTuple

import orjson

from crankfold.errors import CrankfoldError

FORMAT_VERSION = 1  # of Hello and Welcome; processes of different versions do not hand over
MAX_LINE_SIZE = 4 * 1024 * 1024  # bytes
DYNAMIC_WEIGHTS = "moving"  # weights in endpoint lists follow load
STATIC_WEIGHTS = "steady"  # they are sizes as discovery states them


class ProtocolError(CrankfoldError, ValueError):
    """The other side is no process of this program, or what it sent is damaged."""


class ManualDrainState(NamedTuple):
    """Backends that operators drained, by id. Times are tenths of a millisecond of the boot clock."""

    drained_since: dict[str, int]
    assumed_starts: dict[str, tuple[int, int]]  # restored ones: when the drain began, and the assumed start


class ManualDrainRecord(NamedTuple):
    """The content of the file that outlives the processes of a dispatcher."""

    dispatcher_name: str
    manual_drains: ManualDrainState


class ProcessState(NamedTuple):
    """What a process tells its successor about itself and its backends."""

    format_version: int
    dispatcher_name: str
    weight_semantics: str
    report_fields: list[str] | None  # None from a process of an older version, which has its successor's
    manual_drains: ManualDrainState
    known_ids: list[str]  # of backends ever listed
    endpoints: dict[str, Any] | None  # the list, in the form in which discovery answers
    load_reports: dict[str, list[float]]  # by backend id


class ProcessUsage(NamedTuple):
    """What a process that has handed over still holds."""

    request_ids: list[str]
    accepted_connections: int
    backend_connections: int


class Hello(NamedTuple):
    """From a new process: of which dispatcher it is, and where it is to listen."""

    format_version: int
    address: tuple[str, int]
    dispatcher_name: str


class Welcome(NamedTuple):
    """From the predecessor, the answer to `Hello`."""

    state: ProcessState


class TakeoverRequest(NamedTuple):
    """From a successor that is ready to serve."""


class TakeoverGrant(NamedTuple):
    """From the predecessor, which accepts no connections any more. No usage if it could not be read."""

    usage: ProcessUsage | None


class TakeoverRefusal(NamedTuple):
    """From a process that has handed over to another already, or does not serve itself."""


class UsageReport(NamedTuple):
    """From time to time, from a process that has handed over. No usage if it could not be read."""

    usage: ProcessUsage | None


class ManualDrainQuery(NamedTuple):
    """Asks to drain a backend, or to restore it; answered when the processes behind have done it too."""

    query_id: int
    backend_id: str
    drained: bool


class CallbackQuery(NamedTuple):
    """Asks whether the request of a backend's callback, which is given as JSON text, is in hand."""

    query_id: int
    callback: str


class UnknownQuery(NamedTuple):
    """A query of a newer version, which is answered in the negative."""

    query_id: int


class QueryAnswer(NamedTuple):
    """The answer to a query; always negative to a `ManualDrainQuery`."""

    query_id: int
    positive: bool


class UnknownMessage(NamedTuple):
    """A JSON object that is none of the messages above; it is ignored."""


Query = ManualDrainQuery | CallbackQuery | UnknownQuery
HandoverMessage = (
    Hello
    | Welcome
    | TakeoverRequest
    | TakeoverGrant
    | TakeoverRefusal
    | UsageReport
    | Query
    | QueryAnswer
    | UnknownMessage
)


# --- encoding ---


def encode_message(message: HandoverMessage) -> bytes:
    """The line for a message, with its end."""
    return orjson.dumps(_message_fields(message)) + b"\n"


def _message_fields(message: HandoverMessage) -> dict[str, Any]:  # noqa: C901 - one case for each message
    match message:
        case Hello():
            return {"hello": message.format_version, "at": message.address, "of": message.dispatcher_name}
        case Welcome():
            return {"welcome": _state_fields(message.state)}
        case TakeoverRequest():
            return {"take": True}
        case TakeoverGrant():
            return {"yours": _usage_fields(message.usage)}
        case TakeoverRefusal():
            return {"elsewhere": True}
        case UsageReport():
            return {"holds": _usage_fields(message.usage)}
        case ManualDrainQuery():
            word = "out" if message.drained else "back"
            return {"ask": message.query_id, "what": word, "uid": message.backend_id}
        case CallbackQuery():
            return {"ask": message.query_id, "what": "event", "body": message.callback}
        case UnknownQuery():
            return {"ask": message.query_id}
        case QueryAnswer():
            return {"re": message.query_id, "yes": message.positive}
        case UnknownMessage():
            return {}


def _state_fields(state: ProcessState) -> dict[str, Any]:
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
    }


def _usage_fields(usage: ProcessUsage | None) -> dict[str, Any] | None:
    if usage is None:
        return None
    return {
        "ids": usage.request_ids,
        "clients": usage.accepted_connections,
        "runners": usage.backend_connections,
    }


def encode_drain_record(record: ManualDrainRecord) -> bytes:
    """The content of the file of manual drains."""
    drains = record.manual_drains
    return orjson.dumps(
        {"of": record.dispatcher_name, "bans": drains.drained_since, "assumed": drains.assumed_starts}
    )


# --- decoding: what is not as it should be is left out, as processes of two versions may meet ---


class HandoverDecoder:
    """Splits the bytes from another process into messages."""

    def __init__(self) -> None:
        self.buffer = bytearray()

    def receive_data(self, data: bytes) -> list[HandoverMessage]:
        """The messages that are complete with these bytes.

        Raises:
            ProtocolError: if a line is too long or holds no JSON object.
        """
        self.buffer += data
        *lines, rest = bytes(self.buffer).split(b"\n")
        self.buffer = bytearray(rest)
        if len(rest) > MAX_LINE_SIZE:
            raise ProtocolError("a line without end")
        return [decode_message(line) for line in lines]


def decode_message(line: bytes) -> HandoverMessage:
    """The message in a line.

    Raises:
        ProtocolError: if the line holds no JSON object.
    """
    try:
        fields = orjson.loads(line)
    except orjson.JSONDecodeError as error:
        raise ProtocolError(str(error)) from None
    if not isinstance(fields, dict):
        raise ProtocolError("no object")
    if "take" in fields:
        return TakeoverRequest()
    if "yours" in fields:
        return TakeoverGrant(_decode_usage(fields["yours"]))
    if "elsewhere" in fields:
        return TakeoverRefusal()
    if "holds" in fields:
        return UsageReport(_decode_usage(fields["holds"]))
    if "ask" in fields:
        return _decode_query(fields)
    if "re" in fields and isinstance(fields["re"], int):
        return QueryAnswer(fields["re"], fields.get("yes") is True)
    return _decode_greeting(fields)


def _decode_query(fields: dict[str, Any]) -> Query:
    match fields:
        case {"ask": query_id, "what": "out" | "back" as word, "uid": str(backend_id)}:
            return ManualDrainQuery(query_id, backend_id, word == "out")
        case {"ask": query_id, "what": "event", "body": str(callback)}:
            return CallbackQuery(query_id, callback)
    return UnknownQuery(fields["ask"])


def _decode_greeting(fields: dict[str, Any]) -> HandoverMessage:
    match fields:
        case {"hello": int(version), "at": [str(host), int(port)], "of": str(name)}:
            return Hello(version, (host, port), name)
        case {"welcome": {"form": int(version), "of": str(name)} as state}:
            return Welcome(_decode_state(version, name, state))
    return UnknownMessage()


def _decode_state(version: int, name: str, fields: dict[str, Any]) -> ProcessState:
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
    )


def _decode_drains(fields: dict[str, Any]) -> ManualDrainState:
    assumed = fields.get("assumed")
    return ManualDrainState(
        drained_since=_integers(fields.get("bans")),
        assumed_starts={
            backend_id: (times[0], times[1])
            for backend_id, times in (assumed.items() if isinstance(assumed, dict) else ())
            if isinstance(times, list) and len(times) == 2 and all(type(time) is int for time in times)
        },
    )


def _decode_usage(fields: object) -> ProcessUsage | None:
    if not isinstance(fields, dict):
        return None
    counts = _integers(fields)
    return ProcessUsage(_strings(fields.get("ids")), counts.get("clients", 0), counts.get("runners", 0))


def decode_drain_record(content: bytes) -> ManualDrainRecord | None:
    """The content of a file of manual drains; None if it holds another JSON value than a record.

    Raises:
        ValueError: if it holds no JSON.
    """
    fields = orjson.loads(content)
    if not isinstance(fields, dict) or not isinstance(fields.get("of"), str):
        return None
    return ManualDrainRecord(fields["of"], _decode_drains(fields))


def _strings(value: object) -> list[str]:
    return [item for item in value if isinstance(item, str)] if isinstance(value, list) else []


def _integers(value: object) -> dict[str, int]:
    if not isinstance(value, dict):
        return {}
    return {name: number for name, number in value.items() if type(number) is int}
