"""A seeded random generator with the same sequence on every platform and version of Python."""

_MASK_64 = 0xFFFFFFFFFFFFFFFF
# The constants of Knuth's MMIX. Its low bits have short periods, so the upper 31 bits are used.
_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407
_DROPPED_BITS = 33
_USED_BITS = 31


class RandomNumbers:
    """A 64-bit linear congruential generator."""

    __slots__ = ("state",)

    def __init__(self, seed: int) -> None:
        """Starts with the low 64 bits of `seed`."""
        self.state = seed & _MASK_64

    def below(self, bound: int) -> int:
        """Returns the next number from 0 to `bound` - 1, with an almost uniform distribution."""
        self.state = (self.state * _MULTIPLIER + _INCREMENT) & _MASK_64
        return ((self.state >> _DROPPED_BITS) * bound) >> _USED_BITS
