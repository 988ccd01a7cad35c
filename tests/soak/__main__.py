"""`python -m tests.soak FIRST LAST` plays those seeds, a few in parallel, and reports on each."""

import sys

from tests.soak.run import process_pool, report


def main() -> None:
    """Plays the seeds from the first to the last."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    held_count = 0
    with process_pool() as pool:
        for line, held in pool.map(report, range(first, last + 1)):
            print(line, flush=True)
            held_count += held
    print(f"{held_count} of {last - first + 1} seeds held")
    sys.exit(held_count != last - first + 1)


if __name__ == "__main__":
    main()
