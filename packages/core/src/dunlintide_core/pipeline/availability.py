"""How many streams find no room, by the number of engines that hold a layer.

Any engine may be out of use for a while: it crashes, is replaced, turns slow
or loads layers. What the others can take then decides how many streams are
refused.
"""

import functools
import math
from typing import Sequence

__all__ = [
    'estimate_refused_share',
    'tabulate_refused_shares',
]

# Share of the time for which an engine is out of use.
OUTAGE_FRACTION = 0.1
# Demand against its estimate, at times of equal length. Bursts exceed it.
DEMAND_SPREAD = (0.7, 1.0, 1.5)


def estimate_refused_share(load: float) -> float:
    """Tell which share of streams finds no room.

    :param load: estimated demand against what there is room for; infinite
        if there is none
    """
    shares = [max(0.0, 1.0 - 1.0 / (load * part)) for part in DEMAND_SPREAD]
    return sum(shares) / len(shares)


def _get_working_probability(holders: int, working: int) -> float:
    ways = math.comb(holders, working)
    return (
        ways
        * (1 - OUTAGE_FRACTION) ** working
        * OUTAGE_FRACTION ** (holders - working)
    )


@functools.lru_cache(maxsize=4096)
def tabulate_refused_shares(load: float, most: int) -> Sequence[float]:
    """List the expected share of refused streams by number of holders.

    :param load: demand against what one holder has room for
    :param most: holders up to which the list goes, from none
    """
    by_working = [1.0]
    by_working += [
        estimate_refused_share(load / n) for n in range(1, most + 1)
    ]
    return [
        sum(
            _get_working_probability(holders, working) * by_working[working]
            for working in range(holders + 1)
        )
        for holders in range(most + 1)
    ]
