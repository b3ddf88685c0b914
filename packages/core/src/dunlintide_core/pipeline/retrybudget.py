"""How many second sends one entry may make, of a budget for all.

The budget of a service is a share of its requests in a window plus a
fixed number. The share needs no talk between entries, since each earns
it by its own requests; the fixed number is divided among them.
"""

import collections

import attrs

__all__ = ['RetryBudget']

# Part of the share of requests that is used: each entry earns it by its own
# requests, and the rest covers windows that differ by clock.
RATIO_FRACTION = 0.9
# Part of the fixed number that is used: entries that restart forget what they
# sent, and all of them may restart once within a window.
SLACK_FRACTION = 0.5
# Part of the budget that is kept for streams under way. Answers this
# pattern: engines that leave refuse hundreds of first sends, whose second
# ones then leave nothing to rescue streams with.
RESERVED_FRACTION = 0.3


@attrs.define
class RetryBudget:
    """Sends beyond the first of each request, over a sliding window.

    :ivar ratio: sends allowed for each request in the window
    :ivar slack: sends allowed besides, for all entries together
    :ivar window: length of the window, in seconds
    :ivar entries: entries that share the slack
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
        for times in (self._requests, self._retries):
            while times and times[0] <= now - self.window:
                times.popleft()

    def record_request(self, now: float) -> None:
        """Take note of a request.

        :param now: monotonic time in seconds
        """
        self._requests.append(now)

    def count_left(self, now: float) -> float:
        """Tell how many sends are left now."""
        self._expire(now)
        return self._count_allowed() - len(self._retries)

    def _count_allowed(self) -> float:
        allowed = self.ratio * len(self._requests) * RATIO_FRACTION
        return allowed + self.slack / max(1, self.entries) * SLACK_FRACTION

    def can_spend(self, now: float, under_way: bool = True) -> bool:
        """Tell whether a second send is left.

        :param under_way: whether the request may have run; others leave a
            part of the budget to those that may have
        """
        reserved = (
            0.0 if under_way else self._count_allowed() * RESERVED_FRACTION
        )
        return self.count_left(now) >= 1.0 + reserved

    def spend(self, now: float, under_way: bool = True) -> bool:
        """Take one second send; False when none is left for it."""
        if not self.can_spend(now, under_way):
            return False
        self._retries.append(now)
        return True
