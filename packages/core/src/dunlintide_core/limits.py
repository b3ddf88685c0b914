"""Limits for a team over all entries, without a shared counter.

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

import math
from typing import Mapping

import attrs

__all__ = [
    'BURST_SECONDS',
    'EPSILON',
    'LEASE_SECONDS',
    'SLACK_SECONDS',
    'Bucket',
    'Grant',
    'Key',
    'Lease',
    'Need',
    'find_minimum',
    'compute_base_share',
]

BURST_SECONDS = 1.0
LEASE_SECONDS = 8.0
# Longest time on the way for which the bound is exact. A demand that was
# longer on its way lets its entry count 1/N twice for the rest.
SLACK_SECONDS = 2.0
# One that needs nothing, and of which nothing is needed, asks so seldom:
# in time for one more demand within its lease.
IDLE_DEMAND_SECONDS = 5.0
# Bound on the rounding errors of sums of shares.
EPSILON = 1e-9
# A share that shrinks by more is acknowledged at once.
_SIGNIFICANT_DECREASE = 0.02

# Team and rule: all keys and connections of a team count as one.
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
        if self.tokens >= -EPSILON:
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


def find_minimum(one: Grant, other: Grant) -> Grant:
    """Return the smaller part of each."""
    return Grant(min(one.rate, other.rate), min(one.slots, other.slots))


def compute_base_share(fraction: float, limit: int) -> Grant:
    """Return what an entry owns, in whole slots.

    :param fraction: what it owns of each limit
    :param limit: the limit in flight, 0 for none
    """
    return Grant(fraction, math.floor(limit * fraction + EPSILON))


@attrs.define
class Lease:
    """An entry's standing with a coordinator.

    :ivar coordinator: who is asked, empty for nobody
    :ivar acknowledged: newest demand whose answer is applied
    """

    coordinator: str = ''
    acknowledged: int = 0
    _sequence: int = 0
    _selected_at: float = 0.0
    _last_sent_at: float = 0.0
    _confirmed_at: float = -math.inf
    _sent: dict[int, float] = attrs.field(factory=dict)
    _grants: Mapping[Key, Grant] = attrs.field(factory=dict)
    _must_acknowledge: bool = False

    def is_live(self, now: float) -> bool:
        """Tell whether grants are in force."""
        return now < self._confirmed_at + LEASE_SECONDS

    def is_base_share_free(self, now: float) -> bool:
        """Tell whether what the entry owns is its own again."""
        if not self.acknowledged:
            return True
        released_at = self._last_sent_at + 2 * LEASE_SECONDS + SLACK_SECONDS
        return not self.is_live(now) and now >= released_at

    def choose(self, coordinator: str, now: float) -> bool:
        """Turn to a coordinator as soon as no other is lent anything.

        :param coordinator: empty to stay with the present one
        :returns: whether it is to be sent a demand now
        """
        if self.acknowledged and not self.is_base_share_free(now):
            # With a better choice in reach the lease is left to end.
            stays = coordinator in ('', self.coordinator)
            return stays and self.is_live(now)
        waited = now - self._selected_at > LEASE_SECONDS
        if self.acknowledged or waited or not self.coordinator:
            self._reset(coordinator, now)
        return bool(self.coordinator)

    def _reset(self, coordinator: str, now: float) -> None:
        self.coordinator = coordinator
        self.acknowledged = 0
        self._selected_at = now
        self._confirmed_at = -math.inf
        self._sent = {}
        self._grants = {}

    def can_defer_demand(self, now: float) -> bool:
        """Tell whether a demand without needs can wait.

        It can while no grant differs from what the entry owns, and the
        coordinator knows that, as long as what it lends stays lent.
        """
        is_recent = now - self._last_sent_at < IDLE_DEMAND_SECONDS
        is_settled = not self._grants and not self._must_acknowledge
        return is_recent and is_settled and self.is_live(now)

    def send(self, now: float) -> int:
        """Return the number of a demand that is sent now."""
        self._sequence += 1
        self._last_sent_at = now
        self._must_acknowledge = False
        self._sent[self._sequence] = now
        return self._sequence

    def accept(self, sequence: int, grants: Mapping[Key, Grant]) -> bool:
        """Apply an answer; False for one that is old or was not asked."""
        sent = self._sent.get(sequence)
        if sent is None or sequence <= self.acknowledged:
            return False
        self._sent = {n: at for n, at in self._sent.items() if n > sequence}
        self.acknowledged = sequence
        self._confirmed_at = sent
        # Others get what is given up here once that is acknowledged.
        self._must_acknowledge = self._grants != grants
        self._grants = grants
        return True

    def is_shrunk_by(self, grants: Mapping[Key, Grant]) -> bool:
        """Tell whether any grant is less than the one in force."""
        for key, old in self._grants.items():
            new = grants.get(key, old)
            if (
                new.rate < old.rate - _SIGNIFICANT_DECREASE
                or new.slots < old.slots
            ):
                return True
        return False

    def find_grant(
        self, key: Key, fraction: float, limit: int, now: float
    ) -> Grant:
        """Return what may be used under a key.

        :param fraction: what the entry owns of each limit
        :param limit: the limit in flight, 0 for none
        """
        base_share = compute_base_share(fraction, limit)
        if self.is_base_share_free(now):
            return base_share
        grant = self._grants.get(key, base_share)
        return grant if self.is_live(now) else find_minimum(grant, base_share)

    def has_grant(self, key: Key, now: float) -> bool:
        """Tell whether a grant under a key is in force."""
        return self.is_live(now) and key in self._grants
