"""`python -m tests.soak FIRST LAST`: plays those seeds, a few at a time, and reports each."""

import sys

from tests.soak.run import process_pool, report


def main() -> None:
    """Plays the seeds from the first to the last."""
    first, last = int(sys.argv[1]), int(sys.argv[2])
    held = 0
    with process_pool() as pool:
        for line, all_held in pool.map(report, range(first, last + 1)):
            print(line, flush=True)
            held += all_held
    print(f"{held} of {last - first + 1} seeds held")
    sys.exit(held != last - first + 1)


if __name__ == "__main__":
    main()
