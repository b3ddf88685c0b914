"""Expected share of refused streams, by the number of holders of a layer.

Any engine may be unavailable for a while: it crashes, is replaced, slows down
or loads layers. The capacity of the remaining holders of a layer then
determines the share of streams that is refused.
"""

import functools
import math
from typing import Sequence

__all__ = [
    'estimate_refused_share',
    'tabulate_refused_shares',
]

# Fraction of the time for which an engine is unavailable.
OUTAGE_FRACTION = 0.1
# Ratios of actual to estimated demand, equally likely. Bursts exceed the
# estimate.
DEMAND_SPREAD = (0.7, 1.0, 1.5)


def estimate_refused_share(load: float) -> float:
    """Return the expected share of streams that are refused.

    :param load: ratio of estimated demand to capacity; infinite without
        capacity
    """
    shares = [max(0.0, 1.0 - 1.0 / (load * part)) for part in DEMAND_SPREAD]
    return sum(shares) / len(shares)


def _get_working_probability(holders: int, working: int) -> float:
    """Return the probability that ``working`` holders are available."""
    combinations = math.comb(holders, working)
    return (
        combinations
        * (1 - OUTAGE_FRACTION) ** working
        * OUTAGE_FRACTION ** (holders - working)
    )


@functools.lru_cache(maxsize=4096)
def tabulate_refused_shares(load: float, max_holders: int) -> Sequence[float]:
    """List the expected share of refused streams by number of holders.

    :param load: ratio of demand to the capacity of one holder
    :param max_holders: largest number of holders; the list starts at zero
    """
    by_working = [1.0]
    by_working += [
        estimate_refused_share(load / n) for n in range(1, max_holders + 1)
    ]
    return [
        sum(
            _get_working_probability(holders, working) * by_working[working]
            for working in range(holders + 1)
        )
        for holders in range(max_holders + 1)
    ]
