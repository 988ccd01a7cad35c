"""Calls the admin server of a dispatcher, and has the errors with which commands exit when a call fails."""

import http.client
import json
import secrets
from dataclasses import dataclass
from http import HTTPStatus
from typing import IO, Any

import click

from crankfold.errors import CrankfoldError

EXIT_DONE = 0
EXIT_REJECTED = 1
EXIT_UNREACHABLE = 3
EXIT_NOT_APPLIED = 4  # published, but not active at each dispatcher yet

HTTP_OK = HTTPStatus.OK.value
HTTP_NO_OUTCOME = HTTPStatus.GATEWAY_TIMEOUT.value  # the wait has ended; the operation may still complete
RESPONSE_MARGIN_SECONDS = 15.0  # how long to wait for a response beyond the wait that the call requests
CALL_ID_BYTES = 8
JSON_INDENT = 2  # spaces

JsonObject = dict[str, Any]


class CommandError(CrankfoldError, click.ClickException):
    """A command has failed; click prints the text and exits with `exit_code`."""

    def show(self, file: IO[Any] | None = None) -> None:
        """Prints the text to standard error, or to `file`."""
        click.echo(f"crankfold: {self.message}", file=file, err=file is None)


class UnreachableError(CommandError):
    """No admin server answers at the address, or the outcome of the call is unknown."""

    exit_code = EXIT_UNREACHABLE


class CallRejectedError(CommandError):
    """The dispatcher has rejected the call."""

    exit_code = EXIT_REJECTED


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response of the admin server.

    Attributes:
        status: The HTTP status.
        content: The JSON object in the body.
    """

    status: int
    content: JsonObject

    @property
    def reason(self) -> str:
        """Why the server did not execute the call; the complete content if the server gives no reason."""
        return str(self.content.get("text", self.content))

    def require_ok(self) -> JsonObject:
        """Returns the content of a successful response.

        Raises:
            UnreachableError: The status is not HTTP_OK.
        """
        if self.status != HTTP_OK:
            raise UnreachableError(self.reason)
        return self.content


def call_admin(
    address: str, path: str, body: JsonObject | None = None, *, wait_seconds: float = 0.0
) -> AdminResponse:
    """Sends one request to an admin server: a POST if there is a body, else a GET.

    Args:
        address: HOST:PORT of the admin server.
        path: The path below `/control/`.
        body: The content of a POST, sent as JSON.
        wait_seconds: How long the server may wait before it responds.

    Raises:
        UnreachableError: There is no response, or it is not a JSON object.
    """
    try:
        status, text = _send_request(address, path, body, wait_seconds + RESPONSE_MARGIN_SECONDS)
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise UnreachableError(f"{address}: {error or type(error).__name__}") from None
    try:
        content = json.loads(text)
    except json.JSONDecodeError:
        raise UnreachableError(f"{address}: {text.decode(errors='replace').strip()}") from None
    except ValueError as error:
        raise UnreachableError(f"{address}: {error}") from None
    if not isinstance(content, dict):
        raise UnreachableError(str(content))
    return AdminResponse(status, content)


def _send_request(address: str, path: str, body: JsonObject | None, timeout: float) -> tuple[int, bytes]:
    """Returns the status and the body of the response; `timeout` is in seconds."""
    host, _, port = address.rpartition(":")
    connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=timeout)
    method = "GET" if body is None else "POST"
    payload = None if body is None else json.dumps(body).encode()
    connection.request(method, f"/control/{path}", payload)
    response = connection.getresponse()
    text = response.read()
    connection.close()
    return response.status, text


def new_call_id() -> str:
    """Returns a random call identifier. The server executes calls with the same identifier once."""
    return secrets.token_hex(CALL_ID_BYTES)


def format_json(value: object) -> str:
    """Returns the JSON text that commands print, indented and with sorted keys."""
    return json.dumps(value, indent=JSON_INDENT, sort_keys=True)
