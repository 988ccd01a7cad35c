"""Decodes load reports of backends into values in the order of the report fields in the settings.

A report is discarded, and the result is an empty tuple, if one of the fields is missing or is not a finite
number.
"""

import math
from collections.abc import Sequence


def report_from_fields(given: object, names: Sequence[str]) -> tuple[float, ...]:
    """Reads a report from a decoded JSON object: one value for each of `names`."""
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
    """Reads a report from a header of the form `TEXT queue=2, x0=1`."""
    format_name, _, pairs = header.decode("latin-1").strip().partition(" ")
    if format_name != "TEXT":
        return ()
    fields: dict[str, float] = {}
    for pair in pairs.split(","):
        name, _, value = pair.partition("=")
        try:
            fields[name.strip()] = float(value)
        except ValueError:
            return ()
    return report_from_fields(fields, names)
