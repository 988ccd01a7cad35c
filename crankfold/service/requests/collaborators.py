"""What the request side needs from the cluster and from other processes of the same dispatcher.

A start without peers or without a handover folder uses the `No...` implementations, so nothing of the
cluster is imported for it.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from crankfold.routing.interface import Outcome

CallbackAnswer = Callable[[bool | None], None]
"""Takes True once another process handled a callback, False if none knew it, None if one did not answer."""


class RecordedEvent(Enum):
    """What is written to the record of a dispatcher with peers; the values stand in that file."""

    REQUEST_ADMITTED = "take"
    ATTEMPT_SENT = "dispatch"
    CONFIG_APPLIED = "rules"


class ClusterServices(Protocol):
    """The cluster of dispatchers, as far as requests and attempts depend on it."""

    def has_valid_config(self) -> bool:
        """Whether requests may be admitted and attempts be sent under the configuration in force."""

    def acquire_quota(self, request_class: str, tenant: str) -> Sequence[str] | None:
        """Counts one more request.

        Returns:
            The names of the limits that count it, for `release_quota`; None where one of them is used up.
        """

    def release_quota(self, limits: Sequence[str]) -> None:
        """Counts a request no longer."""

    def record_event(self, event: RecordedEvent, request_id: str, subject: str) -> None:
        """Writes an event to the record, if one is kept; `subject` is a request class or a backend id."""

    def attempt_abandoned(self, backend_id: str, request_id: str) -> None:
        """An attempt was given up, and the backend may still execute it."""

    def attempt_finished(self, backend: int, outcome: Outcome) -> None:
        """An attempt on the backend with that index has ended."""

    def abandoned_attempt_finished(self, request_id: str, backend_id: str) -> None:
        """The backend told the end of an attempt that is not waited for."""


class OtherProcesses(Protocol):
    """The processes of the same dispatcher that this one took over from, or that take over from it."""

    def has_successor(self) -> bool:
        """Whether another process accepts connections in place of this one."""

    def has_request(self, request_id: str) -> bool:
        """Whether the predecessor still has that request in hand."""

    def forward_callback(self, body: bytes, on_answer: CallbackAnswer) -> bool:
        """Passes on a callback for a request that is not in hand here.

        Returns:
            Whether there was a process to ask; only then `on_answer` is called, maybe at once.
        """

    async def replicate_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Records a manual drain or its end, and has the other processes do it too."""


class NoCluster:
    """A dispatcher without peers: its own file is always valid, and nothing is limited or recorded."""

    def has_valid_config(self) -> bool:
        """See `ClusterServices`."""
        return True

    def acquire_quota(
        self,
        request_class: str,  # noqa: ARG002 - nothing is limited
        tenant: str,  # noqa: ARG002 - nothing is limited
    ) -> Sequence[str] | None:
        """See `ClusterServices`."""
        return ()

    def release_quota(self, limits: Sequence[str]) -> None:
        """See `ClusterServices`."""

    def record_event(self, event: RecordedEvent, request_id: str, subject: str) -> None:
        """See `ClusterServices`."""

    def attempt_abandoned(self, backend_id: str, request_id: str) -> None:
        """See `ClusterServices`."""

    def attempt_finished(self, backend: int, outcome: Outcome) -> None:
        """See `ClusterServices`."""

    def abandoned_attempt_finished(self, request_id: str, backend_id: str) -> None:
        """See `ClusterServices`."""


class NoOtherProcess:
    """A process that nobody takes over from and that took over from nobody."""

    def has_successor(self) -> bool:
        """See `OtherProcesses`."""
        return False

    def has_request(self, request_id: str) -> bool:  # noqa: ARG002 - nobody else has any
        """See `OtherProcesses`."""
        return False

    def forward_callback(
        self,
        body: bytes,  # noqa: ARG002 - there is nobody to ask
        on_answer: CallbackAnswer,  # noqa: ARG002 - there is nobody to ask
    ) -> bool:
        """See `OtherProcesses`."""
        return False

    async def replicate_manual_drain(self, backend_id: str, drained: bool) -> None:
        """See `OtherProcesses`."""
