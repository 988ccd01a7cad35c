"""Tables, printed lines and statistics of the consensus benchmark."""

import csv
import re
from collections.abc import Iterable, Sequence
from pathlib import Path

HERE = Path(__file__).parent
PRINTED_LINES: list[str] = []


def print_line(text: str) -> None:
    """Prints a line and records it for `agreement.txt`."""
    PRINTED_LINES.append(text)
    print(text, flush=True)


def write_table(part: str, columns: Sequence[str], rows: Iterable[Iterable[object]]) -> None:
    """Writes `agreement-PART.csv`."""
    with (HERE / f"agreement-{part}.csv").open("w", newline="") as out:
        writer = csv.writer(out, lineterminator="\n")
        writer.writerow(columns)
        writer.writerows(rows)


def read_table(part: str) -> list[dict[str, str]]:
    """Returns the rows of `agreement-PART.csv`, each as a mapping from column to value."""
    with (HERE / f"agreement-{part}.csv").open() as file:
        return list(csv.DictReader(file))


def quantiles(values_ms: Iterable[float]) -> str:
    """Returns a phrase with the median, 95th percentile and maximum of durations in ms."""
    ordered = sorted(values_ms)
    return (
        f"median {ordered[len(ordered) // 2]:.0f}, "
        f"95th percentile {ordered[len(ordered) * 95 // 100]:.0f}, "
        f"longest {ordered[-1]:.0f} ms of {len(ordered)}"
    )


def median(values: Iterable[float]) -> float:
    """Returns the median; of an even number of values, the upper of the middle two."""
    ordered = sorted(values)
    return ordered[len(ordered) // 2]


def save_printed_lines() -> None:
    """Saves this run's lines in `agreement.txt`, in place of earlier lines with the same prefix."""
    path = HERE / "agreement.txt"
    saved_lines = path.read_text().splitlines() if path.exists() else []
    prefixes = {_line_prefix(line) for line in PRINTED_LINES}
    kept_lines = [line for line in saved_lines if _line_prefix(line) not in prefixes]
    path.write_text("\n".join(kept_lines + PRINTED_LINES) + "\n")


def _line_prefix(line: str) -> str:
    """Returns the text before the first digit, which names what a line reports."""
    return re.split(r"\d", line)[0]
