"""Team limits that hold over all entries without a shared counter.

Each of N entries has a base share of 1/N of every limit, which it uses
without coordination. It lends its base shares to a coordinator, which
divides the lent shares by demand and grants them for a short time (a
lease). Under a key without a grant, an entry uses its base share. If an
entry has no demand under a key, its base share is granted to others only
after the entry has acknowledged the reduction. The granted shares never
exceed the lent shares. The sum over all entries therefore stays within
the limit, whatever messages are lost and however the network is
partitioned:

- A grant expires at the entry ``LEASE_SECONDS`` after the entry sent the
  demand. At the coordinator it expires ``LEASE_SECONDS`` after the demand
  arrived, which is later.
- Until the entry acknowledges a smaller grant, the coordinator counts the
  larger one before it.
- An entry without a valid grant uses the smaller of its last grant and
  its base share. It returns to its base share after two leases and
  ``SLACK_SECONDS``, when no grant to another entry can depend on it.

In any T seconds the entries together admit at most ``rate * T`` plus
``rate * BURST_SECONDS`` requests, plus one request per entry.
"""

import math
from typing import Mapping

import attrs

__all__ = [
    'BURST_SECONDS',
    'Bucket',
    'EPSILON',
    'Grant',
    'Key',
    'LEASE_SECONDS',
    'Lease',
    'Need',
    'SLACK_SECONDS',
    'compute_base_share',
    'find_minimum',
]

BURST_SECONDS = 1.0
LEASE_SECONDS = 8.0
# Longest network delay for which the limit is exact. After a longer delay of a
# demand, the base share of its entry may be in use twice for the excess time.
SLACK_SECONDS = 2.0
# Interval of demands from an entry without needs and without a reduced share.
# It leaves time for one more demand within the lease.
IDLE_DEMAND_SECONDS = 5.0
# Upper bound of rounding errors in sums of shares.
EPSILON = 1e-9
# A larger decrease of a share is acknowledged at once.
_SIGNIFICANT_DECREASE = 0.02

# Team and rule. All API keys and connections of a team share one limit.
Key = tuple[str, str]


@attrs.define
class Bucket:
    """Token bucket that may go into debt by one request.

    The debt lets an entry without a share serve a first request at once.
    It is kept until refills have paid for it, so that no request is free.

    :ivar updated: time of the last refill in seconds
    :ivar tokens: available tokens, negative for a debt
    """

    updated: float
    tokens: float = 0.0

    @classmethod
    def from_share(cls, now: float, rate: float) -> 'Bucket':
        """Build a full bucket, as after a time without requests.

        :param now: time in seconds
        :param rate: share of this entry in tokens per second
        """
        return cls(now, rate * BURST_SECONDS)

    def take(self, now: float, rate: float) -> float:
        """Take a token.

        :param now: time in seconds
        :param rate: share of this entry in tokens per second
        :returns: 0 if a token was taken, else the seconds until one is
            available, infinite without a share
        """
        self.refill(now, rate)
        if self.tokens >= -EPSILON:
            self.tokens -= 1.0
            return 0.0
        return -self.tokens / rate if rate > 0 else math.inf

    def refill(self, now: float, rate: float) -> None:
        """Add the tokens for the time since the last refill."""
        grown = self.tokens + rate * max(0.0, now - self.updated)
        self.tokens = min(rate * BURST_SECONDS, grown)
        self.updated = now


@attrs.frozen
class Need:
    """Demand of an entry under one key.

    :ivar rate: fraction of the rate that it could use, 0 to 1
    :ivar slots: number of requests that it would have in flight
    :ivar in_flight: number of requests that it has in flight
    :ivar limit: the limit of requests in flight, 0 for none
    """

    rate: float = 0.0
    slots: int = 0
    in_flight: int = 0
    limit: int = 0


@attrs.frozen
class Grant:
    """Share of an entry under one key.

    :ivar rate: fraction of the rate, 0 to 1
    :ivar slots: maximum number of requests in flight
    """

    rate: float = 0.0
    slots: int = 0

    def plus(self, other: 'Grant') -> 'Grant':
        """Return the sum of two grants."""
        return Grant(self.rate + other.rate, self.slots + other.slots)


def find_minimum(one: Grant, other: Grant) -> Grant:
    """Return the smaller rate and the smaller number of slots."""
    return Grant(min(one.rate, other.rate), min(one.slots, other.slots))


def compute_base_share(fraction: float, limit: int) -> Grant:
    """Compute the base share of an entry, with slots rounded down.

    :param fraction: fraction of each limit that is the base share
    :param limit: the limit of requests in flight, 0 for none
    """
    return Grant(fraction, math.floor(limit * fraction + EPSILON))


@attrs.define
class Lease:
    """Lease of an entry from a coordinator.

    :ivar coordinator: name of the coordinator, empty for none
    :ivar acknowledged: sequence number of the last demand whose answer
        has been applied, 0 for none
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
        """Return whether the grants are valid."""
        return now < self._confirmed_at + LEASE_SECONDS

    def is_base_share_free(self, now: float) -> bool:
        """Return whether no other entry can still use the base shares."""
        if not self.acknowledged:
            return True
        released_at = self._last_sent_at + 2 * LEASE_SECONDS + SLACK_SECONDS
        return not self.is_live(now) and now >= released_at

    def choose(self, coordinator: str, now: float) -> bool:
        """Select a coordinator, once nothing is lent to another one.

        :param coordinator: preferred coordinator; empty for none, which
            does not end a valid lease
        :param now: time in seconds
        :returns: whether to send a demand to the current coordinator now
        """
        if self.acknowledged and not self.is_base_share_free(now):
            # If another coordinator is preferred, the lease is not renewed.
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
        """Return whether a demand without needs can wait.

        It can while the lease is valid, all grants equal the base shares,
        and the coordinator has the acknowledgement of that.
        """
        is_recent = now - self._last_sent_at < IDLE_DEMAND_SECONDS
        is_settled = not self._grants and not self._must_acknowledge
        return is_recent and is_settled and self.is_live(now)

    def send(self, now: float) -> int:
        """Record that a demand is sent now.

        :returns: the sequence number of the demand
        """
        self._sequence += 1
        self._last_sent_at = now
        self._must_acknowledge = False
        self._sent[self._sequence] = now
        return self._sequence

    def accept(self, sequence: int, grants: Mapping[Key, Grant]) -> bool:
        """Apply the answer to a demand.

        :returns: False for an outdated or unexpected answer
        """
        sent = self._sent.get(sequence)
        if sent is None or sequence <= self.acknowledged:
            return False
        self._sent = {n: at for n, at in self._sent.items() if n > sequence}
        self.acknowledged = sequence
        self._confirmed_at = sent
        # The coordinator grants a reduction to others once it is acknowledged.
        self._must_acknowledge = self._grants != grants
        self._grants = grants
        return True

    def is_shrunk_by(self, grants: Mapping[Key, Grant]) -> bool:
        """Return whether any grant is smaller than the current one."""
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
        """Return the share that may be used under a key.

        :param fraction: fraction of each limit that is the base share
        :param limit: the limit of requests in flight, 0 for none
        """
        base_share = compute_base_share(fraction, limit)
        if self.is_base_share_free(now):
            return base_share
        grant = self._grants.get(key, base_share)
        return grant if self.is_live(now) else find_minimum(grant, base_share)

    def has_grant(self, key: Key, now: float) -> bool:
        """Return whether there is a valid grant under a key."""
        return self.is_live(now) and key in self._grants
