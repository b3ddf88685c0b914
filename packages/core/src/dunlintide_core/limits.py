"""Limits for a member over all entries, without a shared counter.

Each of N entries owns 1/N of every limit and uses that without asking.
It lends what it owns to a coordinator, which divides what it was lent by
demand and grants parts of it for a short time (a lease). Under a key that
a coordinator says nothing about, an entry keeps what it owns; the part of
an entry that did not ask is granted to others only after that entry has
acknowledged that it gave it up. What may be used never passes what was
lent, so the sum over all entries stays within the limit whatever is lost
on the way and wherever the entries are cut apart:

- A grant ends at the entry ``LEASE_SECONDS`` after the entry sent the
  demand that it answers, and at the coordinator as long after that
  demand came, which is later.
- A smaller grant counts as the larger one before it until the entry has
  acknowledged it.
- An entry that hears nothing shrinks to the smaller of its grant and
  1/N, and takes its own 1/N back only after two leases and
  ``SLACK_SECONDS``, when no grant can rest on it any more.

So entries admit, in any span of T seconds, at most ``rate * T`` plus
``rate * BURST_SECONDS`` plus one request an entry.
"""

import functools
import math
from typing import Iterable, Mapping

import attrs

__all__ = [
    'BURST_SECONDS',
    'LEASE_SECONDS',
    'MAX_LENT',
    'SLACK_SECONDS',
    'Bucket',
    'Coordinator',
    'Division',
    'Grant',
    'Key',
    'Lease',
    'Need',
    'divide',
]

BURST_SECONDS = 1.0
LEASE_SECONDS = 4.0
# Longest time on the way for which the bound is exact. A demand that was
# longer on its way lets its entry count 1/N twice for the rest.
SLACK_SECONDS = 2.0
_EPSILON = 1e-9
# A share that shrinks by more is acknowledged at once.
_NOTABLE = 0.02
# Bounds the keys of which an entry is told to give up what it owns.
MAX_LENT = 64

# Member and rule: all keys and connections of a member count as one.
Key = tuple[str, str]


@attrs.define
class Bucket:
    """Token bucket that may be one request in debt.

    A debt is remembered until it is paid, so one first request is served
    at once at an entry that holds no share yet, and none is free. It
    begins with what has gathered while nobody asked.
    """

    updated: float
    tokens: float = 0.0

    @classmethod
    def from_share(cls, now: float, rate: float) -> 'Bucket':
        """Build a full one.

        :param rate: tokens a second of this entry's share
        """
        return cls(now, rate * BURST_SECONDS)

    def take(self, now: float, rate: float) -> float:
        """Take a token.

        :param rate: tokens a second of this entry's share
        :returns: 0 when it was taken, else the seconds until one can be,
            infinite without a share
        """
        self.refill(now, rate)
        if self.tokens >= -_EPSILON:
            self.tokens -= 1.0
            return 0.0
        return -self.tokens / rate if rate > 0 else math.inf

    def refill(self, now: float, rate: float) -> None:
        """Add what has come since it was last used."""
        grown = self.tokens + rate * max(0.0, now - self.updated)
        self.tokens = min(rate * BURST_SECONDS, grown)
        self.updated = now


@attrs.frozen
class Need:
    """What an entry asks for under one key.

    :ivar rate: share of the rate that it could use, 1 for all of it
    :ivar slots: requests that it would have in flight
    :ivar in_flight: requests that it has in flight
    :ivar limit: the limit in flight, 0 for none
    """

    rate: float = 0.0
    slots: int = 0
    in_flight: int = 0
    limit: int = 0


@attrs.frozen
class Grant:
    """What an entry may use under one key.

    :ivar rate: share of the rate, 0 to 1
    :ivar slots: requests in flight
    """

    rate: float = 0.0
    slots: int = 0

    def plus(self, other: 'Grant') -> 'Grant':
        """Return the sum of both."""
        return Grant(self.rate + other.rate, self.slots + other.slots)


def _add(grants: Iterable[Grant]) -> Grant:
    return functools.reduce(Grant.plus, grants, Grant())


def _find_less(one: Grant, other: Grant) -> Grant:
    return Grant(min(one.rate, other.rate), min(one.slots, other.slots))


def _own(fraction: float, limit: int) -> Grant:
    return Grant(fraction, math.floor(limit * fraction + _EPSILON))


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

    need: Need | None = None
    grants: list[tuple[int, Grant, float]] = attrs.field(factory=list)

    def drop(self, acknowledged: int) -> None:
        """Forget grants that were replaced."""
        self.grants = [one for one in self.grants if one[0] >= acknowledged]

    def is_plain(self, own: Grant) -> bool:
        """Tell whether it uses no more and no less than it owns."""
        plain = all(grant == own for _, grant, _ in self.grants)
        return self.need is None and plain

    def find_most(self, own: Grant, now: float) -> Grant:
        """Return the most that it may be using.

        :param own: what the entry owns, to which an ended grant shrinks
        """
        rate, slots = 0.0, self.need.in_flight if self.need else 0
        for _, grant, until in self.grants:
            if until <= now:
                grant = _find_less(grant, own)
            rate = max(rate, grant.rate)
            slots = max(slots, grant.slots)
        return Grant(rate, slots)


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

    shares: Mapping[str, Grant]
    kept: float = 1.0


