"""Retry budget of one entry, of a budget for all entries together.

The budget of a service is a ratio of its requests in a window plus a fixed
number. The ratio needs no communication between entries, since each earns it
by its own requests; the fixed number is divided among them.
"""

import collections

import attrs

__all__ = ['RetryBudget']

# Fraction of the ratio that is used: each entry earns it by its own requests,
# and the rest covers windows that differ by clock.
RATIO_FRACTION = 0.9
# Fraction of the fixed number that is used: a restarted entry does not know
# its earlier retries, and all entries may restart once within a window.
SLACK_FRACTION = 0.5
# Fraction of the budget that is reserved for streams under way: engines that
# drain refuse hundreds of first sends, and their retries would leave nothing
# to move streams with.
RESERVED_FRACTION = 0.3


@attrs.define
class RetryBudget:
    """Sends beyond the first of each request, over a sliding window.

    :ivar ratio: retries allowed for each request in the window
    :ivar slack: additional retries allowed, for all entries together
    :ivar window: length of the window, in seconds
    :ivar entries: number of entries that share the slack
    """

    ratio: float
    slack: float
    window: float
    entries: int = 1
    _requests: collections.deque[float] = attrs.field(
        factory=collections.deque, init=False
    )
    _retries: collections.deque[float] = attrs.field(
        factory=collections.deque, init=False
    )

    def _expire(self, now: float) -> None:
        """Drop requests and retries older than the window."""
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window:
                times.popleft()

    def record_request(self, now: float) -> None:
        """Record a request, which adds to the budget.

        :param now: monotonic time in seconds
        """
        self._requests.append(now)

    def count_left(self, now: float) -> float:
        """Return the number of retries left now."""
        self._expire(now)
        return self._count_allowed() - len(self._retries)

    def _count_allowed(self) -> float:
        """Return the number of retries allowed within the window."""
        allowed = self.ratio * len(self._requests) * RATIO_FRACTION
        return allowed + self.slack / max(1, self.entries) * SLACK_FRACTION

    def can_spend(self, now: float, under_way: bool = True) -> bool:
        """Return whether a retry is left.

        :param under_way: whether the request may have run; others may not use
            the reserved part of the budget
        """
        reserved = (
            0.0 if under_way else self._count_allowed() * RESERVED_FRACTION
        )
        return self.count_left(now) >= 1.0 + reserved

    def spend(self, now: float, under_way: bool = True) -> bool:
        """Take one retry from the budget, and return whether one was left."""
        if not self.can_spend(now, under_way):
            return False
        self._retries.append(now)
        return True
