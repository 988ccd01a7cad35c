"""Exponential smoothing: averages and sums in which older samples count less and less."""


def exponential_average(average: float, sample: float, weight: float) -> float:
    """Returns the average after one more sample.

    Args:
        average: The average so far.
        sample: The latest value, in the unit of the average.
        weight: Weight of the sample, from 0 (no effect) to 1 (only the sample counts).
    """
    return average + weight * (sample - average)


def decaying_sum(total: float, sample: float, decay: float) -> float:
    """Returns the sum after one more sample.

    Args:
        total: The sum so far.
        sample: The latest value, in the unit of the sum.
        decay: Share of the sum so far that still counts, from 0 to 1.
    """
    return decay * total + sample
