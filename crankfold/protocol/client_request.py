"""What a client asks for: the HTTP request as it is forwarded, and what its headers say about it."""

from dataclasses import dataclass


@dataclass(slots=True)
class HttpRequest:
    """An HTTP request as it is sent to a backend, once for each attempt."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes


@dataclass(slots=True)
class ClientRequest:
    """A request read from a client connection, with what routing needs to know of it.

    Attributes:
        request_id: The client's id, unique among all requests in hand.
        request_class: The name of its request class.
        tenant: The name of the tenant that pays for it; empty where none is named.
        timeout: How long the client waits, in tenths of a millisecond.
        work: The estimated processing time, in tenths of a millisecond.
        slots: How many slots of a backend it takes up.
        http: What is sent to a backend.
        affinity_key: A hash of the data it needs, the same at every dispatcher; 0 where none is named.
        is_retry: Whether the client says that it sent the request before.
    """

    request_id: str
    request_class: str
    tenant: str
    timeout: int
    work: int
    slots: float
    http: HttpRequest
    affinity_key: int
    is_retry: bool
