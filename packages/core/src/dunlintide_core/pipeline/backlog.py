"""Queue of requests that wait for capacity, and their order.

Under overload a queue ordered by arrival alone makes every answer late, since
each request waits as long as the queue allows. A request therefore waits only
as long as it can still be answered in time. Requests that were refused before
wait longer, behind the others. An interrupted stream goes first, since most of
its work is already done.
"""

import bisect
import collections
import enum
import sys
from typing import Callable, Iterator

import attrs

from dunlintide_core.pipeline import precedence

__all__ = [
    'Backlog',
    'NOT_QUEUED',
    'QueueClass',
    'Waiter',
]

# Sequence number of a request that is not queued, behind all that are.
NOT_QUEUED = sys.maxsize


class QueueClass(enum.IntEnum):
    """Class of a waiting request; lower values are served first.

    :cvar UNDER_WAY: a stream that has run already and lost its chain
    :cvar FRESH: a request that can still be answered in time
    :cvar RETRIED: a request that was refused a short time ago
    """

    UNDER_WAY = 0
    FRESH = 1
    RETRIED = 2


@attrs.define(eq=False)
class Waiter:
    """A waiting request.

    :ivar priority: 0 is served first
    :ivar queue_class: rank among requests of equal priority
    :ivar arrival: sequence number of its arrival, ``NOT_QUEUED`` until then
    :ivar expires: monotonic time at which it is refused, in seconds
    :ivar wake: called when there may be capacity for it
    :ivar team: name of its team, empty without one
    :ivar is_called: whether it is its turn to look for capacity
    :ivar is_trying: whether it looks for capacity now
    """

    priority: int
    queue_class: QueueClass
    arrival: int
    expires: float
    wake: Callable[[], None]
    team: str = ''
    is_called: bool = False
    is_trying: bool = False

    def rank(self, load: float) -> precedence.Rank:
        """Return its place in the order over all entries.

        :param load: load of its team, in requests divided by their weight
        """
        return precedence.Rank(
            self.priority,
            self.queue_class is QueueClass.UNDER_WAY,
            self.queue_class,
            load,
            self.arrival,
        )


def _rank(waiter: Waiter) -> tuple[int, int, int]:
    """Return the sort key of a waiting request."""
    return (waiter.priority, waiter.queue_class, waiter.arrival)


# Window over which the service rate of the queue is measured, in seconds.
RATE_WINDOW_SECONDS = 1.0
# Number of waiting requests up to which a new one is always queued: a shorter
# queue gives no usable estimate of the service rate.
MIN_WAITERS = 2


class Backlog:
    """Waiting requests, ordered by priority, queue class and arrival."""

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
        """Queue a request behind those of equal rank.

        :param expires: monotonic time at which it is refused, in seconds
        :param wake: called when there may be capacity for it
        """
        waiter = Waiter(priority, queue_class, NOT_QUEUED, expires, wake)
        self.insert(waiter)
        return waiter

    def insert(self, waiter: Waiter) -> None:
        """Queue a request behind those of equal rank."""
        self._arrivals += 1
        waiter.arrival = self._arrivals
        bisect.insort(self._waiters, waiter, key=_rank)

    def remove(self, waiter: Waiter) -> None:
        """Remove a request from the queue, if it is queued."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def record_served(self, now: float) -> None:
        """Record that a request found capacity.

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
        """Return whether the queue ahead takes longer than a request may wait.

        Such a request is refused at once, since waiting could not help it. A
        stream under way never counts as such: its caller has received part of
        the answer and would get no more.

        :param now: monotonic time in seconds
        :param expires: monotonic time until which the request would wait
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
        """Count the requests that would be served before a new one."""
        rank = (priority, queue_class, self._arrivals + 1)
        return sum(1 for each in self._waiters if _rank(each) < rank)
