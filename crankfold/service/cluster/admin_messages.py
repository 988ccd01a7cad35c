"""The calls and answers of the admin API of the cluster, with the JSON keys that operators' commands use.

Only this module maps these keys to the names in the code.
"""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any, NamedTuple

import msgspec
import orjson
from msgspec import Struct, field


class AdminAnswer(NamedTuple):
    """The HTTP status and the JSON body of an answer."""

    status: int
    body: str


class PublishRequest(Struct, rename="kebab", forbid_unknown_fields=True):
    """The call that publishes a new version of a document."""

    call: str  # idempotency key of the call
    made_from: int  # number of the version that the content is based on
    content: dict[str, Any] = field(name="text")
    author: str = ""
    reason: str = ""
    wait: float = 0.0  # seconds to wait for all dispatchers to apply the version


class MembershipChangeRequest(Struct, forbid_unknown_fields=True):
    """The call that adds voters or removes one; the cluster accepts one change at a time."""

    call: str  # idempotency key of the call
    add: dict[str, str] = field(default_factory=dict)  # voter name to address
    remove: str = ""  # voter name


class CallOutcome(Struct):
    """Whether a call was accepted, and the reason if it was not."""

    accepted: bool = field(name="well")
    reason: str = field(name="text")


class MembershipOutcome(CallOutcome):
    """The outcome of a change of the voters, with the requested voters."""

    voters: dict[str, str]  # voter name to address


class PublishOutcome(CallOutcome):
    """The outcome of a publish, with the number of the version."""

    number: int


class AppliedPublishOutcome(PublishOutcome):
    """The outcome of a publish that waited for all dispatchers to apply the version."""

    is_active: bool = field(name="counts")
    lagging_members: list[str] = field(name="lag")  # a description of each


class DocumentAnswer(Struct):
    """A document with its versions."""

    name: str = field(name="doc")
    active_number: int = field(name="counts")
    newest_number: int = field(name="newest")
    has_lease: bool = field(name="acts")
    effective_content: dict[str, Any] | None = field(name="acting")
    versions: list[dict[str, Any]]


class ErrorAnswer(Struct):
    """The reason why a document cannot be read."""

    reason: str = field(name="text")


def encode_answer(status: HTTPStatus, content: Struct | Mapping[str, Any]) -> AdminAnswer:
    """Returns an answer whose body is `content` as JSON."""
    return AdminAnswer(int(status), orjson.dumps(msgspec.to_builtins(content)).decode())