def divide(
    total: float, limit: int, needs: Mapping[str, Need], unasked: Grant
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
        math.floor(limit * total + _EPSILON),
        {name: one.slots for name, one in needs.items()},
    )
    free = math.floor(limit * total + _EPSILON) - sum(slots.values())
    kept = min(
        1.0,
        left / unasked.rate if unasked.rate > _EPSILON else 1.0,
        free / unasked.slots if unasked.slots else 1.0,
    )
    if kept > 1 - _EPSILON:
        kept = 1.0
    count = max(1, len(needs))
    rest = (left - kept * unasked.rate) / count
    room = (free - math.ceil(kept * unasked.slots - _EPSILON)) // count
    return Division(
        {
            name: Grant(rates[name] + rest, slots[name] + room)
            for name in needs
        },
        kept,
    )


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
    _keys: dict[Key, _Limit] = attrs.field(factory=dict)

    def answer(
        self,
        entry: str,
        fraction: float,
        sequence: int,
        acknowledged: int,
        needs: Mapping[Key, Need],
        now: float,
    ) -> dict[Key, Grant]:
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
        until = now + LEASE_SECONDS
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
            own = _own(fraction, limit.size)
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
        self, entry: str, acknowledged: int, needs: Mapping[Key, Need]
    ) -> None:
        fraction = self._lent[entry].fraction
        for key, limit in list(self._keys.items()):
            held = limit.entries.get(entry)
            if held is None:
                continue
            held.need = needs.get(key)
            held.drop(acknowledged)
            if not limit.pressed and held.is_plain(_own(fraction, limit.size)):
                del limit.entries[entry]
            if not limit.entries:
                del self._keys[key]
        for key, need in needs.items():
            self._keys.setdefault(key, _Limit()).size = need.limit

    def _list_lent(
        self, entry: str, needs: Mapping[Key, Need], returned: bool
    ) -> list[Key]:
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

    def _grant(self, entry: str, limit: _Limit, now: float) -> Grant:
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
            _own(part, limit.size)
            for name, part in fractions.items()
            if name not in needs
        )
        division = divide(total, limit.size, needs, unasked)
        limit.pressed = division.kept < 1.0
        target = division.shares.get(entry)
        if target is None:
            part = fractions[entry] * division.kept
            target = _own(part, limit.size)
        used = self._find_used(entry, limit, fractions, now)
        slots = math.floor(limit.size * total + _EPSILON) - used.slots
        rate = total - used.rate
        if rate > target.rate - _EPSILON:
            rate = target.rate
        return Grant(max(0.0, rate), max(0, min(target.slots, slots)))

    def _find_used(
        self,
        entry: str,
        limit: _Limit,
        fractions: Mapping[str, float],
        now: float,
    ) -> Grant:
        """Return the most that others may be using."""
        plain = _add(
            _own(part, limit.size)
            for name, part in fractions.items()
            if name != entry and name not in limit.entries
        )
        return _add(
            held.find_most(_own(self._lent[name].fraction, limit.size), now)
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


@attrs.define
class Lease:
    """An entry's standing with a coordinator.

    :ivar coordinator: who is asked, empty for nobody
    :ivar acknowledged: newest demand whose answer is applied
    """

    coordinator: str = ''
    acknowledged: int = 0
    _sequence: int = 0
    _began: float = 0.0
    _last_sent: float = 0.0
    _confirmed: float = -math.inf
    _sent: dict[int, float] = attrs.field(factory=dict)
    _grants: Mapping[Key, Grant] = attrs.field(factory=dict)

    def tell_live(self, now: float) -> bool:
        """Tell whether grants are in force."""
        return now < self._confirmed + LEASE_SECONDS

    def is_free(self, now: float) -> bool:
        """Tell whether what the entry owns is its own again."""
        if not self.acknowledged:
            return True
        freed = self._last_sent + 2 * LEASE_SECONDS + SLACK_SECONDS
        return not self.tell_live(now) and now >= freed

    def choose(self, coordinator: str, now: float) -> bool:
        """Turn to a coordinator as soon as no other is lent anything.

        :param coordinator: empty to stay with the present one
        :returns: whether it is to be sent a demand now
        """
        if self.acknowledged and not self.is_free(now):
            # With a better choice in reach the lease is left to end.
            stays = coordinator in ('', self.coordinator)
            return stays and self.tell_live(now)
        waited = now - self._began > LEASE_SECONDS
        if self.acknowledged or waited or not self.coordinator:
            self._leave(coordinator, now)
        return bool(self.coordinator)

    def _leave(self, coordinator: str, now: float) -> None:
        self.coordinator = coordinator
        self.acknowledged = 0
        self._began = now
        self._confirmed = -math.inf
        self._sent = {}
        self._grants = {}

    def send(self, now: float) -> int:
        """Return the number of a demand that is sent now."""
        self._sequence += 1
        self._last_sent = now
        self._sent[self._sequence] = now
        return self._sequence

    def accept(self, sequence: int, grants: Mapping[Key, Grant]) -> bool:
        """Apply an answer; False for one that is old or was not asked."""
        sent = self._sent.get(sequence)
        if sent is None or sequence <= self.acknowledged:
            return False
        self._sent = {n: at for n, at in self._sent.items() if n > sequence}
        self.acknowledged = sequence
        self._confirmed = sent
        self._grants = grants
        return True

    def is_shrunk_by(self, grants: Mapping[Key, Grant]) -> bool:
        """Tell whether any grant is less than the one in force."""
        for key, old in self._grants.items():
            new = grants.get(key, old)
            if new.rate < old.rate - _NOTABLE or new.slots < old.slots:
                return True
        return False

    def find(self, key: Key, fraction: float, limit: int, now: float) -> Grant:
        """Return what may be used under a key.

        :param fraction: what the entry owns of each limit
        :param limit: the limit in flight, 0 for none
        """
        own = _own(fraction, limit)
        if self.is_free(now):
            return own
        grant = self._grants.get(key, own)
        return grant if self.tell_live(now) else _find_less(grant, own)

    def covers(self, key: Key, now: float) -> bool:
        """Tell whether a grant under a key is in force."""
        return self.tell_live(now) and key in self._grants
