"""A small seeded generator: the same numbers from the same seed in every run and on every platform."""

_MASK_64 = 0xFFFFFFFFFFFFFFFF
# Knuth's MMIX linear congruential generator; the low bits are weak, so the upper 31 are used.
_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407


class RandomNumbers:
    """A 64-bit linear congruential generator."""

    __slots__ = ("state",)

    def __init__(self, seed: int) -> None:
        """Starts from the low 64 bits of `seed`."""
        self.state = seed & _MASK_64

    def below(self, bound: int) -> int:
        """A number from 0 to `bound` - 1."""
        self.state = (self.state * _MULTIPLIER + _INCREMENT) & _MASK_64
        return ((self.state >> 33) * bound) >> 31
