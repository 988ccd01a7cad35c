"""The `peers` part of the configuration."""

from typing import Literal

import msgspec
from msgspec import Struct, field

from crankfold.errors import CrankfoldError

MAX_NAME_CHARACTERS = 100
VOTER_COUNTS = (3, 5, 7)
MIN_STALENESS_BOUND_SECONDS = 0.5  # leaves time for elections and leases, which last fractions of it
MAX_STALENESS_BOUND_SECONDS = 60


class ClusterConfigError(CrankfoldError, ValueError):
    """The `peers` part of the configuration is invalid; the message names the key and the reason."""


class ClusterConfig(Struct, rename="kebab", forbid_unknown_fields=True):
    """The settings of this process as a member of its cluster.

    Attributes:
        name: The name of the member.
        voters: Addresses of the voters, HOST:PORT by name.
        address: The address at which a voter listens; empty for its address in `voters`.
        zone: The zone of the dispatcher, for maintenance of dispatchers.
        storage_folder: The folder for the state of a voter.
        staleness_bound: The longest time, in seconds, for which two dispatchers act on contradicting
            versions.
        isolation_policy: Whether a member without a lease sheds requests or continues with its last settings.
        is_successor: Whether this process takes over from a predecessor; set by the process itself.
        event_log_path: The file of the event log that `crankfold trial` reads; "-" for standard output, empty
            for no event log.
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
        """Whether the member is a voter."""
        return self.name in self.voters

    @property
    def listen_address(self) -> str:
        """The address at which a voter listens, HOST:PORT."""
        return self.address or self.voters[self.name]

    def config_error(self) -> str:
        """Returns key, value and permitted values of the first invalid setting; empty if all are valid."""
        if not self.name or len(self.name) > MAX_NAME_CHARACTERS:
            return f"peers.name: found {self.name!r}; 1 to {MAX_NAME_CHARACTERS} characters"
        if self.is_voter and not self.storage_folder:
            return "peers.folder: missing; a voter needs one for what must last"
        if self.is_voter and not self.listen_address:
            return "peers.address: missing; the other members connect to a voter"
        if len(self.voters) not in VOTER_COUNTS:
            return f"peers.voters: found {len(self.voters)}; 3, 5 or 7"
        if self.staleness_bound < MIN_STALENESS_BOUND_SECONDS:
            return (
                f"peers.stated-time: found {self.staleness_bound}; at least {MIN_STALENESS_BOUND_SECONDS} s, "
                f"as elections and leases have to fit in"
            )
        if self.staleness_bound > MAX_STALENESS_BOUND_SECONDS:
            return f"peers.stated-time: found {self.staleness_bound}; {MAX_STALENESS_BOUND_SECONDS} s at most"
        return self._address_error()

    def _address_error(self) -> str:
        for name, address in [*self.voters.items(), ("address", self.address)]:
            if not address:
                continue
            try:
                parse_address(address)
            except ValueError:
                return f"peers: {name}: found {address!r}; HOST:PORT"
        return ""


def parse_address(text: str) -> tuple[str, int]:
    """Returns the host and the port of HOST:PORT; an IPv6 address is in brackets.

    Raises:
        ValueError: The port is not a number.
    """
    host, _, port = text.rpartition(":")
    return host.strip("[]"), int(port)


def read_cluster_config(peers: object) -> ClusterConfig:
    """Decodes and validates the `peers` part of a configuration.

    Raises:
        ClusterConfigError: The part is invalid.
    """
    try:
        config = msgspec.convert(peers, ClusterConfig)
    except msgspec.ValidationError as error:
        raise ClusterConfigError(f"peers: {error}") from None
    error_text = config.config_error()
    if error_text:
        raise ClusterConfigError(error_text)
    return config
