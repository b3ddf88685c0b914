"""Queue of one service at an entry that shares its capacity with others.

Waiting requests look for capacity one after the other, in the order of the
moment, since loads of teams change while they wait. One that finds capacity
is followed by the next; one that finds none is followed by a few others,
which may fit where it does not.
"""

import math
from typing import Callable, Protocol, Sequence

import attrs

from dunlintide_core.pipeline import backlog as backlog_module
from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import precedence

__all__ = [
    'Ahead',
    'Demand',
    'ServiceQueue',
    'Yielded',
]

QueueClass = backlog_module.QueueClass
Waiter = backlog_module.Waiter

# Number of failed tries that end a round, since each one is a search for a
# chain. The last try of a round is given to the other requests by round robin.
MAX_MISSES = 3
# Number of requests that look for capacity at the same time, as some of them
# wait for the permit of an endpoint with a rate limit.
MAX_TRYING = 3
# Time for which a priority counts as waiting after its last request came or
# left, in seconds. The queue of a lower priority is often empty for a moment,
# and its share would not be credited meanwhile.
RECENT_SECONDS = 1.0
# Load that none precedes, to find requests of a more urgent priority only.
NO_LOAD = 0.0
# A team leaves capacity only to teams of its priority whose load is below this
# fraction of its own. Loads of other entries are up to half a second old, so
# teams of similar load would otherwise leave capacity idle for each other.
YIELD_LOAD_FRACTION = 0.5


def _always(entry: str) -> bool:
    return True


class Demand(Protocol):
    """What a queue needs to know of the demand at all entries."""

    def get_load(
        self, service: str, priority: int, team: str, now: float
    ) -> float:
        """Return the load of a team, over all entries."""

    def count_ahead(
        self, service: str, priority: int, load: float, now: float
    ) -> float:
        """Count the requests of other entries that precede a request."""

    def find_outranking(
        self, service: str, priority: int, load: float, now: float
    ) -> Sequence[str]:
        """Find the entries whose requests strictly precede a request."""

    def get_start_rate(self, service: str, now: float) -> float:
        """Return the starts a second of all entries."""


@attrs.frozen
class Ahead:
    """What precedes a request.

    :ivar here: number of requests at this entry
    :ivar elsewhere: number of requests at other entries, estimated
    :ivar rate: starts a second of all entries
    :ivar wait: estimated wait in seconds, None without an estimate
    """

    here: int
    elsewhere: float
    rate: float
    wait: float | None


@attrs.frozen
class Yielded:
    """Capacity that a request leaves to another entry.

    :ivar entry: name of the entry with the most urgent request
    :ivar left: time until the request may try again, in seconds
    :ivar is_new: whether the yield begins now
    """

    entry: str
    left: float
    is_new: bool


