"""Division of one limit by demand."""

import math
from typing import Mapping

import attrs

from dunlintide_core import limits

__all__ = [
    'Division',
    'divide',
]


def _meet_rates(total: float, wants: Mapping[str, float]) -> dict[str, float]:
    """Meet small wants in full and divide the rest evenly."""
    shares, waiting = {}, len(wants)
    for name, want in sorted(wants.items(), key=lambda item: item[1]):
        shares[name] = min(want, total / waiting)
        total -= shares[name]
        waiting -= 1
    return shares


def _meet_slots(total: int, wants: Mapping[str, int]) -> dict[str, int]:
    shares, waiting = {}, len(wants)
    for name, want in sorted(wants.items(), key=lambda item: item[::-1]):
        # Rounded up, so that a single slot goes to somebody.
        shares[name] = min(want, math.ceil(total / waiting))
        total -= shares[name]
        waiting -= 1
    return shares


@attrs.frozen
class Division:
    """How one limit is divided among entries.

    :ivar shares: of the entries that asked, with room to grow
    :ivar kept: part of what the others own that they keep, 0 to 1
    """

    shares: Mapping[str, limits.Grant]
    kept: float = 1.0


def divide(
    total: float,
    limit: int,
    needs: Mapping[str, limits.Need],
    unasked: limits.Grant,
) -> Division:
    """Divide by demand: small wants are met in full, the rest is even.

    Next come the entries that did not ask, which keep what they own, so
    that a first burst there needs no word of anybody. What is then left
    is spread evenly over those that asked.

    :param total: share of the limit that there is to divide
    :param limit: the limit in flight, 0 for none
    :param unasked: what entries that did not ask own together
    """
    rates = _meet_rates(total, {n: one.rate for n, one in needs.items()})
    left = max(0.0, total - math.fsum(rates.values()))
    slots = _meet_slots(
        math.floor(limit * total + limits.EPSILON),
        {name: one.slots for name, one in needs.items()},
    )
    free = math.floor(limit * total + limits.EPSILON) - sum(slots.values())
    kept = min(
        1.0,
        left / unasked.rate if unasked.rate > limits.EPSILON else 1.0,
        free / unasked.slots if unasked.slots else 1.0,
    )
    if kept > 1 - limits.EPSILON:
        kept = 1.0
    count = max(1, len(needs))
    rest = (left - kept * unasked.rate) / count
    room = (free - math.ceil(kept * unasked.slots - limits.EPSILON)) // count
    return Division(
        {
            name: limits.Grant(rates[name] + rest, slots[name] + room)
            for name in needs
        },
        kept,
    )
