"""Choice of an endpoint for a plain call."""

import random as random_module
from typing import Callable, Container, Iterable

from dunlintide_core.pipeline import endpoints as endpoints_module
from dunlintide_core.pipeline import reserve

__all__ = [
    'REFUSED_SECONDS',
    'choose',
]

# Calls that an endpoint gets beyond its slots. Usage reports of other entries
# are slightly old, so fewer would leave slots empty; more would queue at the
# endpoint, from where they can't be taken back.
EXTRA_CALLS = 1
# Load, as a fraction of the slots, by which an endpoint in another failure
# domain or one still warming up must be below the others to be chosen.
REMOTE_PENALTY = 0.34
# The same for one that has just turned a call away, more than all else: it
# answers at once, so it looks idle, and each further call that it turns away
# costs a retry.
REFUSED_PENALTY = 10.0
# How long that counts, in seconds.
REFUSED_SECONDS = 0.3


def choose(
    candidates: Iterable[endpoints_module.Endpoint],
    count: Callable[[str], float],
    domain: str,
    random: random_module.Random,
    refused: Container[str] = (),
    reserved: float = 0.0,
) -> endpoints_module.Endpoint | None:
    """Return the least loaded endpoint, None if all are full.

    :param candidates: endpoints that can serve the call
    :param count: returns the calls in flight at an endpoint, by name
    :param domain: failure domain of the entry, preferred
    :param random: breaks ties, so that entries choose differently
    :param refused: names of endpoints that have just turned a call away
    :param reserved: fraction of the slots that is kept for more urgent calls
    """
    if reserved:
        candidates = _list_unreserved(candidates, count, reserved)
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
        if each.name in refused:
            cost += REFUSED_PENALTY
        if cost < best_cost:
            best, best_cost = each, cost
    return best


def _list_unreserved(
    candidates: Iterable[endpoints_module.Endpoint],
    count: Callable[[str], float],
    reserved: float,
) -> Iterable[endpoints_module.Endpoint]:
    """Return the endpoints with slots beyond the reserved ones."""
    ordered = sorted(candidates, key=lambda each: each.name)
    for rank, each in enumerate(ordered):
        slots = each.slots + EXTRA_CALLS
        rounding = reserve.get_rounding(rank)
        if count(each.name) < reserve.limit_slots(slots, reserved, rounding):
            yield each
