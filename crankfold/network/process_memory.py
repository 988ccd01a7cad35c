"""The resident memory of this process, as the platform counts it."""

import os
import resource
from pathlib import Path

BYTES_PER_KIBIBYTE = 1024
BYTES_PER_MEGABYTE = 1024 * 1024
_PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes
_STATM = Path("/proc/self/statm")
_RESIDENT_FIELD = 1  # in pages


def resident_bytes() -> int:
    """Returns the present resident memory in bytes; the peak where the system does not tell the present."""
    try:
        return int(_STATM.read_bytes().split()[_RESIDENT_FIELD]) * _PAGE_SIZE
    except (OSError, IndexError, ValueError):
        return peak_resident_bytes()


def peak_resident_bytes() -> int:
    """Returns the peak of the resident memory in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * BYTES_PER_KIBIBYTE
