"""Where the benchmark of the consensus writes its tables and lines."""

import csv
import re
from collections.abc import Iterable, Sequence
from pathlib import Path

HERE = Path(__file__).parent
LINES: list[str] = []  # that were printed in this run


def say(text: str) -> None:
    """Print a line, and keep it for `agreement.txt`."""
    LINES.append(text)
    print(text, flush=True)


def write_table(part: str, columns: Sequence[str], rows: Iterable[Iterable[object]]) -> None:
    """Write `agreement-PART.csv`."""
    with (HERE / f"agreement-{part}.csv").open("w", newline="") as out:
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(columns)
        writer.writerows(rows)


def read_table(part: str) -> list[dict[str, str]]:
    """The rows of `agreement-PART.csv`, by column."""
    with (HERE / f"agreement-{part}.csv").open() as file:
        return list(csv.DictReader(file))


def quantiles(values_ms: Iterable[float]) -> str:
    """Median, 95th percentile and maximum of durations, in words."""
    ordered = sorted(values_ms)
    return (
        f"median {ordered[len(ordered) // 2]:.0f}, "
        f"95th percentile {ordered[len(ordered) * 95 // 100]:.0f}, "
        f"longest {ordered[-1]:.0f} ms of {len(ordered)}"
    )


def median(values: Iterable[float]) -> float:
    """The upper one of two."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def save_lines() -> None:
    """Put this run's lines into `agreement.txt`, in place of earlier ones that begin alike."""
    path = HERE / "agreement.txt"
    former = path.read_text().splitlines() if path.exists() else []
    beginnings = {_beginning(line) for line in LINES}
    remaining = [line for line in former if _beginning(line) not in beginnings]
    path.write_text("\n".join(remaining + LINES) + "\n")


def _beginning(line: str) -> str:
    """What stands before the first figure."""
    return re.split(r"\d", line)[0]
