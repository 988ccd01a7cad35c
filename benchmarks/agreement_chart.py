"""Draws the chart of the consensus benchmark from the tables that its other parts have written."""

from typing import Any

from benchmarks.agreement_processes import MODES
from benchmarks.agreement_report import HERE, read_table


def draw_chart() -> None:
    """Draws `agreement.svg`."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    matplotlib.rcParams["svg.hashsalt"] = "agreement"
    figure, ((upper_left, upper_right), (lower_left, lower_right)) = pyplot.subplots(2, 2, figsize=(10, 7))
    _draw_publish(upper_left)
    _draw_leaderless(upper_right)
    _draw_traffic(lower_left)
    _draw_serve(lower_right)
    figure.tight_layout()
    figure.savefig(HERE / "agreement.svg", metadata={"Date": None})


def _draw_publish(panel: Any) -> None:
    durations: dict[str, list[float]] = {}
    for row in read_table("publish"):
        if float(row["ms"]) >= 0:
            durations.setdefault(f"{row['voters']} {row['how']}", []).append(float(row["ms"]))
    panel.boxplot(list(durations.values()), orientation="horizontal")
    panel.set_yticklabels(list(durations), fontsize=7)
    panel.set_xlabel("publish until all act, ms, by voters")


def _draw_leaderless(panel: Any) -> None:
    rows = read_table("leaderless")
    for voters in ("3", "5", "7"):
        panel.hist(
            [float(row["ms_until_led"]) for row in rows if row["voters"] == voters],
            bins=list(range(0, 701, 50)),
            histtype="step",
            label=f"{voters} voters",
        )
    panel.set_xlabel("without a leader after its death, ms (emulated)")
    panel.legend()


def _draw_traffic(panel: Any) -> None:
    rows = [row for row in read_table("traffic") if row["what"] == "nothing published"]
    for kind in ("leader", "voter", "follower"):
        rows_of_kind = [row for row in rows if row["who"] == kind]
        panel.loglog(
            [int(row["dispatchers"]) for row in rows_of_kind],
            [float(row["messages_a_second"]) for row in rows_of_kind],
            marker="o",
            label=kind,
        )
    panel.set_xlabel("dispatchers")
    panel.set_ylabel("messages sent a second (emulated)")
    panel.legend()


def _draw_serve(panel: Any) -> None:
    rows = read_table("serve")
    panel.boxplot([[float(row["units_a_second"]) for row in rows if row["peers"] == mode] for mode in MODES])
    panel.set_xticklabels(["peers off", "on", "a publish a second", "a work"], fontsize=8)
    panel.set_ylabel("units a second at one dispatcher")
