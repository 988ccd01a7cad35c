"""Reads settings into standing orders: one meaning for the bench's lines and for the configuration's JSON."""

from collections.abc import Mapping
from dataclasses import dataclass

from crankfold.dispatch.interface import Effect, Group, ServiceGrade, StandingOrders
from crankfold.orders.places import Places

# Of the settings, what may change while units are in hand; what is known of runners hangs on the rest.
AT_ONCE = ("service-grades", "allowed", "score-parts", "revenue-per", "orgs")
# Where the settings do not say, nobody's figures: a connect whose first packet is lost is tried again after
# 1 s (RFC 6298), and a connection that is closed too early costs a handshake, one used too late a unit.
CONNECT_WITHIN, IDLE_FOR = "1100000", "4000000"
_EFFECTS = {"safe": Effect.REPEATABLE, "keyed": Effect.TAGGED, "unsafe": Effect.ONCE_ONLY}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


def _up(micros: str) -> int:
    return -(-int(float(micros)) // 100)


def _down(micros: str) -> int:
    return int(float(micros)) // 100


@dataclass(frozen=True, slots=True)
class HouseRules:
    """What the sockets need to know beside the decisions: names to places, and limits on connections."""

    grades: Places[str]
    tenants: Places[str]
    zones: Places[str]
    kinds: Places[str]
    report_fields: tuple[str, ...]
    connect_within: int
    idle_for: int
    longest_cutoff: int
    most_held: int
    warm_after: int


def from_lines(text: str) -> dict[str, str]:
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def from_nested(given: object, path: str = "") -> dict[str, str]:
    """The same paths and values as the lines have: plain lists joined, lists of objects counted."""
    if isinstance(given, dict):
        flat: dict[str, str] = {}
        for name, value in given.items():
            flat |= from_nested(value, f"{path}.{name}" if path else str(name))
        return flat
    if isinstance(given, list):
        if any(isinstance(item, dict) for item in given):
            flat = {f"{path}.count": str(len(given))}
            for n, item in enumerate(given):
                flat |= from_nested(item, f"{path}.{n}")
            return flat
        return {path: ",".join(plain(item) for item in given)}
    return {path: plain(given)}


def plain(value: object) -> str:
    """A value as the bench's lines would have it."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value).replace(" ", "_").replace(",", "_")


def house_rules(given: Mapping[str, str]) -> HouseRules:
    def names(path: str) -> Places[str]:
        count = int(given.get(path + ".count") or 0)
        if count:
            return Places(given.get(f"{path}.{n}.name") or str(n) for n in range(count))
        return Places(n for n in (given.get(path) or "").split(",") if n)

    grades = names("service-grades")
    return HouseRules(
        grades=grades, tenants=names("orgs"), zones=names("zones"), kinds=names("kinds"),
        report_fields=tuple(n for n in (given.get("report.names") or "").split(",") if n),
        connect_within=_down(given.get("allowed.connect-timeout") or CONNECT_WITHIN),
        idle_for=_down(given.get("allowed.conn-idle") or IDLE_FOR),
        longest_cutoff=max((_down(given.get(f"service-grades.{n}.cut-off") or "0")
                            for n in range(len(grades.names))), default=0),
        most_held=int(given.get("allowed.most-held") or 20000),
        warm_after=_up(given.get("rules.warm-after") or "0"))


def standing_orders(given: Mapping[str, str]) -> StandingOrders:
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
        grades.append(ServiceGrade(
            # An effect or a group not known here is taken as the strictest.
            effect=_EFFECTS.get(said(own + "effect", "unsafe"), Effect.ONCE_ONLY),
            group=_GROUPS.get(said(own + "group", "cell"), Group.CELL),
            window=_down(said(own + "repeat-window", "0")),
            expected=_down(said(own + "expected-time", "0")),
            stretch=float(stretch) if stretch else listed,
            cutoff=_down(said(own + "cut-off", "0")),
            revenue=float(said(own + "revenue", "1")),
            tardy=float(said(own + "tardy-revenue", "0"))))
    names = [n for n in said("report.names", "").split(",") if n]
    # Extra fields count by what the settings say they mean, not by their place.
    meaning = {"x0": said("specifics.report-x0", ""), "x1": said("specifics.report-x1", "")}
    return StandingOrders(
        grades=grades, dispatchers=max(int(said("balancers", "1")), 1), zone=int(said("zone", "0")),
        tick=_up(said("tick", "1000")), by_work=said("revenue-per", "request") == "work",
        worst_grade_care=float(said("score-parts.worst-class", "0")),
        may_cancel=yes("allowed.cancel", "false"), may_probe=yes("allowed.probing", "false"),
        may_copy=yes("allowed.second-copies", "false"),
        most_dispatches=int(said("allowed.most-dispatches", "1")),
        longest_advice=_down(said("allowed.max-retry-after", "0"))
        if yes("allowed.retry-after", "false") else 0,
        reports_in_answers=said("report.via", "off") == "inline",
        reports_by_probe=said("report.via", "off") == "on_probe",
        report_names=[meaning.get(n) or n for n in names],
        tells_start=yes("specifics.tells-start", "false"),
        progress=_up(said("specifics.progress", "0")),
        must_ask=said("membership-mode", "pushed") == "on_request",
        ask_within=_down(said("rules.ask-within", "0")),
        cold_from=float(said("rules.cold-from", "1")), warm_after=_up(said("rules.warm-after", "0")),
        overload_factor=float(said("rules.overload-factor", "1")),
        overload_for=_up(said("rules.overload-for", "0")), number=int(said("me", "-1")),
        live_weights=said("weights", "nominal") == "live", by_key=yes("specifics.keeps-keys", "true"))
