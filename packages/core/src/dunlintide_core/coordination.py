"""Coordinator that divides limits among entries by demand.

The module ``limits`` explains why the sum of the grants in use stays
within each limit.
"""

import functools
import math
from typing import Iterable, Mapping

import attrs

from dunlintide_core import division
from dunlintide_core import limits

__all__ = [
    'Coordinator',
    'MAX_RECLAIMED_KEYS',
]

# Maximum number of keys without a need for which one answer reduces the base
# share of an entry.
MAX_RECLAIMED_KEYS = 64


def _sum_grants(grants: Iterable[limits.Grant]) -> limits.Grant:
    return functools.reduce(limits.Grant.plus, grants, limits.Grant())


@attrs.define
class _Contribution:
    """Fraction of all limits that one entry has lent to the coordinator.

    :ivar fraction: the lent fraction of each limit
    :ivar expires_at: end of the lease, time in seconds
    :ivar answered: sequence number of the last answered demand
    :ivar is_confirmed: whether the entry has acknowledged a grant, and so
        applies the grants
    """

    fraction: float
    expires_at: float
    answered: int
    is_confirmed: bool = False


@attrs.define
class _Allocation:
    """Grants that one entry may be using under one key.

    :ivar need: its last demand, None if it has none
    :ivar grants: sequence number, grant and expiry time of each grant
        that may be in use
    """

    need: limits.Need | None = None
    grants: list[tuple[int, limits.Grant, float]] = attrs.field(factory=list)

    def drop_replaced(self, acknowledged: int) -> None:
        """Drop the grants that an acknowledged grant has replaced."""
        self.grants = [one for one in self.grants if one[0] >= acknowledged]

    def is_default(self, base_share: limits.Grant) -> bool:
        """Return whether the entry uses exactly its base share."""
        uses_base_share = all(
            grant == base_share for _, grant, _ in self.grants
        )
        return self.need is None and uses_base_share

    def find_max_use(
        self, base_share: limits.Grant, now: float
    ) -> limits.Grant:
        """Return the largest share that the entry may be using.

        :param base_share: the base share of the entry, which limits an
            expired grant
        :param now: time in seconds
        """
        rate, slots = 0.0, self.need.in_flight if self.need else 0
        for _, grant, expires_at in self.grants:
            if expires_at <= now:
                grant = limits.find_minimum(grant, base_share)
            rate = max(rate, grant.rate)
            slots = max(slots, grant.slots)
        return limits.Grant(rate, slots)


@attrs.define
class _Limit:
    """State of one key.

    :ivar size: the limit of requests in flight, 0 for none
    :ivar entries: allocations by entry; an entry without one uses at most
        its base share
    :ivar is_oversubscribed: whether entries without a demand must give up
        a part of their base shares
    """

    size: int = 0
    entries: dict[str, _Allocation] = attrs.field(factory=dict)
    is_oversubscribed: bool = False


