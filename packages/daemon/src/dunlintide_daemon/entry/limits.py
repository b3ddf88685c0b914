"""Admission by the limits that rules set for a team across all entries.

Requests are admitted or refused in memory, by the shares of the limits
that this entry holds. A thread renews the shares with their coordinators
about once a second. The arithmetic of shares, and the bound on the
requests that all entries admit together, are in
``dunlintide_core.limits``.
"""

import math
import threading
import time
from typing import Any, Callable

import attrs

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import configuration
from dunlintide_core import limits
from dunlintide_core import outcomes
from dunlintide_daemon.entry import entrylinks
from dunlintide_daemon.entry import shares

__all__ = [
    'Limiter',
]

RENEWAL_PERIOD_SECONDS = 1.0
# A coordinator answers each entry once a period, so the period grows with
# the number of entries to bound the coordinator's load.
_MAX_DEMANDS_PER_SECOND = 200
MAX_RENEWAL_PERIOD_SECONDS = 2.0
_MIN_RENEWAL_PERIOD_SECONDS = 0.1
# After a jump in demand the next renewals follow quickly, as the other
# entries' shares shrink only step by step.
_URGENT_PERIOD_SECONDS = 0.25
_URGENT_RENEWALS = 12
_DEMAND_JUMP_RATIO = 2.0
# A change of demand beyond this many standard deviations of a Poisson count
# is adopted at once; smaller changes are smoothed as noise.
_NOISE_DEVIATIONS = 3.0
_DEMAND_SMOOTHING = 0.3
# Fraction of a bucket's debt that is requested each second on top of the
# demand.
_DEBT_REPAYMENT_PER_SECOND = 0.25
# The first requests under a key wait for its first grant; the number of
# waiters is bounded, as each holds a thread.
GRANT_WAIT_SECONDS = 1.0
_MAX_GRANT_WAITERS = 8
_USAGE_RETENTION_SECONDS = 30.0
_DEMAND_HEADROOM = 1.1
_MAX_RETRY_SECONDS = 60.0


HandleFrames = Callable[[links.Link, list[link_pb2.Frame]], None]


@attrs.define
class _Usage:
    """Requests of one team under one rule at this entry.

    :ivar then: the rule's limits
    :ivar bucket: token bucket of this entry's share of the rate
    :ivar last_used: monotonic time in seconds
    :ivar request_count: requests since the last measurement
    :ivar demand: smoothed requests a second
    :ivar slot_refusals: requests refused for lack of a slot since the last
        measurement
    :ivar in_flight: admitted requests that have not ended
    :ivar waiting: requests that wait for the first grant
    """

    then: configuration.Then
    bucket: limits.Bucket
    last_used: float
    request_count: int = 0
    demand: float = 0.0
    slot_refusals: int = 0
    in_flight: int = 0
    waiting: int = 0

    @property
    def slot_limit(self) -> int:
        """Limit of requests in flight over all entries, 0 for none."""
        return self.then.concurrency or 0

    def measure_need(self, seconds: float) -> limits.Need:
        """Update the demand and return the shares that it needs.

        :param seconds: time since the last measurement
        """
        recent = self.request_count / seconds
        noise = _NOISE_DEVIATIONS * math.sqrt(
            max(self.demand, recent) / seconds
        )
        if abs(recent - self.demand) > noise:
            self.demand = recent
        else:
            self.demand += _DEMAND_SMOOTHING * (recent - self.demand)
        wanted = self.in_flight + self.slot_refusals + self.waiting
        self.request_count = self.slot_refusals = 0
        rate = 0.0
        if self.then.rate:
            debt = max(0.0, -self.bucket.tokens) * _DEBT_REPAYMENT_PER_SECOND
            rate = min(
                1.0, (self.demand * _DEMAND_HEADROOM + debt) / self.then.rate
            )
        spare = (
            1 if wanted or self.demand > 1 / _USAGE_RETENTION_SECONDS else 0
        )
        slots = min(self.slot_limit, wanted + spare)
        return limits.Need(rate, slots, self.in_flight, self.slot_limit)

    def is_idle(self, now: float) -> bool:
        """Tell whether no state would be lost by deleting it."""
        busy = self.in_flight or self.waiting or self.bucket.tokens < 0
        return not busy and now - self.last_used > _USAGE_RETENTION_SECONDS


