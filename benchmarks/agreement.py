"""Measures the latency, traffic and CPU cost of consensus.

    python -m benchmarks.agreement publish leaderless traffic serve works recovery chart

Each argument names a part of the benchmark; without arguments, all parts run. `publish` and `serve` start
real processes on this machine, `leaderless`, `traffic` and `works` run in simulated time, and `recovery`
reads logs from disk. Each part writes its table to benchmarks/agreement-PART.csv; the printed lines are also
saved in benchmarks/agreement.txt.
"""

import signal
import sys
from collections.abc import Callable

from benchmarks.agreement_chart import draw_chart
from benchmarks.agreement_processes import measure_publish, measure_serve
from benchmarks.agreement_report import save_printed_lines
from benchmarks.agreement_simulated import (
    measure_leaderless,
    measure_maintenance,
    measure_recovery,
    measure_traffic,
)

PARTS: dict[str, Callable[[], None]] = {
    "publish": measure_publish,
    "leaderless": measure_leaderless,
    "traffic": measure_traffic,
    "serve": measure_serve,
    "works": measure_maintenance,
    "recovery": measure_recovery,
    "chart": draw_chart,
}


def main() -> None:
    """Runs the parts that the command line names."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()
    save_printed_lines()


if __name__ == "__main__":
    main()
