"""Limits for a member over all entries, without a shared counter.

Each of N entries owns 1/N of every limit. An entry lends what it owns to
a coordinator, which divides what it was lent by demand and grants parts
of it for a short time (a lease). What is granted never passes what was
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

import math
from typing import Mapping

import attrs

__all__ = [
    'BURST_SECONDS',
    'LEASE_SECONDS',
    'SLACK_SECONDS',
    'Bucket',
    'Coordinator',
    'Grant',
    'Key',
    'Lease',
    'Need',
    'divide',
    'divide_whole',
]

BURST_SECONDS = 1.0
LEASE_SECONDS = 4.0
# Longest time on the way for which the bound is exact. A demand that was
# longer on its way lets its entry count 1/N twice for the rest.
SLACK_SECONDS = 2.0
_EPSILON = 1e-9
# A share that shrinks by more is acknowledged at once.
_NOTABLE = 0.02

# Member and rule: all keys and connections of a member count as one.
Key = tuple[str, str]


@attrs.define
class Bucket:
    """Token bucket that may be one request in debt.

    A debt is remembered until it is paid, so one first request is served
    at once at an entry that holds no share yet, and none is free.
    """

    updated: float
    tokens: float = 0.0

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


_NOTHING = Grant()


def _find_less(one: Grant, other: Grant) -> Grant:
    return Grant(min(one.rate, other.rate), min(one.slots, other.slots))


def _own(fraction: float, limit: int) -> Grant:
    return Grant(fraction, math.floor(limit * fraction + _EPSILON))


def divide(total: float, wants: Mapping[str, float]) -> dict[str, float]:
    """Divide by demand: small wants are met in full, the rest is even.

    What is left when all are met is spread evenly, so that each has room
    to grow.
    """
    left, shares = total, {}
    waiting = len(wants)
    for name, want in sorted(wants.items(), key=lambda item: item[1]):
        shares[name] = min(want, left / waiting)
        left -= shares[name]
        waiting -= 1
    return {name: share + left / len(wants) for name, share in shares.items()}


def divide_whole(total: int, wants: Mapping[str, int]) -> dict[str, int]:
    """Divide whole slots as ``divide`` does.

    The rest is spread as well, or the second request of a burst would be
    refused while most of the limit is free.
    """
    left, shares = total, {}
    waiting = len(wants)
    for name, want in sorted(wants.items(), key=lambda item: item[::-1]):
        # Rounded up, so that a single slot goes to somebody.
        shares[name] = min(want, math.ceil(left / waiting))
        left -= shares[name]
        waiting -= 1
    rest = left // len(wants)
    return {name: share + rest for name, share in shares.items()}


@attrs.define
class _Lent:
    """What one entry has lent, for all keys.

    :ivar counted: whether the entry is known to have given up its own
    """

    fraction: float
    until: float
    counted: bool = False


@attrs.define
class _Held:
    """What one entry may be using under one key.

    :ivar grants: sequence, grant and end of each that may be in use
    """

    need: Need
    grants: list[tuple[int, Grant, float]] = attrs.field(factory=list)

    def drop(self, acknowledged: int) -> None:
        """Forget grants that were replaced."""
        self.grants = [one for one in self.grants if one[0] >= acknowledged]

    def find_most(self, own: Grant, now: float) -> Grant:
        """Return the most that it may be using.

        :param own: what the entry owns, to which an ended grant shrinks
        """
        rate, slots = 0.0, self.need.in_flight
        for _, grant, until in self.grants:
            if until <= now:
                grant = _find_less(grant, own)
            rate = max(rate, grant.rate)
            slots = max(slots, grant.slots)
        return Grant(rate, slots)


@attrs.define
class Coordinator:
    """Divides among entries what they have lent to it."""

    _lent: dict[str, _Lent] = attrs.field(factory=dict)
    _keys: dict[Key, dict[str, _Held]] = attrs.field(factory=dict)

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
        :returns: its grants; it has none under any other key
        """
        self._drop(now)
        until = now + LEASE_SECONDS
        self._lent[entry] = _Lent(fraction, until, counted=acknowledged > 0)
        self._note(entry, acknowledged, needs)
        grants = {key: self._grant(entry, key, now) for key in needs}
        for key, grant in grants.items():
            held = self._keys[key][entry]
            held.grants.append((sequence, grant, until))
        return grants

    def _drop(self, now: float) -> None:
        """Forget entries that have been silent for a whole lease."""
        self._lent = {
            name: one for name, one in self._lent.items() if one.until > now
        }
        for key, entries in list(self._keys.items()):
            for name in entries.keys() - self._lent.keys():
                del entries[name]
            if not entries:
                del self._keys[key]

    def _note(
        self, entry: str, acknowledged: int, needs: Mapping[Key, Need]
    ) -> None:
        for key, entries in self._keys.items():
            held = entries.get(entry)
            if held is None:
                continue
            held.need = needs.get(key, Need())
            held.drop(acknowledged)
            if key not in needs and not held.grants:
                del entries[entry]
        for key, need in needs.items():
            self._keys.setdefault(key, {}).setdefault(entry, _Held(need))

    def _grant(self, entry: str, key: Key, now: float) -> Grant:
        entries = self._keys[key]
        total = math.fsum(
            one.fraction
            for name, one in self._lent.items()
            if one.counted or name == entry
        )
        total = min(1.0, total)
        limit = entries[entry].need.limit
        others = [
            one.find_most(_own(self._lent[name].fraction, limit), now)
            for name, one in entries.items()
            if name != entry
        ]
        used = math.fsum(one.rate for one in others)
        taken = sum(one.slots for one in others)
        needs = {name: one.need for name, one in entries.items()}
        rates = {
            name: need.rate
            for name, need in needs.items()
            if need.rate > 0 or name == entry
        }
        wants = {name: need.slots for name, need in needs.items()}
        slots = math.floor(limit * total + _EPSILON)
        rate = min(divide(total, rates)[entry], total - used)
        granted = min(divide_whole(slots, wants)[entry], slots - taken)
        return Grant(max(0.0, rate), max(0, granted))

    def describe(self) -> dict[str, int]:
        """Return how much it coordinates."""
        return {'entries': len(self._lent), 'keys': len(self._keys)}


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
        """Tell whether these grants are less than those in force."""
        for key, old in self._grants.items():
            new = grants.get(key, _NOTHING)
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
        grant = self._grants.get(key, _NOTHING)
        return grant if self.tell_live(now) else _find_less(grant, own)
