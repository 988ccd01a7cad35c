"""Hash weights for rendezvous hashing, equal in every process."""

from math import log

_POSITION_STEPS = 0x100000  # a hash position is rounded to 20 bits
# The multipliers are those of SplitMix64.
_GOLDEN_GAMMA = 0x9E3779B97F4A7C15
_FIRST_MULTIPLIER = 0xBF58476D1CE4E5B9
_SECOND_MULTIPLIER = 0x94D049BB133111EB
_FIRST_SHIFT = 29
_SECOND_SHIFT = 33
_MASK_64 = 0xFFFFFFFFFFFFFFFF
_MASK_31 = 0x7FFFFFFF
_RANGE_31 = 0x80000000


def hash_weight(key: int, position: float) -> float:
    """Returns an exponentially distributed hash, with mean 1, of a key and a backend's hash position.

    If backends are sorted by this value divided by their weight, each is first for a share of all keys
    proportional to its weight.
    """
    mixed = (key ^ int(position * _POSITION_STEPS) * _GOLDEN_GAMMA) * _FIRST_MULTIPLIER
    mixed &= _MASK_64
    mixed = (mixed ^ mixed >> _FIRST_SHIFT) * _SECOND_MULTIPLIER >> _SECOND_SHIFT & _MASK_31
    uniform = (mixed + 1) / _RANGE_31
    return -log(uniform)
