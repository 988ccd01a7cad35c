"""Reads the configurations of the routing and of the service from settings.

Settings are flat: each is a text with a path, such as `allowed.connect-timeout`. The simulator passes them in
this form; the nested settings of a configuration file are flattened first. Only this package knows the paths.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from crankfold.config.interning import Interner
from crankfold.errors import CrankfoldError
from crankfold.routing.interface import DeduplicationScope, Idempotency, RequestClass, RoutingConfig
from crankfold.time_units import MICROSECONDS_PER_TICK

# The settings that a reload may change; the state stored for backends depends on the others.
RELOADABLE = ("service-grades", "allowed", "score-parts", "revenue-per", "orgs")
# Microseconds. Allows for one retransmission of the SYN, which the kernel sends after 1 s (RFC 6298).
DEFAULT_CONNECT_TIMEOUT = 1_100_000
# Microseconds. A connection that is closed too early costs a handshake, one reused too late a request.
DEFAULT_IDLE_TIMEOUT = 4_000_000
DEFAULT_TIMER_RESOLUTION = 1_000  # microseconds
DEFAULT_MAX_PENDING = 20_000  # requests
_IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENT_WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
_SCOPES = {"all": DeduplicationScope.GLOBAL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


class SettingsError(CrankfoldError, ValueError):
    """A number in the settings is malformed."""


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """The configuration of the service without that of the routing. Times are in ticks.

    Attributes:
        request_classes: The names of the request classes, with their indices.
        zones: The names of the zones, with their indices.
        instance_types: The names of the instance types, with their indices.
        report_fields: The names of the fields of load reports, in the order of their values.
        connect_timeout: The longest time that connecting to a backend may take.
        idle_timeout: The idle time after which a backend may close a connection.
        longest_deadline: The longest deadline of all request classes.
        max_pending: The largest number of open requests; further ones are shed.
        slow_start_duration: The time from the start of a backend to its full capacity.
        initial_capacity: The share of its capacity that a backend has at its start.
    """

    request_classes: Interner[str]
    zones: Interner[str]
    instance_types: Interner[str]
    report_fields: tuple[str, ...]
    connect_timeout: int
    idle_timeout: int
    longest_deadline: int
    max_pending: int
    slow_start_duration: int
    initial_capacity: float


class _Settings:
    """Reads typed values from flat settings. A missing or empty setting has the default value."""

    def __init__(self, texts: Mapping[str, str]) -> None:
        self.texts = texts

    def text(self, path: str, default: str = "") -> str:
        return self.texts.get(path) or default

    def flag(self, path: str, default: bool = False) -> bool:
        text = self.texts.get(path)
        return text == "true" if text else default

    def integer(self, path: str, default: int) -> int:
        """Returns an integer setting.

        Raises:
            SettingsError: The text is not an integer.
        """
        try:
            return int(self.texts.get(path) or default)
        except ValueError as error:
            raise SettingsError(str(error)) from error

    def number(self, path: str, default: float) -> float:
        """Returns a numeric setting.

        Raises:
            SettingsError: The text is not a number.
        """
        return _parse_number(self.texts.get(path) or default)

    def upper_bound(self, path: str, default: int = 0) -> int:
        """Returns a duration that the program must not exceed, rounded down from microseconds to ticks."""
        return int(self.number(path, default)) // MICROSECONDS_PER_TICK

    def lower_bound(self, path: str, default: int = 0) -> int:
        """Returns the shortest duration that the program must wait, rounded up from microseconds to ticks."""
        return -(-int(self.number(path, default)) // MICROSECONDS_PER_TICK)

    def items(self, path: str) -> list[str]:
        """Returns the texts of a list of plain values."""
        return [item for item in self.text(path).split(",") if item]

    def numbers(self, path: str) -> list[float]:
        """Returns the values of a list of numbers."""
        return [_parse_number(item) for item in self.items(path)]

    def names(self, path: str) -> Interner[str]:
        """Returns the names in a list of objects or of plain values, with their indices.

        An object without a name has its position as its name.
        """
        count = self.integer(f"{path}.count", 0)
        if count:
            return Interner(self.text(f"{path}.{index}.name", str(index)) for index in range(count))
        return Interner(self.items(path))


def _parse_number(text: str | float) -> float:
    try:
        return float(text)
    except ValueError as error:
        raise SettingsError(str(error)) from error


def parse_lines(text: str) -> dict[str, str]:
    """Parses flat settings from lines of the form `PATH=VALUE`; other lines are ignored."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten_settings(given: object, path: str = "") -> dict[str, str]:
    """Flattens nested settings.

    A list of plain values becomes one comma-separated text. A list of objects becomes `PATH.count` and the
    settings of each object under `PATH.INDEX`.
    """
    if isinstance(given, dict):
        flat: dict[str, str] = {}
        for name, value in given.items():
            flat |= flatten_settings(value, f"{path}.{name}" if path else str(name))
        return flat
    if isinstance(given, list):
        if any(isinstance(item, dict) for item in given):
            flat = {f"{path}.count": str(len(given))}
            for index, item in enumerate(given):
                flat |= flatten_settings(item, f"{path}.{index}")
            return flat
        return {path: ",".join(setting_text(item) for item in given)}
    return {path: setting_text(given)}


