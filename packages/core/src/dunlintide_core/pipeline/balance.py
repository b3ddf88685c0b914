"""Choice among endpoints that all can serve a plain call."""

import random as random_module
from typing import Callable, Iterable

from dunlintide_core.pipeline import endpoints as endpoints_module

__all__ = ['choose']

# Calls beyond its slots that an endpoint gets: with others' sums a little
# old, fewer would leave slots empty, more would wait where they can't be
# taken back.
EXTRA_CALLS = 1
# An endpoint in another failure domain must be this much emptier, as a
# part of its slots.
REMOTE_PENALTY = 0.34


def choose(
    candidates: Iterable[endpoints_module.Endpoint],
    count: Callable[[str], float],
    domain: str,
    random: random_module.Random,
) -> endpoints_module.Endpoint | None:
    """Find the endpoint with most free slots, None if all are full.

    :param count: calls in flight at an endpoint, by name
    :param domain: failure domain of the entry, preferred
    :param random: breaks ties, so that entries do not choose alike
    """
    best = None
    best_cost = float('inf')
    for each in candidates:
        running = count(each.name)
        if running >= each.slots + EXTRA_CALLS:
            continue
        cost = (running + random.random() * 0.1) / max(1, each.slots)
        if each.domain != domain:
            cost += REMOTE_PENALTY
        if each.cold_ms > 0:
            cost += REMOTE_PENALTY
        if cost < best_cost:
            best, best_cost = each, cost
    return best
