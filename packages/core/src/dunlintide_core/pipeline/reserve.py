"""Capacity that is kept free for urgent requests.

Less urgent requests may last for seconds. If they took all capacity between
two bursts of urgent ones, the next burst would miss its target.
"""

import collections
import math

import attrs

__all__ = [
    'MAX_FRACTION',
    'WINDOW_SECONDS',
    'Reserve',
    'get_rounding',
    'limit_slots',
]

# Largest fraction of the capacity that is reserved.
MAX_FRACTION = 0.2
# Time over which arrivals and durations count, in seconds.
WINDOW_SECONDS = 10
# Assumed duration of requests of a priority until one has ended, in seconds.
DEFAULT_DURATION_SECONDS = 2.0
# Consecutive multiples of the golden ratio, modulo 1, are spread evenly.
_GOLDEN_RATIO = (math.sqrt(5.0) - 1.0) / 2.0


def get_rounding(rank: int) -> float:
    """Return what is added before the slots of an endpoint are rounded down.

    Reserves are mostly smaller than one slot of each endpoint. Equal rounding
    would reserve a slot everywhere or none at all.

    :param rank: position of the endpoint in an order that all entries use
    :returns: at least 0, below 1
    """
    return (0.5 + rank * _GOLDEN_RATIO) % 1.0


def limit_slots(slots: int, reserved: float, rounding: float) -> int:
    """Return how many slots of an endpoint a less urgent request may use.

    :param slots: slots that requests use where nothing is reserved
    :param reserved: fraction of them that is reserved
    :param rounding: see ``get_rounding``
    :returns: at least 1
    """
    return max(1, math.floor(slots * (1.0 - reserved) + rounding))


@attrs.define
class _Second:
    """Requests of one priority within one second.

    :ivar number: whole seconds of the monotonic time
    :ivar duration: sum of the durations of those that ended, in seconds
    """

    number: int
    arrivals: int = 0
    ends: int = 0
    duration: float = 0.0


@attrs.define(eq=False)
class _Arrivals:
    """Recent requests of one priority.

    :ivar last_at: monotonic time of the last arrival, in seconds
    """

    last_at: float
    seconds: collections.deque[_Second] = attrs.field(
        factory=collections.deque
    )

    def get_second(self, now: float) -> _Second:
        """Return the counts of the present second, without older ones."""
        number = int(now)
        while self.seconds and self.seconds[0].number < (
            number - WINDOW_SECONDS
        ):
            self.seconds.popleft()
        if not self.seconds or self.seconds[-1].number < number:
            self.seconds.append(_Second(number))
        return self.seconds[-1]

    def estimate_in_flight(self, now: float) -> float:
        """Return the mean number of requests in flight."""
        self.get_second(now)
        ends = sum(each.ends for each in self.seconds)
        duration = DEFAULT_DURATION_SECONDS
        if ends:
            duration = sum(each.duration for each in self.seconds) / ends
        arrivals = sum(each.arrivals for each in self.seconds)
        # The oldest of these seconds may begin before the window.
        return arrivals * duration / (WINDOW_SECONDS + now % 1.0)


class Reserve:
    """Need of capacity for urgent requests of one service at one entry."""

    def __init__(self) -> None:
        self._arrivals: dict[int, _Arrivals] = {}

    def record_start(self, priority: int, now: float) -> None:
        """Record the arrival of a request.

        :param now: monotonic time in seconds
        """
        self._expire(now)
        found = self._arrivals.setdefault(priority, _Arrivals(now))
        found.last_at = now
        found.get_second(now).arrivals += 1

    def record_end(self, priority: int, seconds: float, now: float) -> None:
        """Record the end of a request that was served.

        :param seconds: its duration
        :param now: monotonic time in seconds
        """
        found = self._arrivals.get(priority)
        if found is not None:
            second = found.get_second(now)
            second.ends += 1
            second.duration += seconds

    def has_more_urgent(self, priority: int, now: float) -> bool:
        """Return whether more urgent requests than one arrived recently.

        :param now: monotonic time in seconds
        """
        self._expire(now)
        return any(urgent < priority for urgent in self._arrivals)

    def get_fraction(
        self, priority: int, capacity: float, entries: int, now: float
    ) -> float:
        """Return the fraction of the capacity that a request may not use.

        The number of requests in flight varies by about its square root.

        :param priority: priority of the request
        :param capacity: requests that the service runs at once
        :param entries: number of entries, which are assumed to get as many
            urgent requests as this one
        :param now: monotonic time in seconds
        :returns: at most ``MAX_FRACTION``, 0 if no more urgent request arrived
            within ``WINDOW_SECONDS``
        """
        self._expire(now)
        in_flight = sum(
            found.estimate_in_flight(now)
            for urgent, found in self._arrivals.items()
            if urgent < priority
        )
        if not in_flight or capacity <= 0.0:
            return 0.0
        needed = math.sqrt(in_flight * entries)
        return min(MAX_FRACTION, needed / capacity)

    def get_lowest(self, now: float) -> int | None:
        """Return the least urgent priority of recent requests, None if none.

        :param now: monotonic time in seconds
        """
        self._expire(now)
        return max(self._arrivals, default=None)

    def _expire(self, now: float) -> None:
        """Drop priorities without recent arrivals."""
        expired = [
            priority
            for priority, found in self._arrivals.items()
            if now - found.last_at >= WINDOW_SECONDS
        ]
        for priority in expired:
            del self._arrivals[priority]