def _refuse(detail: str, seconds: float) -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.FailCode.RATE_LIMITED,
        detail,
        retry_after=min(seconds, _MAX_RETRY_SECONDS),
    )


class Limiter:
    """Admits requests by this entry's shares of the limits.

    :ivar entry_links: links to the other entries
    """

    def __init__(
        self,
        connect: Callable[[HandleFrames], entrylinks.EntryLinks],
        clock: Callable[[], float] = time.monotonic,
        grant_wait: float = GRANT_WAIT_SECONDS,
    ) -> None:
        """Start with the shares that this entry owns without a grant.

        :param connect: builds the links to other entries, given the handler
            of their frames
        :param clock: returns the monotonic time in seconds
        :param grant_wait: longest wait for a key's first grant, in seconds
        :raises OSError: when the port for other entries is taken
        """
        self._clock = clock
        self._grant_wait = grant_wait
        self._changed = threading.Condition()
        self._wake = threading.Event()
        self._usages: dict[limits.Key, _Usage] = {}
        self._keys_in_flight: dict[str, limits.Key] = {}
        self._shares = shares.Shares(
            self._changed, clock, self._refill_shard, self._handle_grant_change
        )
        self._last_measured = clock()
        self._refused_count = 0
        self._urgent_renewals_left = 0
        self.entry_links = connect(self._shares.handle_frames)

    @property
    def _entry_fraction(self) -> float:
        return 1.0 / self.entry_links.entry_count

    @property
    def _renewal_period(self) -> float:
        wanted = self.entry_links.entry_count / _MAX_DEMANDS_PER_SECOND
        return min(
            MAX_RENEWAL_PERIOD_SECONDS, max(RENEWAL_PERIOD_SECONDS, wanted)
        )

    def _find_grant(self, key: limits.Key, usage: _Usage) -> limits.Grant:
        return self._shares.find_grant(
            key, self._entry_fraction, usage.slot_limit
        )

    def _build_usage(
        self, key: limits.Key, then: configuration.Then, now: float
    ) -> _Usage:
        grant = self._shares.find_grant(
            key, self._entry_fraction, then.concurrency or 0
        )
        rate = grant.rate * (then.rate or 0.0)
        return _Usage(then, limits.Bucket.from_share(now, rate), now)

    def _find_usage(self, key: limits.Key, then: configuration.Then) -> _Usage:
        now = self._clock()
        usage = self._usages.get(key)
        if usage is None:
            usage = self._usages[key] = self._build_usage(key, then, now)
            self._wake.set()
        usage.then = then
        usage.last_used = now
        return usage

    def admit(
        self, request_id: str, team: str, rule: configuration.Rule
    ) -> outcomes.Refusal | None:
        """Count a request against its team's limits.

        An admitted request must be released when it ends.

        :returns: None when it is admitted
        """
        then = rule.then
        if then.rate is None and then.concurrency is None:
            return None
        key = (team, rule.name)
        with self._changed:
            usage = self._find_usage(key, then)
            usage.request_count += 1
            refusal = self._check_grant(key, usage)
            if refusal is not None and self._await_grant(key, usage):
                refusal = self._check_grant(key, usage)
            if refusal is not None:
                self._refused_count += 1
                return refusal
            if usage.slot_limit:
                usage.in_flight += 1
                self._keys_in_flight[request_id] = key
        return None

    def _check_grant(
        self, key: limits.Key, usage: _Usage
    ) -> outcomes.Refusal | None:
        grant = self._find_grant(key, usage)
        if usage.slot_limit and usage.in_flight >= grant.slots:
            usage.slot_refusals += 1
            detail = (
                f'the team has {usage.in_flight} requests in flight at this'
                f' entry, whose share of the limit is {grant.slots}'
            )
            return _refuse(detail, self._renewal_period)
        if usage.then.rate is None:
            return None
        rate = grant.rate * usage.then.rate
        wait = usage.bucket.take(self._clock(), rate)
        if not wait:
            return None
        if usage.request_count > _DEMAND_JUMP_RATIO * usage.demand + 1:
            self._start_urgent_renewals()
        # Without a share, the earliest token comes with the next renewal.
        seconds = wait if rate else self._renewal_period
        return _refuse('the share of the rate limit is used up', seconds)

    def _start_urgent_renewals(self) -> None:
        self._urgent_renewals_left = _URGENT_RENEWALS
        self._wake.set()

    def _await_grant(self, key: limits.Key, usage: _Usage) -> bool:
        """Wait for a key's first grant.

        :returns: whether it came within the time-out
        """
        is_only_entry = self.entry_links.entry_count == 1
        if (
            is_only_entry
            or usage.waiting >= _MAX_GRANT_WAITERS
            or self._shares.has_grant(key)
        ):
            return False
        usage.waiting += 1
        self._wake.set()
        try:
            return self._changed.wait_for(
                lambda: self._shares.has_grant(key), self._grant_wait
            )
        finally:
            usage.waiting -= 1

    def release(self, request_id: str) -> None:
        """End a request; ids of requests that hold no slot are ignored."""
        with self._changed:
            key = self._keys_in_flight.pop(request_id, None)
            usage = self._usages.get(key) if key is not None else None
            if usage is not None:
                usage.in_flight -= 1
                usage.last_used = self._clock()

    @property
    def renewal_delay(self) -> float:
        """Seconds from the last renewal to the next."""
        if self._wake.is_set():
            return _MIN_RENEWAL_PERIOD_SECONDS
        return (
            _URGENT_PERIOD_SECONDS
            if self._urgent_renewals_left
            else self._renewal_period
        )

    def run_renewals(self, done: threading.Event) -> None:
        """Renew the shares until the event is set."""
        while not done.wait(_MIN_RENEWAL_PERIOD_SECONDS):
            self._wake.wait(self.renewal_delay - _MIN_RENEWAL_PERIOD_SECONDS)
            self.renew()

    def renew(self) -> None:
        """Send the current needs to the coordinators."""
        self._wake.clear()
        self._urgent_renewals_left = max(0, self._urgent_renewals_left - 1)
        with self._changed:
            needs = self._measure_needs()
        for shard in range(entrylinks.SHARD_COUNT):
            self._shares.request_grants(shard, needs[shard], self.entry_links)

    def _measure_needs(self) -> list[dict[limits.Key, limits.Need]]:
        now = self._clock()
        seconds = max(now - self._last_measured, _MIN_RENEWAL_PERIOD_SECONDS)
        self._last_measured = now
        needs: list[dict] = [{} for _ in range(entrylinks.SHARD_COUNT)]
        for key, usage in list(self._usages.items()):
            if usage.is_idle(now):
                del self._usages[key]
                continue
            self._refill(key, usage)
            need = usage.measure_need(seconds)
            if need.rate or need.slots or need.in_flight:
                needs[shares.find_shard(key)][key] = need
        return needs

    def _refill(self, key: limits.Key, usage: _Usage) -> None:
        if usage.then.rate is not None:
            rate = self._find_grant(key, usage).rate * usage.then.rate
            usage.bucket.refill(self._clock(), rate)

    def _refill_shard(self, shard: int) -> None:
        """Refill buckets by the old shares before new shares apply."""
        for key, usage in self._usages.items():
            if shares.find_shard(key) == shard:
                self._refill(key, usage)

    def _handle_grant_change(self, shrunk: bool) -> None:
        if shrunk:
            # Others are granted what this entry gave up only after it has
            # acknowledged that, which the next renewal does.
            self._wake.set()
        self._changed.notify_all()

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump, without teams' names."""
        with self._changed:
            return {
                'entries': self.entry_links.entry_count,
                'keys': len(self._usages),
                'in_flight': len(self._keys_in_flight),
                'refused': self._refused_count,
                'shards': self._shares.describe(),
            }
