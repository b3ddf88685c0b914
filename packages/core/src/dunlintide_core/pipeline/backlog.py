"""Requests that wait for room, and which of them goes next."""

import bisect
from typing import Callable, Iterator

import attrs

__all__ = [
    'Backlog',
    'Waiter',
]


@attrs.define(eq=False)
class Waiter:
    """A request that waits.

    :ivar priority: 0 goes first
    :ivar order: number of its arrival
    :ivar expires: monotonic time at which it is refused, in seconds
    :ivar wake: called when there may be room for it
    """

    priority: int
    order: int
    expires: float
    wake: Callable[[], None]


def _rank(waiter: Waiter) -> tuple[int, int]:
    return (waiter.priority, waiter.order)


class Backlog:
    """Waiting requests, by priority and then by arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._order = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def __iter__(self) -> Iterator[Waiter]:
        return iter(self._waiters)

    def add(
        self, priority: int, expires: float, wake: Callable[[], None]
    ) -> Waiter:
        """Queue a request behind those of its priority."""
        self._order += 1
        waiter = Waiter(priority, self._order, expires, wake)
        bisect.insort(self._waiters, waiter, key=_rank)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Take a request out of the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def count_ahead(self, priority: int) -> int:
        """Count those that go before a new request of a priority."""
        return sum(1 for each in self._waiters if each.priority <= priority)
