"""Max-min fair division of a limit among entries."""

import math
from typing import Mapping

import attrs

from dunlintide_core import limits

__all__ = [
    'Division',
    'divide',
]


def _allocate_rates(
    total: float, demands: Mapping[str, float]
) -> dict[str, float]:
    """Divide a rate so that small demands are met in full."""
    shares, remaining = {}, len(demands)
    for name, demand in sorted(demands.items(), key=lambda item: item[1]):
        shares[name] = min(demand, total / remaining)
        total -= shares[name]
        remaining -= 1
    return shares


def _allocate_slots(total: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Divide slots so that small demands are met in full."""
    shares, remaining = {}, len(demands)
    for name, demand in sorted(demands.items(), key=lambda item: item[::-1]):
        # Rounded up, so that a single slot is assigned.
        shares[name] = min(demand, math.ceil(total / remaining))
        total -= shares[name]
        remaining -= 1
    return shares


@attrs.frozen
class Division:
    """Division of one limit among entries.

    :ivar shares: shares of the entries with a demand, including their
        part of what remains
    :ivar kept_fraction: fraction of their base shares that the other
        entries keep, 0 to 1
    """

    shares: Mapping[str, limits.Grant]
    kept_fraction: float = 1.0


def divide(
    total: float,
    limit: int,
    needs: Mapping[str, limits.Need],
    idle_share: limits.Grant,
) -> Division:
    """Divide a limit by max-min fairness.

    Small demands are met in full, and the larger ones get equal shares.
    If something remains, the entries without a demand keep their base
    shares, so that a first burst there needs no coordination. What then
    remains is divided evenly among the entries with a demand.

    :param total: fraction of the limit that is to be divided
    :param limit: the limit of requests in flight, 0 for none
    :param needs: the demands by entry
    :param idle_share: sum of the base shares of entries without a demand
    """
    rates = _allocate_rates(total, {n: one.rate for n, one in needs.items()})
    spare_rate = max(0.0, total - math.fsum(rates.values()))
    slots = _allocate_slots(
        math.floor(limit * total + limits.EPSILON),
        {name: one.slots for name, one in needs.items()},
    )
    spare_slots = math.floor(limit * total + limits.EPSILON) - sum(
        slots.values()
    )
    kept_fraction = min(
        1.0,
        (
            spare_rate / idle_share.rate
            if idle_share.rate > limits.EPSILON
            else 1.0
        ),
        spare_slots / idle_share.slots if idle_share.slots else 1.0,
    )
    if kept_fraction > 1 - limits.EPSILON:
        kept_fraction = 1.0
    count = max(1, len(needs))
    extra_rate = (spare_rate - kept_fraction * idle_share.rate) / count
    extra_slots = (
        spare_slots
        - math.ceil(kept_fraction * idle_share.slots - limits.EPSILON)
    ) // count
    return Division(
        {
            name: limits.Grant(
                rates[name] + extra_rate, slots[name] + extra_slots
            )
            for name in needs
        },
        kept_fraction,
    )
