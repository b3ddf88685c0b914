"""Requests that wait for room, and which of them goes next.

When more is asked than can be served, a queue by arrival makes every
answer late: each waits as long as the queue allows. So a request waits
only as long as it can still be on time. Whoever has been refused before
waits longer, behind those, and a stream that lost its chain midway goes
before all, since most of its work is done.
"""

import bisect
import collections
import enum
from typing import Callable, Iterator

import attrs

__all__ = [
    'Backlog',
    'QueueClass',
    'Waiter',
]


class QueueClass(enum.IntEnum):
    """What is at stake for a request; less goes first."""

    UNDER_WAY = 0
    FRESH = 1
    RETRIED = 2


@attrs.define(eq=False)
class Waiter:
    """A request that waits.

    :ivar priority: 0 goes first
    :ivar standing: what is at stake for it
    :ivar order: number of its arrival
    :ivar expires: monotonic time at which it is refused, in seconds
    :ivar wake: called when there may be room for it
    """

    priority: int
    queue_class: QueueClass
    arrival: int
    expires: float
    wake: Callable[[], None]


def _rank(waiter: Waiter) -> tuple[int, int, int]:
    return (waiter.priority, waiter.queue_class, waiter.arrival)


# Time over which the pace of the queue is measured, in seconds.
RATE_WINDOW_SECONDS = 1.0
# Requests that wait in any case: fewer tell nothing of the pace.
MIN_WAITERS = 2


class Backlog:
    """Waiting requests, by priority, standing and arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._arrivals = 0
        self._served: collections.deque[float] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiters)

    def add(
        self,
        priority: int,
        queue_class: QueueClass,
        expires: float,
        wake: Callable[[], None],
    ) -> Waiter:
        """Queue a request behind those of its rank."""
        self._arrivals += 1
        waiter = Waiter(priority, queue_class, self._arrivals, expires, wake)
        bisect.insort(self._waiters, waiter, key=_rank)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take a request out of the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def record_served(self, now: float) -> None:
        """Take note that a request found its place.

        :param now: monotonic time in seconds
        """
        self._served.append(now)
        while self._served[0] <= now - RATE_WINDOW_SECONDS:
            self._served.popleft()

    def exceeds_wait(
        self,
        priority: int,
        queue_class: QueueClass,
        now: float,
        expires: float,
    ) -> bool:
        """Tell whether those ahead take longer than a request may wait.

        Such a request is refused at once instead of at the end of a wait
        that could not help it. A stream under way is none: its caller has a
        part of it, and would get no more.

        :param expires: monotonic time until which it would wait
        """
        if queue_class is QueueClass.UNDER_WAY:
            return False
        ahead = self.count_ahead(priority, queue_class)
        if ahead < MIN_WAITERS:
            return False
        served = sum(
            1 for at in self._served if at > now - RATE_WINDOW_SECONDS
        )
        return ahead * RATE_WINDOW_SECONDS > served * max(0.0, expires - now)

    def count_ahead(self, priority: int, queue_class: QueueClass) -> int:
        """Count those that go before a new request."""
        rank = (priority, queue_class, self._arrivals + 1)
        return sum(1 for each in self._waiters if _rank(each) < rank)