def setting_text(value: object) -> str:
    """Returns a plain value as a text of flat settings; spaces and commas become underscores."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def read_service_config(flat_settings: Mapping[str, str]) -> ServiceConfig:
    """Reads the configuration of the service from flat settings.

    Raises:
        SettingsError: A number is malformed.
    """
    settings = _Settings(flat_settings)
    settings.names("orgs")  # only validated: a request names its tenant in a header
    request_classes = settings.names("service-grades")
    deadlines = (
        settings.upper_bound(f"service-grades.{index}.cut-off") for index in range(len(request_classes.names))
    )
    return ServiceConfig(
        request_classes=request_classes,
        zones=settings.names("zones"),
        instance_types=settings.names("kinds"),
        report_fields=tuple(settings.items("report.names")),
        connect_timeout=settings.upper_bound("allowed.connect-timeout", DEFAULT_CONNECT_TIMEOUT),
        idle_timeout=settings.upper_bound("allowed.conn-idle", DEFAULT_IDLE_TIMEOUT),
        longest_deadline=max(deadlines, default=0),
        max_pending=settings.integer("allowed.most-held", DEFAULT_MAX_PENDING),
        slow_start_duration=settings.lower_bound("rules.warm-after"),
        initial_capacity=_read_initial_capacity(settings),
    )


def read_routing_config(flat_settings: Mapping[str, str]) -> RoutingConfig:
    """Reads the configuration of the routing from flat settings.

    Raises:
        SettingsError: A number is malformed.
    """
    settings = _Settings(flat_settings)
    return RoutingConfig(
        request_classes=_read_request_classes(settings),
        instance_count=max(settings.integer("balancers", 1), 1),
        zone=settings.integer("zone", 0),
        timer_resolution=settings.lower_bound("tick", DEFAULT_TIMER_RESOLUTION),
        priority_by_work=settings.text("revenue-per") == "work",
        worst_class_weight=settings.number("score-parts.worst-class", 0.0),
        cancellation_allowed=settings.flag("allowed.cancel"),
        probing_allowed=settings.flag("allowed.probing"),
        hedging_allowed=settings.flag("allowed.second-copies"),
        max_attempts=settings.integer("allowed.most-dispatches", 1),
        max_retry_after=_read_max_retry_after(settings),
        reports_in_responses=settings.text("report.via") == "inline",
        reports_by_probe=settings.text("report.via") == "on_probe",
        report_fields=_read_report_fields(settings),
        start_notifications=settings.flag("specifics.tells-start"),
        progress_interval=settings.lower_bound("specifics.progress"),
        discovery_by_poll=settings.text("membership-mode") == "on_request",
        poll_within=settings.upper_bound("rules.ask-within"),
        initial_capacity=_read_initial_capacity(settings),
        warm_up_time=settings.lower_bound("rules.warm-after"),
        overload_factor=settings.number("rules.overload-factor", 1.0),
        overload_period=settings.lower_bound("rules.overload-for"),
        instance_index=settings.integer("me", -1),
        weights_follow_load=settings.text("weights") == "live",
        key_affinity=settings.flag("specifics.keeps-keys", default=True),
    )


def _read_max_retry_after(settings: _Settings) -> int:
    if not settings.flag("allowed.retry-after"):
        return 0
    return settings.upper_bound("allowed.max-retry-after")


def _read_initial_capacity(settings: _Settings) -> float:
    return settings.number("rules.cold-from", 1.0)


def _read_request_classes(settings: _Settings) -> list[RequestClass]:
    default_factors = settings.numbers("specifics.class-stretch")
    request_classes = []
    for index in range(settings.integer("service-grades.count", 0)):
        # The list has a default factor for each class; classes beyond its end have its last factor.
        default_factor = default_factors[min(index, len(default_factors) - 1)] if default_factors else 0.0
        request_classes.append(_read_request_class(settings, f"service-grades.{index}", default_factor))
    return request_classes


def _read_request_class(settings: _Settings, path: str, default_factor: float) -> RequestClass:
    # An unknown idempotency or scope is read as the strictest one.
    return RequestClass(
        idempotency=_IDEMPOTENCY.get(settings.text(f"{path}.effect"), Idempotency.NON_IDEMPOTENT),
        deduplication_scope=_SCOPES.get(settings.text(f"{path}.group"), DeduplicationScope.CELL),
        deduplication_window=settings.upper_bound(f"{path}.repeat-window"),
        latency_objective=settings.upper_bound(f"{path}.expected-time"),
        objective_per_work=settings.number(f"{path}.aim-stretch", default_factor),
        deadline=settings.upper_bound(f"{path}.cut-off"),
        priority_weight=settings.number(f"{path}.revenue", 1.0),
        late_value=settings.number(f"{path}.tardy-revenue", 0.0),
    )


def _read_report_fields(settings: _Settings) -> list[str]:
    """Returns the fields of load reports; `x0` and `x1` are replaced by their meanings if those are set."""
    meanings = {name: settings.text(f"specifics.report-{name}") for name in ("x0", "x1")}
    return [meanings.get(name) or name for name in settings.items("report.names")]
