"""Typical durations, such as stream pauses, as one entry observed them."""

import collections
import math

import attrs

__all__ = ['DurationWindow']

# Number of recent runs that are kept: about the last seconds of an entry's
# streams.
MAX_DURATIONS = 128
# Number of runs below which no typical duration is reported.
MIN_DURATIONS = 16
# Quantile that counts as typical. The loss of an engine delays at most every
# fifth run of an entry, and must not count as typical.
TYPICAL_QUANTILE = 0.75


@attrs.define
class DurationWindow:
    """Sliding window of durations, one for each recent run."""

    _recent: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_DURATIONS), init=False
    )
    _typical: float | None = attrs.field(default=None, init=False)

    def record(self, seconds: float) -> None:
        """Record the duration of a run, such as its longest pause.

        :param seconds: duration in seconds
        """
        self._recent.append(seconds)
        self._typical = None

    @property
    def longest(self) -> float | None:
        """The longest recent duration in seconds, None if unknown."""
        if len(self._recent) < MIN_DURATIONS:
            return None
        return max(self._recent)

    @property
    def typical(self) -> float | None:
        """The typical duration of a run, in seconds, None if unknown."""
        if len(self._recent) < MIN_DURATIONS:
            return None
        if self._typical is None:
            index = math.ceil(len(self._recent) * TYPICAL_QUANTILE) - 1
            self._typical = sorted(self._recent)[index]
        return self._typical
