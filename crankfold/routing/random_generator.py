"""Random numbers of the router, seeded so that the same events lead to the same actions."""

_MASK_64 = 0xFFFFFFFFFFFFFFFF
_MULTIPLIER = 6364136223846793005
_INCREMENT = 1442695040888963407
_OUTPUT_BITS = 31
_DISCARDED_BITS = 64 - _OUTPUT_BITS


class RandomGenerator:
    """A 64-bit linear congruential generator with Knuth's MMIX constants; its upper 31 bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & _MASK_64

    def below(self, bound: int) -> int:
        """Returns a random integer from 0 to `bound` - 1; 0 if `bound` is 0."""
        self.state = (self.state * _MULTIPLIER + _INCREMENT) & _MASK_64
        return ((self.state >> _DISCARDED_BITS) * bound) >> _OUTPUT_BITS
