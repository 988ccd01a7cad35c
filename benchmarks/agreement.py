"""What consensus costs and how fast it is.

    python -m benchmarks.agreement publish leaderless traffic serve works recovery chart

Each word is a part; all of them without any. `publish` and `serve` run real processes on this machine;
`leaderless`, `traffic` and `works` are simulated. Tables go to benchmarks/agreement-PART.csv, the lines that
are printed to benchmarks/agreement.txt.
"""

import signal
import sys
from collections.abc import Callable

from benchmarks.agreement_chart import chart
from benchmarks.agreement_processes import publish, serve
from benchmarks.agreement_report import save_lines
from benchmarks.agreement_simulated import leaderless, recovery, traffic, works

PARTS: dict[str, Callable[[], None]] = {
    "publish": publish,
    "leaderless": leaderless,
    "traffic": traffic,
    "serve": serve,
    "works": works,
    "recovery": recovery,
    "chart": chart,
}


def main() -> None:
    """Run the parts that the command line names."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    for part in sys.argv[1:] or PARTS:
        PARTS[part]()
    save_lines()


if __name__ == "__main__":
    main()
