"""Order in which waiting requests get the capacity of a service.

The most urgent request of all entries goes first. A lower priority keeps a
minimum share of the starts, and capacity that is yielded to another entry is
taken here if that entry does not use it.
"""

import collections
import enum
from typing import Callable, Collection

import attrs

__all__ = [
    'MinimumShare',
    'Rank',
    'YIELD_SECONDS',
    'YieldOutcome',
    'Yielding',
    'estimate_wait',
]

# Time for which capacity is left to a more urgent request of another entry, in
# seconds: two to three notices of free capacity fit into it, and capacity that
# the other entry can't use is idle for no longer.
YIELD_SECONDS = 0.1
# Maximum number of starts after an unused yield. Without a bound one entry
# would fill all free slots before a more urgent request elsewhere has looked
# for capacity.
MAX_UNUSED_STARTS = 2
# Tolerance for timers that run slightly early, in seconds.
TIMER_MARGIN_SECONDS = 0.001
# Time after which a yield that has ended is discarded, in seconds: the request
# that began it has left by then.
STALE_SECONDS = 1.0
# Fraction of the starts that all lower priorities together keep at most.
MAX_TOTAL_SHARE = 0.5
# Largest credit of a priority, in starts, so that one that could not start for
# a while does not take all capacity afterwards.
MAX_CREDIT = 2.0
# Tolerance for sums of shares such as a sixth, in starts.
CREDIT_MARGIN = 1e-6
# Number of requests ahead up to which no wait is estimated: so few give no
# usable estimate.
MIN_AHEAD = 2


@attrs.frozen
class Rank:
    """Place of a waiting request; the lowest one goes first.

    :ivar priority: 0 is served first
    :ivar is_under_way: whether it is a stream that has run already
    :ivar queue_class: lower values are served first; compared before the
        load, since retried requests served before fresh ones often complete
        too late
    :ivar load: load of its team, in requests divided by their weight
    :ivar arrival: sequence number of its arrival
    """

    priority: int
    is_under_way: bool
    queue_class: int
    load: float
    arrival: int

    def __lt__(self, other: 'Rank') -> bool:
        return self._get_key() < other._get_key()

    def _get_key(self) -> tuple[int, bool, int, float, int]:
        return (
            self.priority,
            not self.is_under_way,
            self.queue_class,
            self.load,
            self.arrival,
        )


class MinimumShare:
    """Starts that are owed to the lower priorities of one queue.

    All waiting priorities but the most urgent one are lower. Their own starts
    count too, so a share of a quarter gives a priority every fourth start.

    :ivar share: share of the starts that each lower priority keeps
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self._credits: dict[int, float] = {}

    def record_start(self, priority: int, waiting: Collection[int]) -> None:
        """Record a start at this entry.

        :param waiting: priorities that still wait here
        """
        first = min((priority, *waiting))
        self._credit(waiting, {each for each in waiting if each > first})
        if priority in self._credits:
            left = self._credits[priority] - 1.0
            self._credits[priority] = max(0.0, left)

    def record_yield(self, priority: int, waiting: Collection[int]) -> None:
        """Record that capacity is left to a more urgent request elsewhere.

        :param priority: priority of the request that does without it
        :param waiting: priorities that wait here, including that one
        """
        self._credit(waiting, {each for each in waiting if each >= priority})

    def _credit(
        self, waiting: Collection[int], lower: Collection[int]
    ) -> None:
        for priority in self._credits.keys() - set(waiting):
            del self._credits[priority]
        for priority in lower:
            credit = self._credits.get(priority, 0.0)
            credit += self._divide(len(lower))
            self._credits[priority] = min(MAX_CREDIT, credit)

    def _divide(self, count: int) -> float:
        """Return the share of each of several lower priorities."""
        return min(self.share, MAX_TOTAL_SHARE / max(1, count))

    def get_share(self, waiting: Collection[int]) -> float:
        """Return the part of the starts that each lower priority keeps.

        :param waiting: priorities that compete, the most urgent included
        """
        return self._divide(len(waiting) - 1)

    def is_owed(self, priority: int) -> bool:
        """Return whether a priority has saved up a whole start."""
        credit = self._credits.get(priority, 0.0)
        return self.share > 0 and credit >= 1.0 - CREDIT_MARGIN

    def choose_priority(self, waiting: Collection[int]) -> int:
        """Choose the priority that goes next.

        :param waiting: priorities that wait here, at least one
        :returns: the one that is owed most, else the most urgent one
        """
        owed = filter(self.is_owed, waiting)
        return min(
            owed,
            key=lambda each: (-self._credits[each], each),
            default=min(waiting),
        )


class YieldOutcome(enum.StrEnum):
    """What became of capacity that was left to another entry.

    :cvar USED: it was no longer free at the next try
    :cvar UNUSED: a request started here after all
    """

    USED = 'used'
    UNUSED = 'unused'


def _ignore(outcome: YieldOutcome) -> None:
    """Do nothing; the default listener."""


class Yielding:
    """Whether capacity is left to the requests of other entries for now.

    After an unused yield ``MAX_UNUSED_STARTS`` requests may use what is still
    free, for as long again. So a second free slot is not idle for a second
    yield.

    :ivar outcomes: number of yields that ended, by outcome
    """

    def __init__(
        self, on_end: Callable[[YieldOutcome], None] = _ignore
    ) -> None:
        """Create a state without a yield.

        :param on_end: called with the outcome of each yield
        """
        self._on_end = on_end
        self._ends_at: float | None = None
        self._unused_until = 0.0
        self._starts_left = 0
        self.outcomes: collections.Counter[YieldOutcome] = (
            collections.Counter()
        )

    def may_start(self, is_outranked: bool, now: float) -> bool:
        """Return whether a request for which there is capacity may start.

        :param is_outranked: whether requests of other entries precede it
        :param now: monotonic time in seconds
        """
        if not is_outranked:
            return True
        if self._ends_at is not None and now < self._ends_at + STALE_SECONDS:
            if now < self._ends_at - TIMER_MARGIN_SECONDS:
                return False
            self._unused_until = now + YIELD_SECONDS
            self._starts_left = MAX_UNUSED_STARTS
            self._end(YieldOutcome.UNUSED)
        if now < self._unused_until and self._starts_left > 0:
            self._starts_left -= 1
            return True
        self._ends_at = now + YIELD_SECONDS
        return False

    def get_left(self, now: float) -> float:
        """Return the time until a request may try again, in seconds.

        :param now: monotonic time in seconds
        """
        return (
            max(0.0, self._ends_at - now) if self._ends_at is not None else 0.0
        )

    def record_full(self, is_owner: bool) -> None:
        """Record that a request found no capacity.

        :param is_owner: whether it is the one for which the yield began;
            others may find none because what is free does not suit them
        """
        self._unused_until = 0.0
        if is_owner and self._ends_at is not None:
            self._end(YieldOutcome.USED)

    def _end(self, outcome: YieldOutcome) -> None:
        self._ends_at = None
        self.outcomes[outcome] += 1
        self._on_end(outcome)


def estimate_wait(ahead: float, rate: float) -> float | None:
    """Estimate how long a request waits.

    :param ahead: number of requests that precede it, at all entries
    :param rate: starts a second of all entries
    :returns: seconds; None if too few are ahead or nothing starts
    """
    if ahead < MIN_AHEAD or rate <= 0:
        return None
    return ahead / rate