class ServiceQueue:
    """Order and admission of the requests for one service.

    :ivar shares: starts that are owed to lower priorities
    :ivar yielding: capacity that is left to other entries
    :ivar has_team_shares: whether the load of teams counts
    """

    def __init__(
        self,
        service: str,
        backlog: backlog_module.Backlog,
        demand: Demand,
        share: float,
        on_yield_end: Callable[[precedence.YieldOutcome], None] | None = None,
    ) -> None:
        """Order the requests of a queue.

        :param share: minimum share of each lower priority
        :param on_yield_end: called with the outcome of each yield
        """
        self._service = service
        self._backlog = backlog
        self._demand = demand
        self.shares = precedence.MinimumShare(share)
        self.yielding = (
            precedence.Yielding(on_yield_end)
            if on_yield_end is not None
            else precedence.Yielding()
        )
        self.has_team_shares = True
        self._yield_owner: Waiter | None = None
        self._missed: set[Waiter] = set()
        # Arrival number of the last request that was chosen by round robin.
        self._last_rotated = 0
        # Monotonic time at which each priority was last seen to wait.
        self._waited_at: dict[int, float] = {}
        self._unlogged = 0
        self._logged_at = -math.inf

    def get_load(self, waiter: Waiter, now: float) -> float:
        """Return the load of a request's team, over all entries.

        :returns: requests in flight divided by their weight
        """
        if not self.has_team_shares:
            return NO_LOAD
        return self._demand.get_load(
            self._service, waiter.priority, waiter.team, now
        )

    def _get_competing_load(self, waiter: Waiter, now: float) -> float:
        """Return the load with which a request competes with other entries.

        A stream under way precedes all others of its priority.
        """
        if waiter.queue_class is QueueClass.UNDER_WAY:
            return NO_LOAD
        return self.get_load(waiter, now)

    def _rank(
        self, waiters: Sequence[Waiter], now: float
    ) -> list[tuple[precedence.Rank, Waiter]]:
        """Return requests with their ranks, each team's load computed once."""
        loads: dict[tuple[int, str], float] = {}
        ranked = []
        for each in waiters:
            key = each.priority, each.team
            if key not in loads:
                loads[key] = self.get_load(each, now)
            ranked.append((each.rank(loads[key]), each))
        return ranked

    def list_in_order(self, now: float) -> list[Waiter]:
        """List the requests that wait for their turn, the next one first.

        :param now: monotonic time in seconds
        """
        waiters = [each for each in self._backlog if not each.is_trying]
        if not waiters:
            return []
        ranked = self._rank(waiters, now)
        ranked.sort(key=lambda item: item[0])
        ordered = [waiter for _, waiter in ranked]
        # Only one start is owed, and others may fit where that one does not.
        first = self.shares.choose_priority(
            {each.priority for each in waiters}
        )
        owed = next(each for each in ordered if each.priority == first)
        ordered.remove(owed)
        return [owed, *ordered]

    def is_first(self, waiter: Waiter, now: float) -> bool:
        """Return whether no request here precedes one, queued or not.

        :param now: monotonic time in seconds
        """
        others = [
            each
            for each in self._backlog
            if each is not waiter and not each.is_trying
        ]
        waiting = {waiter.priority, *(each.priority for each in others)}
        if self.shares.choose_priority(waiting) != waiter.priority:
            return False
        rivals = [each for each in others if each.priority == waiter.priority]
        (own, _), *ranked = self._rank([waiter, *rivals], now)
        return not any(rank < own for rank, _ in ranked)

    # Rounds, in which requests look for capacity in order.

    def begin_round(self, now: float) -> None:
        """Let the first request look for capacity.

        :param now: monotonic time in seconds
        """
        self._missed.clear()
        self._call_next(now)

    def record_miss(self, waiter: Waiter, now: float) -> None:
        """Let the next request look for capacity, as one found none.

        :param now: monotonic time in seconds
        """
        self._missed.add(waiter)
        if len(self._missed) < MAX_MISSES:
            self._call_next(now)

    def record_pause(self, now: float) -> None:
        """Let another request look for capacity while one waits for a permit.

        :param now: monotonic time in seconds
        """
        trying = sum(1 for each in self._backlog if each.is_trying)
        if trying < MAX_TRYING:
            self._call_next(now)

    def _call_next(self, now: float) -> None:
        left = [
            each
            for each in self.list_in_order(now)
            if each not in self._missed
        ]
        if not left:
            return
        is_last = len(self._missed) == MAX_MISSES - 1
        waiter = self._choose_round_robin(left) if is_last else left[0]
        waiter.is_called = True
        waiter.wake()

    def _choose_round_robin(self, waiters: Sequence[Waiter]) -> Waiter:
        """Choose the request for the last try of a round by round robin.

        By rank, a few requests that need more than any endpoint has free would
        keep those behind them from ever looking for capacity.
        """
        later = [each for each in waiters if each.arrival > self._last_rotated]
        waiter = min(later or waiters, key=lambda each: each.arrival)
        self._last_rotated = waiter.arrival
        return waiter

    def precedes_all(self, waiter: Waiter, now: float) -> bool:
        """Return whether no request precedes one, here or elsewhere.

        :param now: monotonic time in seconds
        """
        if not self.is_first(waiter, now):
            return False
        load = self._get_competing_load(waiter, now)
        return not self._demand.find_outranking(
            self._service, waiter.priority, load, now
        )

    def record_start(self, priority: int, now: float) -> None:
        """Record that a request of this entry starts.

        :param now: monotonic time in seconds
        """
        self.shares.record_start(priority, self._list_recent(now))

    def _list_recent(self, now: float) -> set[int]:
        """List the priorities that wait, or did a moment ago.

        Requests of a lower priority may leave before its credit amounts to a
        whole start; the credit must last until the next ones arrive.
        """
        self._waited_at.update(dict.fromkeys(self._list_priorities(), now))
        for priority, at in list(self._waited_at.items()):
            if at <= now - RECENT_SECONDS:
                del self._waited_at[priority]
        return set(self._waited_at)

    def _list_priorities(self) -> set[int]:
        return {each.priority for each in self._backlog}

    # Capacity that is left to other entries.

    def find_yield(
        self,
        waiter: Waiter,
        now: float,
        is_near: Callable[[str], bool] = _always,
    ) -> Yielded | None:
        """Decide whether a request leaves the capacity that it has found.

        :param now: monotonic time in seconds
        :param is_near: whether an entry, by its name, looks for capacity
            first where this one was found
        :returns: None if it may start
        """
        if self.shares.is_owed(waiter.priority):
            return None
        outranking = self._find_entries_ahead(waiter, now, is_near)
        left_before = self.yielding.get_left(now)
        if self.yielding.may_start(bool(outranking), now):
            return None
        is_new = not left_before
        if is_new:
            self._yield_owner = waiter
            self._credit_yield(waiter, now)
        left = self.yielding.get_left(now)
        return Yielded(outranking[0], left, is_new)

    def _find_entries_ahead(
        self, waiter: Waiter, now: float, is_near: Callable[[str], bool]
    ) -> Sequence[str]:
        """Find the entries to which a request leaves capacity.

        To teams of equal priority it is left only if their entries look for
        capacity there first; in another failure domain it would often idle.
        """
        find = self._demand.find_outranking
        service, priority = self._service, waiter.priority
        urgent = find(service, priority, NO_LOAD, now)
        if urgent:
            return urgent
        load = self._get_competing_load(waiter, now) * YIELD_LOAD_FRACTION
        return list(filter(is_near, find(service, priority, load, now)))

    def _credit_yield(self, waiter: Waiter, now: float) -> None:
        """Credit lower priorities, if a more urgent one gets the capacity."""
        if self._demand.find_outranking(
            self._service, waiter.priority, NO_LOAD, now
        ):
            waiting = self._list_recent(now) | {waiter.priority}
            self.shares.record_yield(waiter.priority, waiting)

    def record_full(self, waiter: Waiter) -> None:
        """Record that a request finds no capacity."""
        self.yielding.record_full(waiter is self._yield_owner)

    def count_unlogged(self, now: float, interval: float) -> int | None:
        """Count a yield for the log.

        :param interval: shortest time between two log lines, in seconds
        :returns: number of yields since the last line, None to log none now
        """
        self._unlogged += 1
        if now < self._logged_at + interval:
            return None
        count, self._unlogged, self._logged_at = self._unlogged, 0, now
        return count

    # Requests that can't be served in time.

    def estimate(self, waiter: Waiter, now: float) -> Ahead:
        """Estimate what precedes a request, queued or not, and its wait.

        A lower priority waits no longer than its minimum share takes for the
        requests of its own.

        :param now: monotonic time in seconds
        """
        others = [each for each in self._backlog if each is not waiter]
        (own, _), *ranked = self._rank([waiter, *others], now)
        preceding = [each for rank, each in ranked if rank < own]
        urgent_here = sum(
            1 for each in preceding if each.priority < waiter.priority
        )
        urgent_elsewhere, elsewhere = self._count_elsewhere(waiter, now)
        urgent = urgent_here + urgent_elsewhere
        ahead = len(preceding) + elsewhere
        rate = self._demand.get_start_rate(self._service, now)
        wait = precedence.estimate_wait(ahead, rate)
        share = self.shares.get_share(
            self._list_priorities() | {waiter.priority}
        )
        if wait is not None and urgent and share:
            share_wait = precedence.estimate_wait(ahead - urgent, rate * share)
            wait = None if share_wait is None else min(wait, share_wait)
        return Ahead(len(preceding), elsewhere, rate, wait)

    def _count_elsewhere(
        self, waiter: Waiter, now: float
    ) -> tuple[float, float]:
        """Count the requests of other entries that precede one.

        Notices have no queue classes, so the fraction of retried requests of
        its priority is assumed to be that of this entry. Under overload nearly
        all are retried, and a fresh request, which precedes them, would be
        refused if they counted.

        :returns: those of more urgent priorities, and all of them
        """
        load = self._get_competing_load(waiter, now)
        count = self._demand.count_ahead
        service, priority = self._service, waiter.priority
        urgent = count(service, priority - 1, demandrows.MAX_LOAD, now)
        equal = count(service, priority, load, now) - urgent
        classes = [
            each.queue_class
            for each in self._backlog
            if each.priority == priority and each is not waiter
        ]
        if waiter.queue_class is QueueClass.FRESH and classes:
            retried = classes.count(QueueClass.RETRIED)
            equal *= min(1.0, 2.0 * (1 - retried / len(classes)))
        return urgent, urgent + equal

    def is_too_long(self, waiter: Waiter, now: float) -> bool:
        """Return whether a request would wait longer than it may.

        A stream under way is never refused for that: its caller has received
        part of the answer.

        :param now: monotonic time in seconds
        """
        if waiter.queue_class is QueueClass.UNDER_WAY:
            return False
        # Refused requests count too, else their priority would gain no credit.
        self._waited_at[waiter.priority] = now
        wait = self.estimate(waiter, now).wait
        return wait is not None and wait > waiter.expires - now
