"""Division of the limits that entries have lent to a coordinator.

``limits`` says why the sum of what may be used stays within each limit.
"""

import functools
import math
from typing import Iterable, Mapping

import attrs

from dunlintide_core import division
from dunlintide_core import limits

__all__ = [
    'MAX_LENT',
    'Coordinator',
]

# Bounds the keys of which an entry is told to give up what it owns.
MAX_LENT = 64


def _add(grants: Iterable[limits.Grant]) -> limits.Grant:
    return functools.reduce(limits.Grant.plus, grants, limits.Grant())


@attrs.define
class _Lent:
    """What one entry has lent, for all keys.

    :ivar answered: newest of its demands that was answered
    :ivar counted: whether the entry is known to heed what it is granted
    """

    fraction: float
    until: float
    answered: int
    counted: bool = False


@attrs.define
class _Held:
    """What one entry may be using under one key.

    :ivar grants: sequence, grant and end of each that may be in use
    """

    need: limits.Need | None = None
    grants: list[tuple[int, limits.Grant, float]] = attrs.field(factory=list)

    def drop(self, acknowledged: int) -> None:
        """Forget grants that were replaced."""
        self.grants = [one for one in self.grants if one[0] >= acknowledged]

    def is_plain(self, own: limits.Grant) -> bool:
        """Tell whether it uses no more and no less than it owns."""
        plain = all(grant == own for _, grant, _ in self.grants)
        return self.need is None and plain

    def find_most(self, own: limits.Grant, now: float) -> limits.Grant:
        """Return the most that it may be using.

        :param own: what the entry owns, to which an ended grant shrinks
        """
        rate, slots = 0.0, self.need.in_flight if self.need else 0
        for _, grant, until in self.grants:
            if until <= now:
                grant = limits.find_less(grant, own)
            rate = max(rate, grant.rate)
            slots = max(slots, grant.slots)
        return limits.Grant(rate, slots)


@attrs.define
class _Limit:
    """One key as its coordinator sees it.

    :ivar size: the limit in flight, 0 for none
    :ivar entries: what may be used, by entry; one that is not here uses
        what it owns at most
    :ivar pressed: whether entries that did not ask must give up a part
    """

    size: int = 0
    entries: dict[str, _Held] = attrs.field(factory=dict)
    pressed: bool = False


@attrs.define
class Coordinator:
    """Divides among entries what they have lent to it."""

    _lent: dict[str, _Lent] = attrs.field(factory=dict)
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
        """Take in an entry's demand and grant it what can be granted.

        :param entry: name of the entry in this life of it
        :param fraction: what it lends of each limit
        :param acknowledged: newest of its demands whose answer it applies,
            0 before the first
        :returns: its grants in the order of its needs, then those under
            further keys of which others need what it owns; it has what
            it owns under any other key
        """
        self._drop(now)
        until = now + limits.LEASE_SECONDS
        counted = acknowledged > 0
        before = self._lent.get(entry)
        # Demands may overtake each other.
        answered = max(sequence - 1, before.answered if before else 0)
        self._lent[entry] = _Lent(
            fraction, until, max(sequence, answered), counted
        )
        self._note(entry, acknowledged, needs)
        grants = {}
        # One that was forgotten may have given up more than is known.
        returned = counted and before is None
        for key in [*needs, *self._list_lent(entry, needs, returned)]:
            limit = self._keys[key]
            own = limits.find_own(fraction, limit.size)
            if entry not in limit.entries:
                limit.entries[entry] = _Held()
                if counted or before is not None:
                    # No answer before this one took it what it owns.
                    old = (answered, own, math.inf)
                    limit.entries[entry].grants.append(old)
            held = limit.entries[entry]
            held.need = needs.get(key)
            grant = self._grant(entry, limit, now)
            held.grants.append((sequence, grant, until))
            if key in needs or grant != own:
                grants[key] = grant
        return grants

    def _drop(self, now: float) -> None:
        """Forget entries that have been silent for a whole lease."""
        self._lent = {
            name: one for name, one in self._lent.items() if one.until > now
        }
        for key, limit in list(self._keys.items()):
            for name in limit.entries.keys() - self._lent.keys():
                del limit.entries[name]
            if not limit.entries:
                del self._keys[key]

    def _note(
        self,
        entry: str,
        acknowledged: int,
        needs: Mapping[limits.Key, limits.Need],
    ) -> None:
        fraction = self._lent[entry].fraction
        for key, limit in list(self._keys.items()):
            held = limit.entries.get(entry)
            if held is None:
                continue
            held.need = needs.get(key)
            held.drop(acknowledged)
            if not limit.pressed and held.is_plain(
                limits.find_own(fraction, limit.size)
            ):
                del limit.entries[entry]
            if not limit.entries:
                del self._keys[key]
        for key, need in needs.items():
            self._keys.setdefault(key, _Limit()).size = need.limit

    def _list_lent(
        self,
        entry: str,
        needs: Mapping[limits.Key, limits.Need],
        returned: bool,
    ) -> list[limits.Key]:
        """List keys without a need of which others may need its part.

        Those listed before stay: they may not fall back to what the
        entry owns before there is room.

        :param returned: whether to list all that may have been listed
        """
        counted = self._lent[entry].counted
        known, new = [], []
        for key, limit in self._keys.items():
            if key in needs:
                continue
            if returned or entry in limit.entries:
                known.append(key)
            elif limit.pressed and counted:
                new.append(key)
        return known + new[: max(0, MAX_LENT - len(known))]

    def _grant(self, entry: str, limit: _Limit, now: float) -> limits.Grant:
        fractions = {
            name: one.fraction
            for name, one in self._lent.items()
            if one.counted or name == entry
        }
        total = min(1.0, math.fsum(fractions.values()))
        needs = {
            name: held.need
            for name, held in limit.entries.items()
            if held.need is not None
        }
        unasked = _add(
            limits.find_own(part, limit.size)
            for name, part in fractions.items()
            if name not in needs
        )
        parts = division.divide(total, limit.size, needs, unasked)
        limit.pressed = parts.kept < 1.0
        target = parts.shares.get(entry)
        if target is None:
            part = fractions[entry] * parts.kept
            target = limits.find_own(part, limit.size)
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
        """Return the most that others may be using."""
        plain = _add(
            limits.find_own(part, limit.size)
            for name, part in fractions.items()
            if name != entry and name not in limit.entries
        )
        return _add(
            held.find_most(
                limits.find_own(self._lent[name].fraction, limit.size), now
            )
            for name, held in limit.entries.items()
            if name != entry
        ).plus(plain)

    def describe(self) -> dict[str, int]:
        """Return how much it coordinates."""
        return {
            'entries': len(self._lent),
            'keys': len(self._keys),
            'pressed': sum(one.pressed for one in self._keys.values()),
        }
