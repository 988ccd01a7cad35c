"""The `peers` part of the configuration."""

from typing import Literal

import msgspec
from msgspec import Struct, field

from crankfold.errors import CrankfoldError

MAX_NAME_LENGTH = 100
VOTER_COUNTS = (3, 5, 7)
MIN_STALENESS_BOUND = 0.5  # seconds; elections and leases have to fit in
MAX_STALENESS_BOUND = 60  # seconds


class ClusterConfigError(CrankfoldError, ValueError):
    """The `peers` part of the configuration cannot be used; the text says why, with the key."""


class ClusterConfig(Struct, rename="kebab", forbid_unknown_fields=True):
    """How this process takes part in its cluster.

    Attributes:
        name: Its name in the cluster.
        voters: Addresses of the voters, HOST:PORT by name.
        address: Where a voter listens, if not at its address in `voters`.
        zone: Where it stands, for maintenance of dispatchers.
        storage_folder: Where a voter stores its state.
        staleness_bound: How long, in seconds, two dispatchers may act on contradicting versions.
        isolation_policy: Whether to go on under the last settings, or to shed, without a lease.
        is_successor: Whether it replaces another process; set by the process itself.
        event_log_path: A file to which everything done is written, for `crankfold trial`; "-" for the
            standard output, empty for none.
    """

    name: str
    voters: dict[str, str]
    address: str = ""
    zone: str = ""
    storage_folder: str = field(default="", name="folder")
    staleness_bound: float = field(default=2.0, name="stated-time")
    isolation_policy: Literal["shed", "go-on"] = field(default="shed", name="when-cut-off")
    is_successor: bool = field(default=False, name="succeeds")
    event_log_path: str = field(default="", name="record")

    @property
    def is_voter(self) -> bool:
        """Whether it has a vote."""
        return self.name in self.voters

    @property
    def listen_address(self) -> str:
        """Where a voter listens."""
        return self.address or self.voters[self.name]

    def config_error(self) -> str:
        """What is wrong, with the key, the value found and those allowed; empty if nothing is."""
        if not self.name or len(self.name) > MAX_NAME_LENGTH:
            return f"peers.name: found {self.name!r}; 1 to {MAX_NAME_LENGTH} characters"
        if self.is_voter and not self.storage_folder:
            return "peers.folder: missing; a voter needs one for what must last"
        if self.is_voter and not self.listen_address:
            return "peers.address: missing; a voter has to be heard"
        if len(self.voters) not in VOTER_COUNTS:
            return f"peers.voters: found {len(self.voters)}; 3, 5 or 7"
        if self.staleness_bound < MIN_STALENESS_BOUND:
            return (
                f"peers.stated-time: found {self.staleness_bound}; at least {MIN_STALENESS_BOUND} s, as "
                f"elections and leases have to fit in"
            )
        if self.staleness_bound > MAX_STALENESS_BOUND:
            return f"peers.stated-time: found {self.staleness_bound}; {MAX_STALENESS_BOUND} s at most"
        for name, address in [*self.voters.items(), ("address", self.address)]:
            if address:
                try:
                    parse_address(address)
                except ValueError:
                    return f"peers: {name}: found {address!r}; HOST:PORT"
        return ""


def parse_address(text: str) -> tuple[str, int]:
    """Host and port of HOST:PORT; an IPv6 address stands in brackets.

    Raises:
        ValueError: The port is no number.
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def read_cluster_config(given: object) -> ClusterConfig:
    """The `peers` part of a configuration.

    Raises:
        ClusterConfigError: It cannot be used.
    """
    try:
        config = msgspec.convert(given, ClusterConfig)
    except msgspec.ValidationError as error:
        raise ClusterConfigError(f"peers: {error}") from None
    error_text = config.config_error()
    if error_text:
        raise ClusterConfigError(error_text)
    return config
