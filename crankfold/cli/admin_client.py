"""Calls to the admin server of a dispatcher, and how a command ends if they fail."""

import http.client
import json
from dataclasses import dataclass
from typing import IO, Any

import click

from crankfold.errors import CrankfoldError

EXIT_DONE = 0
EXIT_REFUSED = 1
EXIT_UNREACHABLE = 3
EXIT_NOT_APPLIED = 4  # published, but not applied by every dispatcher yet

HTTP_OK = 200
HTTP_NO_OUTCOME = 504  # the outcome is unknown: the dispatcher timed out before it was known
RESPONSE_MARGIN = 15.0  # seconds to wait for a response, beyond what the call itself waits for


class CommandError(CrankfoldError, click.ClickException):
    """A command has failed; click prints the text and exits with `exit_code`."""

    def show(self, file: IO[Any] | None = None) -> None:
        """Print the text to standard error, or to `file`."""
        click.echo(f"crankfold: {self.message}", file=file, err=file is None)


class UnreachableError(CommandError):
    """No admin server answers at the address, or the outcome of the call is unknown."""

    exit_code = EXIT_UNREACHABLE


class RefusedError(CommandError):
    """The dispatcher rejected the call."""

    exit_code = EXIT_REFUSED


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """The status of a response of the admin server, and the JSON object in its body."""

    status: int
    content: dict[str, Any]

    @property
    def reason(self) -> str:
        """The reason of the server for a rejected call."""
        return str(self.content.get("text", self.content))

    def require_ok(self) -> dict[str, Any]:
        """The content of a successful response.

        Raises:
            UnreachableError: The status is another one.
        """
        if self.status != HTTP_OK:
            raise UnreachableError(self.reason)
        return self.content


def call_admin(
    address: str, path: str, body: dict[str, Any] | None = None, *, wait_seconds: float = 0.0
) -> AdminResponse:
    """Send one request to the admin server at `address` (HOST:PORT): a POST if there is a body, else a GET.

    `wait_seconds` is how long the server may wait for an outcome before it answers.

    Raises:
        UnreachableError: There is no answer, or it is not a JSON object.
    """
    host, _, port = address.rpartition(":")
    text = b""
    try:
        connection = http.client.HTTPConnection(
            host.strip("[]"), int(port), timeout=wait_seconds + RESPONSE_MARGIN
        )
        method = "GET" if body is None else "POST"
        payload = None if body is None else json.dumps(body).encode()
        connection.request(method, f"/control/{path}", payload)
        response = connection.getresponse()
        text = response.read()
        connection.close()
        content = json.loads(text)
    except json.JSONDecodeError:
        raise UnreachableError(f"{address}: {text.decode(errors='replace').strip()}") from None
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise UnreachableError(f"{address}: {error or type(error).__name__}") from None
    if not isinstance(content, dict):
        raise UnreachableError(str(content))
    return AdminResponse(response.status, content)


def format_json(value: object) -> str:
    """The JSON text that commands print: indented, with sorted keys."""
    return json.dumps(value, indent=2, sort_keys=True)
