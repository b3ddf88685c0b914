"""Admission by the limits that rules set for a team over all entries.

Requests are decided on in memory, by the shares that this entry holds;
a thread renews the shares with the coordinators about each second. The
arithmetic, and the bound on what is admitted, are in
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
    'Limits',
]

PERIOD_SECONDS = 1.0
# A coordinator answers each entry once in a period, so in a large fleet
# the period grows to bound what a coordinator spends.
_ENTRIES_PER_SECOND = 200
MAX_PERIOD_SECONDS = 2.0
_LEAST_PERIOD_SECONDS = 0.1
# After a jump in demand the next renewals follow quickly, as the others
# give way only step by step.
_URGENT_SECONDS = 0.25
_URGENT_RENEWALS = 12
_JUMP = 2.0
# Demand follows a change at once when it is larger than chance explains,
# in standard deviations of a count.
_NOISE = 3.0
_SMOOTHING = 0.3
# Share of a debt that is asked for on top of the demand, a second.
_REPAYMENT = 0.25
# A first request under a key waits for its first grant, but few do.
GRANT_WAIT_SECONDS = 1.0
_MAX_WAITING = 8
_KEEP_SECONDS = 30.0
_HEADROOM = 1.1
_MAX_RETRY_SECONDS = 60.0


Take = Callable[[links.Link, list[link_pb2.Frame]], None]


@attrs.define
class _Use:
    """What a team does here under one rule."""

    then: configuration.Then
    bucket: limits.Bucket
    touched: float
    asked: int = 0
    demand: float = 0.0
    short: int = 0
    in_flight: int = 0
    waiting: int = 0

    @property
    def slots(self) -> int:
        """Limit in flight, 0 for none."""
        return self.then.concurrency or 0

    def measure(self, seconds: float) -> limits.Need:
        """Return what it needs by what was asked in the last seconds."""
        recent = self.asked / seconds
        noise = _NOISE * math.sqrt(max(self.demand, recent) / seconds)
        if abs(recent - self.demand) > noise:
            self.demand = recent
        else:
            self.demand += _SMOOTHING * (recent - self.demand)
        wanted = self.in_flight + self.short + self.waiting
        self.asked = self.short = 0
        rate = 0.0
        if self.then.rate:
            debt = max(0.0, -self.bucket.tokens) * _REPAYMENT
            rate = min(1.0, (self.demand * _HEADROOM + debt) / self.then.rate)
        spare = 1 if wanted or self.demand > 1 / _KEEP_SECONDS else 0
        slots = min(self.slots, wanted + spare)
        return limits.Need(rate, slots, self.in_flight, self.slots)

    def is_idle(self, now: float) -> bool:
        """Tell whether it may be forgotten without a loss."""
        busy = self.in_flight or self.waiting or self.bucket.tokens < 0
        return not busy and now - self.touched > _KEEP_SECONDS


def _refuse(detail: str, seconds: float) -> outcomes.Refusal:
    return outcomes.refuse(
        outcomes.FailCode.RATE_LIMITED,
        detail,
        retry_after=min(seconds, _MAX_RETRY_SECONDS),
    )


class Limits:
    """Admits requests, and keeps this entry's shares of the limits."""

    def __init__(
        self,
        connect: Callable[[Take], entrylinks.Exchange],
        clock: Callable[[], float] = time.monotonic,
        grant_wait: float = GRANT_WAIT_SECONDS,
    ) -> None:
        """Begin with what this entry owns.

        :param connect: makes the links to other entries
        :param clock: monotonic time in seconds
        :param grant_wait: longest wait for a key's first grant, in seconds
        :raises OSError: when the port for other entries is taken
        """
        self._clock = clock
        self._grant_wait = grant_wait
        self._changed = threading.Condition()
        self._wake = threading.Event()
        self._uses: dict[limits.Key, _Use] = {}
        self._held: dict[str, limits.Key] = {}
        self._shares = shares.Shares(
            self._changed, clock, self._refill_shard, self._note_grants
        )
        self._measured = clock()
        self._refused = 0
        self._urgent = 0
        self.exchange = connect(self._shares.take)

    @property
    def _fraction(self) -> float:
        return 1.0 / self.exchange.count

    @property
    def _period(self) -> float:
        wanted = self.exchange.count / _ENTRIES_PER_SECOND
        return min(MAX_PERIOD_SECONDS, max(PERIOD_SECONDS, wanted))

    def _find_grant(self, key: limits.Key, use: _Use) -> limits.Grant:
        return self._shares.find(key, self._fraction, use.slots)

    def _build_use(
        self, key: limits.Key, then: configuration.Then, now: float
    ) -> _Use:
        grant = self._shares.find(key, self._fraction, then.concurrency or 0)
        rate = grant.rate * (then.rate or 0.0)
        return _Use(then, limits.Bucket.from_share(now, rate), now)

    def _find_use(self, key: limits.Key, then: configuration.Then) -> _Use:
        now = self._clock()
        use = self._uses.get(key)
        if use is None:
            use = self._uses[key] = self._build_use(key, then, now)
            self._wake.set()
        use.then = then
        use.touched = now
        return use

    def admit(
        self, request_id: str, team: str, rule: configuration.Rule
    ) -> outcomes.Refusal | None:
        """Count a request against its team's limits.

        One that is admitted must be released when it ends.
        :returns: None when it is admitted
        """
        then = rule.then
        if then.rate is None and then.concurrency is None:
            return None
        key = (team, rule.name)
        with self._changed:
            use = self._find_use(key, then)
            use.asked += 1
            refusal = self._decide(key, use)
            if refusal is not None and self._await_grant(key, use):
                refusal = self._decide(key, use)
            if refusal is not None:
                self._refused += 1
                return refusal
            if use.slots:
                use.in_flight += 1
                self._held[request_id] = key
        return None

    def _decide(self, key: limits.Key, use: _Use) -> outcomes.Refusal | None:
        grant = self._find_grant(key, use)
        if use.slots and use.in_flight >= grant.slots:
            use.short += 1
            detail = 'too many requests of the team are in flight'
            return _refuse(detail, self._period)
        if use.then.rate is None:
            return None
        rate = grant.rate * use.then.rate
        wait = use.bucket.take(self._clock(), rate)
        if not wait:
            return None
        if use.asked > _JUMP * use.demand + 1:
            self._hurry()
        # Without a share the next one comes with the next exchange.
        seconds = wait if rate else self._period
        return _refuse('the rate of the team is used up', seconds)

    def _hurry(self) -> None:
        self._urgent = _URGENT_RENEWALS
        self._wake.set()

    def _await_grant(self, key: limits.Key, use: _Use) -> bool:
        """Wait for a key's first grant; False when none came."""
        alone = self.exchange.count == 1
        if alone or use.waiting >= _MAX_WAITING or self._shares.covers(key):
            return False
        use.waiting += 1
        self._wake.set()
        try:
            return self._changed.wait_for(
                lambda: self._shares.covers(key), self._grant_wait
            )
        finally:
            use.waiting -= 1

    def release(self, request_id: str) -> None:
        """Take note that a request has ended; others are ignored."""
        with self._changed:
            key = self._held.pop(request_id, None)
            use = self._uses.get(key) if key is not None else None
            if use is not None:
                use.in_flight -= 1
                use.touched = self._clock()

    @property
    def pause(self) -> float:
        """Seconds from one renewal to the next, as things are now."""
        if self._wake.is_set():
            return _LEAST_PERIOD_SECONDS
        return _URGENT_SECONDS if self._urgent else self._period

    def follow(self, done: threading.Event) -> None:
        """Renew the shares until the event is set."""
        while not done.wait(_LEAST_PERIOD_SECONDS):
            self._wake.wait(self.pause - _LEAST_PERIOD_SECONDS)
            self.renew()

    def renew(self) -> None:
        """Tell the coordinators what is needed."""
        self._wake.clear()
        self._urgent = max(0, self._urgent - 1)
        with self._changed:
            needs = self._measure()
        for shard in range(entrylinks.SHARDS):
            self._shares.ask(shard, needs[shard], self.exchange)

    def _measure(self) -> list[dict[limits.Key, limits.Need]]:
        now = self._clock()
        seconds = max(now - self._measured, _LEAST_PERIOD_SECONDS)
        self._measured = now
        needs: list[dict] = [{} for _ in range(entrylinks.SHARDS)]
        for key, use in list(self._uses.items()):
            if use.is_idle(now):
                del self._uses[key]
                continue
            self._refill(key, use)
            need = use.measure(seconds)
            if need.rate or need.slots or need.in_flight:
                needs[shares.find_shard(key)][key] = need
        return needs

    def _refill(self, key: limits.Key, use: _Use) -> None:
        if use.then.rate is not None:
            rate = self._find_grant(key, use).rate * use.then.rate
            use.bucket.refill(self._clock(), rate)

    def _refill_shard(self, shard: int) -> None:
        """Fill buckets by the old shares before new ones apply."""
        for key, use in self._uses.items():
            if shares.find_shard(key) == shard:
                self._refill(key, use)

    def _note_grants(self, shrunk: bool) -> None:
        if shrunk:
            # Others get what was given up once that is acknowledged.
            self._wake.set()
        self._changed.notify_all()

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump, without teams' names."""
        with self._changed:
            return {
                'entries': self.exchange.count,
                'keys': len(self._uses),
                'in_flight': len(self._held),
                'refused': self._refused,
                'shards': self._shares.describe(),
            }
