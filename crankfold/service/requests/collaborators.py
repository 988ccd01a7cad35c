"""The interfaces through which request handling uses the cluster and the other processes of a dispatcher.

A process without peers or without a handover directory uses the `No...` implementations, and so does not
import the modules of the cluster and of the handover.
"""

from collections.abc import Callable, Sequence
from enum import Enum
from typing import Protocol

from crankfold.routing.interface import Outcome

CallbackAnswer = Callable[[bool | None], None]
"""Takes True if another process handled the callback, False if none did, None if one did not answer."""

ReservationAnswer = Callable[[bool | None], None]
"""Takes True if the request id is in use at another process, False if not, None if that is not known."""


class RecordedEvent(Enum):
    """Kinds of lines in the event log of a dispatcher with peers; the values are those in the file."""

    REQUEST_ADMITTED = "take"
    ATTEMPT_SENT = "dispatch"
    CONFIG_APPLIED = "rules"


class ClusterServices(Protocol):
    """The services of the dispatcher cluster that requests and attempts use."""

    def may_act(self) -> bool:
        """Whether a request may be admitted, or an attempt sent, under the configuration in force."""

    def authorize_action(self) -> bool:
        """Returns `may_act` for an action that is about to start.

        Records the action if the configuration may be outdated.
        """

    def acquire_quota(self, request_class: str, tenant: str) -> Sequence[str] | None:
        """Counts a request against the cluster-wide limits, unless one of them is used up.

        Returns:
            The names of these limits, for `release_quota`; None if one is used up.
        """

    def release_quota(self, limits: Sequence[str]) -> None:
        """Stops counting a request against these limits."""

    def record_event(self, event: RecordedEvent, request_id: str, subject: str) -> None:
        """Writes an event to the event log, if there is one; `subject` is a request class or a backend id."""

    def attempt_abandoned(self, backend_id: str, request_id: str) -> None:
        """Records that an attempt was abandoned; the backend may still execute it."""

    def attempt_finished(self, backend: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt at the backend with that index."""

    def abandoned_attempt_finished(self, request_id: str, backend_id: str) -> None:
        """Records that the backend confirmed the end of an abandoned attempt."""


class OtherProcesses(Protocol):
    """The predecessor and the successors of this process."""

    def has_successor(self) -> bool:
        """Whether a successor accepts connections instead of this process."""

    def has_request(self, request_id: str) -> bool:
        """Whether the request is in progress at the predecessor."""

    def reserve_request_id(self, request_id: str, on_answer: ReservationAnswer) -> None:
        """Reserves the id of a new request at the successor, which may have the id in use.

        `on_answer` is called with the answer, possibly before the return.
        """

    def release_request_id(self, request_id: str, *, executed: bool = False, attempted: bool = False) -> None:
        """Ends the use of a request id by this process.

        Args:
            request_id: The id.
            executed: Whether the request may have been executed, so that no process may execute the id again.
            attempted: Whether a backend may have received the request, so that callbacks may still come.
        """

    def forward_callback(self, body: bytes, on_answer: CallbackAnswer) -> bool:
        """Forwards a callback for a request that is not in progress at this process.

        Returns:
            Whether there is another process. If so, `on_answer` is called, possibly before the return.
        """

    def replaces_predecessor(self) -> bool:
        """Whether a predecessor of this process still runs."""

    async def replicate_manual_drain(self, backend_id: str, drained: bool) -> None:
        """Saves the manual drains and applies a drain, or its end, at the other processes."""

    async def replicate_service_drain(self, drained: bool) -> bool:
        """Saves the drain of the dispatcher, or its end, and applies it at the other processes.

        Returns:
            Whether all other processes have confirmed it or have ended.
        """


class NoCluster:
    """A dispatcher without peers: its configuration is always valid; there are no quotas and no event log."""

    def may_act(self) -> bool:
        """See `ClusterServices`."""
        return True

    def authorize_action(self) -> bool:
        """See `ClusterServices`."""
        return self.may_act()

    def acquire_quota(
        self,
        request_class: str,  # noqa: ARG002 - there are no quotas
        tenant: str,  # noqa: ARG002 - there are no quotas
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
    """A process without predecessor and successor."""

    def has_successor(self) -> bool:
        """See `OtherProcesses`."""
        return False

    def has_request(self, request_id: str) -> bool:  # noqa: ARG002 - there is no other process
        """See `OtherProcesses`."""
        return False

    def reserve_request_id(
        self,
        request_id: str,  # noqa: ARG002 - there is no other process
        on_answer: ReservationAnswer,
    ) -> None:
        """See `OtherProcesses`."""
        on_answer(False)

    def release_request_id(self, request_id: str, *, executed: bool = False, attempted: bool = False) -> None:
        """See `OtherProcesses`."""

    def forward_callback(
        self,
        body: bytes,  # noqa: ARG002 - there is no other process
        on_answer: CallbackAnswer,  # noqa: ARG002 - there is no other process
    ) -> bool:
        """See `OtherProcesses`."""
        return False

    def replaces_predecessor(self) -> bool:
        """See `OtherProcesses`."""
        return False

    async def replicate_manual_drain(self, backend_id: str, drained: bool) -> None:
        """See `OtherProcesses`."""

    async def replicate_service_drain(self, drained: bool) -> bool:  # noqa: ARG002 - there is no other process
        """See `OtherProcesses`."""
        return True
