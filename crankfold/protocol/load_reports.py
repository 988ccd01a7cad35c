"""Load reports: figures in the order of the names that the settings give. A bad report is no report."""

import math
from collections.abc import Sequence


def report_from_fields(given: object, names: Sequence[str]) -> tuple[float, ...]:
    if not names or not isinstance(given, dict):
        return ()
    values = []
    for name in names:
        value = given.get(name)
        if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value):
            return ()
        values.append(float(value))
    return tuple(values)


def report_from_header(header: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """The header's form: `TEXT queue=2, x0=1`."""
    form, _, rest = header.decode("latin-1").strip().partition(" ")
    if form != "TEXT":
        return ()
    given: dict[str, float] = {}
    for pair in rest.split(","):
        name, _, value = pair.partition("=")
        try:
            given[name.strip()] = float(value)
        except ValueError:
            return ()
    return report_from_fields(given, names)