@attrs.define
class Coordinator:
    """Divides the limits that entries have lent to it."""

    _contributions: dict[str, _Contribution] = attrs.field(factory=dict)
    _keys: dict[limits.Key, _Limit] = attrs.field(factory=dict)

    def answer(
        self,
        entry: str,
        fraction: float,
        sequence: int,
        acknowledged: int,
        needs: Mapping[limits.Key, limits.Need],
        now: float,
    ) -> dict[limits.Key, limits.Grant]:
        """Process the demand of an entry and compute its grants.

        :param entry: name of the entry, unique to its incarnation
        :param fraction: fraction of each limit that it lends
        :param sequence: sequence number of the demand
        :param acknowledged: sequence number of the last demand whose
            answer the entry has applied, 0 before the first
        :param needs: demands by key
        :param now: time in seconds
        :returns: grants for the needs, in their order, followed by grants
            for other keys under which other entries need a part of its
            base share; under all remaining keys it has its base share
        """
        self._expire(now)
        expires_at = now + limits.LEASE_SECONDS
        is_confirmed = acknowledged > 0
        previous = self._contributions.get(entry)
        # Demands may arrive out of order.
        answered = max(sequence - 1, previous.answered if previous else 0)
        self._contributions[entry] = _Contribution(
            fraction, expires_at, max(sequence, answered), is_confirmed
        )
        self._record_needs(entry, acknowledged, needs)
        grants = {}
        # Reductions of an entry whose lease expired here are no longer known.
        is_returning = is_confirmed and previous is None
        for key in [*needs, *self._list_reclaimed(entry, needs, is_returning)]:
            limit = self._keys[key]
            base_share = limits.compute_base_share(fraction, limit.size)
            if entry not in limit.entries:
                limit.entries[entry] = _Allocation()
                if is_confirmed or previous is not None:
                    # No earlier answer has reduced its base share.
                    base_grant = (answered, base_share, math.inf)
                    limit.entries[entry].grants.append(base_grant)
            allocation = limit.entries[entry]
            allocation.need = needs.get(key)
            grant = self._compute_grant(entry, limit, now)
            allocation.grants.append((sequence, grant, expires_at))
            if key in needs or grant != base_share:
                grants[key] = grant
        return grants

    def _expire(self, now: float) -> None:
        """Remove entries that have sent no demand for the time of a lease."""
        self._contributions = {
            name: one
            for name, one in self._contributions.items()
            if one.expires_at > now
        }
        for key, limit in list(self._keys.items()):
            for name in limit.entries.keys() - self._contributions.keys():
                del limit.entries[name]
            if not limit.entries:
                del self._keys[key]

    def _record_needs(
        self,
        entry: str,
        acknowledged: int,
        needs: Mapping[limits.Key, limits.Need],
    ) -> None:
        fraction = self._contributions[entry].fraction
        for key, limit in list(self._keys.items()):
            allocation = limit.entries.get(entry)
            if allocation is None:
                continue
            allocation.need = needs.get(key)
            allocation.drop_replaced(acknowledged)
            if not limit.is_oversubscribed and allocation.is_default(
                limits.compute_base_share(fraction, limit.size)
            ):
                del limit.entries[entry]
            if not limit.entries:
                del self._keys[key]
        for key, need in needs.items():
            self._keys.setdefault(key, _Limit()).size = need.limit

    def _list_reclaimed(
        self,
        entry: str,
        needs: Mapping[limits.Key, limits.Need],
        is_returning: bool,
    ) -> list[limits.Key]:
        """List keys without a need whose base share others may need.

        Keys listed before stay in the list, since the entry must not
        return to its base share until that share is free.

        :param is_returning: whether to list all keys that may have been
            listed before
        """
        is_confirmed = self._contributions[entry].is_confirmed
        known, new = [], []
        for key, limit in self._keys.items():
            if key in needs:
                continue
            if is_returning or entry in limit.entries:
                known.append(key)
            elif limit.is_oversubscribed and is_confirmed:
                new.append(key)
        return known + new[: max(0, MAX_RECLAIMED_KEYS - len(known))]

    def _compute_grant(
        self, entry: str, limit: _Limit, now: float
    ) -> limits.Grant:
        fractions = {
            name: one.fraction
            for name, one in self._contributions.items()
            if one.is_confirmed or name == entry
        }
        total = min(1.0, math.fsum(fractions.values()))
        needs = {
            name: allocation.need
            for name, allocation in limit.entries.items()
            if allocation.need is not None
        }
        idle_share = _sum_grants(
            limits.compute_base_share(part, limit.size)
            for name, part in fractions.items()
            if name not in needs
        )
        parts = division.divide(total, limit.size, needs, idle_share)
        limit.is_oversubscribed = parts.kept_fraction < 1.0
        target = parts.shares.get(entry)
        if target is None:
            part = fractions[entry] * parts.kept_fraction
            target = limits.compute_base_share(part, limit.size)
        used = self._find_used(entry, limit, fractions, now)
        slots = math.floor(limit.size * total + limits.EPSILON) - used.slots
        rate = total - used.rate
        if rate > target.rate - limits.EPSILON:
            rate = target.rate
        return limits.Grant(max(0.0, rate), max(0, min(target.slots, slots)))

    def _find_used(
        self,
        entry: str,
        limit: _Limit,
        fractions: Mapping[str, float],
        now: float,
    ) -> limits.Grant:
        """Return the largest share that the other entries may be using."""
        default_use = _sum_grants(
            limits.compute_base_share(part, limit.size)
            for name, part in fractions.items()
            if name != entry and name not in limit.entries
        )
        return _sum_grants(
            allocation.find_max_use(
                limits.compute_base_share(
                    self._contributions[name].fraction, limit.size
                ),
                now,
            )
            for name, allocation in limit.entries.items()
            if name != entry
        ).plus(default_use)

    def describe(self) -> dict[str, int]:
        """Return the numbers of entries, keys and oversubscribed keys."""
        return {
            'entries': len(self._contributions),
            'keys': len(self._keys),
            'pressed': sum(
                one.is_oversubscribed for one in self._keys.values()
            ),
        }
