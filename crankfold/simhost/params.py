"""Reads the settings text of the simulator's first message into standing orders."""

from crankfold.dispatch.interface import Effect, Group, ServiceGrade, StandingOrders

_EFFECTS = {"safe": Effect.REPEATABLE, "keyed": Effect.TAGGED, "unsafe": Effect.ONCE_ONLY}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}


def _up(micros: str) -> int:
    return -(-int(float(micros)) // 100)


def _down(micros: str) -> int:
    return int(float(micros)) // 100


def standing_orders(text: str) -> StandingOrders:
    """Times are rounded to the safe side: what bounds us down, what we wait for up."""
    given = dict(line.split("=", 1) for line in text.splitlines() if "=" in line)

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
        overload_for=_up(said("rules.overload-for", "0")))
