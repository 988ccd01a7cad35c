"""The random numbers of the decisions: seeded, so that the same events bring the same actions."""

_MASK_64 = 0xFFFFFFFFFFFFFFFF


class RandomGenerator:
    """A 64-bit linear congruential generator with Knuth's MMIX constants; its upper 31 bits are used."""

    def __init__(self, seed: int) -> None:
        self.state = seed & _MASK_64

    def below(self, bound: int) -> int:
        """Draws a whole number from 0 up to, but without, `bound`; 0 if `bound` is 0."""
        self.state = (self.state * 6364136223846793005 + 1442695040888963407) & _MASK_64
        return ((self.state >> 33) * bound) >> 31
