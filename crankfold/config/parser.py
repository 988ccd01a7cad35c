"""Reads settings into standing orders: one meaning for the bench's lines and for the configuration's JSON."""

from collections.abc import Mapping
from dataclasses import dataclass

from crankfold.config.interning import Interner
from crankfold.routing.interface import DeduplicationScope, Idempotency, RequestClass, RoutingConfig

# Of the settings, what may change while units are in hand; what is known of runners hangs on the rest.
RELOADABLE = ("service-grades", "allowed", "score-parts", "revenue-per", "orgs")
# Where the settings do not say, nobody's figures: a connect whose first packet is lost is tried again after
# 1 s (RFC 6298), and a connection that is closed too early costs a handshake, one used too late a unit.
DEFAULT_CONNECT_TIMEOUT, DEFAULT_IDLE_TIMEOUT = "1100000", "4000000"
_IDEMPOTENCY = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.IDEMPOTENT_WITH_KEY,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
_SCOPES = {"all": DeduplicationScope.GLOBAL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}


def _round_up(micros: str) -> int:
    return -(-int(float(micros)) // 100)


def _round_down(micros: str) -> int:
    return int(float(micros)) // 100


@dataclass(frozen=True, slots=True)
class ServiceConfig:
    """What the sockets need to know beside the decisions: names to places, and limits on connections."""

    request_classes: Interner[str]
    tenants: Interner[str]
    zones: Interner[str]
    instance_types: Interner[str]
    report_fields: tuple[str, ...]
    connect_timeout: int
    idle_timeout: int
    longest_deadline: int
    max_pending: int
    slow_start_duration: int


def parse_lines(text: str) -> dict[str, str]:
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten_settings(given: object, path: str = "") -> dict[str, str]:
    """The same paths and values as the lines have: plain lists joined, lists of objects counted."""
    if isinstance(given, dict):
        flat: dict[str, str] = {}
        for name, value in given.items():
            flat |= flatten_settings(value, f"{path}.{name}" if path else str(name))
        return flat
    if isinstance(given, list):
        if any(isinstance(item, dict) for item in given):
            flat = {f"{path}.count": str(len(given))}
            for n, item in enumerate(given):
                flat |= flatten_settings(item, f"{path}.{n}")
            return flat
        return {path: ",".join(setting_text(item) for item in given)}
    return {path: setting_text(given)}


def setting_text(value: object) -> str:
    """A value as the bench's lines would have it."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def read_service_config(given: Mapping[str, str]) -> ServiceConfig:
    def names(path: str) -> Interner[str]:
        count = int(given.get(path + ".count") or 0)
        if count:
            return Interner(given.get(f"{path}.{n}.name") or str(n) for n in range(count))
        return Interner(n for n in (given.get(path) or "").split(",") if n)

    grades = names("service-grades")
    return ServiceConfig(
        request_classes=grades,
        tenants=names("orgs"),
        zones=names("zones"),
        instance_types=names("kinds"),
        report_fields=tuple(n for n in (given.get("report.names") or "").split(",") if n),
        connect_timeout=_round_down(given.get("allowed.connect-timeout") or DEFAULT_CONNECT_TIMEOUT),
        idle_timeout=_round_down(given.get("allowed.conn-idle") or DEFAULT_IDLE_TIMEOUT),
        longest_deadline=max(
            (_round_down(given.get(f"service-grades.{n}.cut-off") or "0") for n in range(len(grades.names))),
            default=0,
        ),
        max_pending=int(given.get("allowed.most-held") or 20000),
        slow_start_duration=_round_up(given.get("rules.warm-after") or "0"),
    )


def read_routing_config(given: Mapping[str, str]) -> RoutingConfig:
    """Times are rounded to the safe side: what bounds us down, what we wait for up."""

    def said(path: str, otherwise: str) -> str:
        return given.get(path) or otherwise

    def yes(path: str, otherwise: str) -> bool:
        return said(path, otherwise) == "true"

    stretches = [float(s) for s in said("specifics.class-stretch", "").split(",") if s]
    grades = []
    for g in range(int(said("service-grades.count", "0"))):
        own = f"service-grades.{g}."
        stretch = said(own + "aim-stretch", "")
        listed = stretches[min(g, len(stretches) - 1)] if stretches else 0.0
        grades.append(
            RequestClass(
                # An effect or a group not known here is taken as the strictest.
                idempotency=_IDEMPOTENCY.get(said(own + "effect", "unsafe"), Idempotency.NON_IDEMPOTENT),
                deduplication_scope=_SCOPES.get(said(own + "group", "cell"), DeduplicationScope.CELL),
                deduplication_window=_round_down(said(own + "repeat-window", "0")),
                latency_objective=_round_down(said(own + "expected-time", "0")),
                objective_per_work=float(stretch) if stretch else listed,
                deadline=_round_down(said(own + "cut-off", "0")),
                priority_weight=float(said(own + "revenue", "1")),
                late_value=float(said(own + "tardy-revenue", "0")),
            )
        )
    names = [n for n in said("report.names", "").split(",") if n]
    # Extra fields count by what the settings say they mean, not by their place.
    meaning = {"x0": said("specifics.report-x0", ""), "x1": said("specifics.report-x1", "")}
    return RoutingConfig(
        request_classes=grades,
        instance_count=max(int(said("balancers", "1")), 1),
        zone=int(said("zone", "0")),
        timer_resolution=_round_up(said("tick", "1000")),
        priority_by_work=said("revenue-per", "request") == "work",
        worst_class_weight=float(said("score-parts.worst-class", "0")),
        cancellation_allowed=yes("allowed.cancel", "false"),
        probing_allowed=yes("allowed.probing", "false"),
        hedging_allowed=yes("allowed.second-copies", "false"),
        max_attempts=int(said("allowed.most-dispatches", "1")),
        max_retry_after=_round_down(said("allowed.max-retry-after", "0"))
        if yes("allowed.retry-after", "false")
        else 0,
        reports_in_responses=said("report.via", "off") == "inline",
        reports_by_probe=said("report.via", "off") == "on_probe",
        report_fields=[meaning.get(n) or n for n in names],
        start_notifications=yes("specifics.tells-start", "false"),
        progress_interval=_round_up(said("specifics.progress", "0")),
        discovery_by_poll=said("membership-mode", "pushed") == "on_request",
        poll_within=_round_down(said("rules.ask-within", "0")),
        initial_capacity=float(said("rules.cold-from", "1")),
        warm_up_time=_round_up(said("rules.warm-after", "0")),
        overload_factor=float(said("rules.overload-factor", "1")),
        overload_period=_round_up(said("rules.overload-for", "0")),
        instance_index=int(said("me", "-1")),
        weights_follow_load=said("weights", "nominal") == "live",
        key_affinity=yes("specifics.keeps-keys", "true"),
    )
