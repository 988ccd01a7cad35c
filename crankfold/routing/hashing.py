"""Hash weights for rendezvous hashing, the same in every process."""

from math import log

_POSITION_STEPS = 0x100000  # a hash position is taken to 20 bits


def hash_weight(key: int, position: float) -> float:
    """Gives a key and a backend's hash position an exponentially distributed weight, mean 1.

    Divided by the backend's weight and sorted, these put each backend first for its part of all keys.
    """
    mixed = (key ^ int(position * _POSITION_STEPS) * 0x9E3779B97F4A7C15) * 0xBF58476D1CE4E5B9
    mixed &= 0xFFFFFFFFFFFFFFFF
    uniform = (((mixed ^ mixed >> 29) * 0x94D049BB133111EB >> 33 & 0x7FFFFFFF) + 1) / 0x80000000
    return -log(uniform)
