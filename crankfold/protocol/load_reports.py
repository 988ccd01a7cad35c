"""Decodes a backend's load reports: values in the order of the fields that the settings name.

A report that lacks a field, or holds anything but finite numbers there, counts as no report: an empty tuple.
"""

import math
from collections.abc import Sequence


def report_from_fields(given: object, names: Sequence[str]) -> tuple[float, ...]:
    """The report in a decoded JSON object, one value for each of `names`."""
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
    """The report in a header's value, whose form is `TEXT queue=2, x0=1`."""
    form, _, pairs = header.decode("latin-1").strip().partition(" ")
    if form != "TEXT":
        return ()
    fields: dict[str, float] = {}
    for pair in pairs.split(","):
        name, _, value = pair.partition("=")
        try:
            fields[name.strip()] = float(value)
        except ValueError:
            return ()
    return report_from_fields(fields, names)
