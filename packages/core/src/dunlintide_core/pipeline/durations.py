"""How long streams usually stand still, from what an entry has seen."""

import collections
import math

import attrs

__all__ = ['DurationWindow']

# Runs that are looked back on: the last seconds of an entry's streams.
MAX_DURATIONS = 128
# Runs without which nothing is said.
MIN_DURATIONS = 16
# Part of the runs whose pauses count as usual. An engine's loss holds up
# every fifth run of an entry at most, and is not usual.
TYPICAL_QUANTILE = 0.75


@attrs.define
class DurationWindow:
    """Longest pauses of the last runs."""

    _recent: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=MAX_DURATIONS), init=False
    )
    _typical: float | None = attrs.field(default=None, init=False)

    def record(self, seconds: float) -> None:
        """Take note of the longest pause of a run."""
        self._recent.append(seconds)
        self._typical = None

    @property
    def typical(self) -> float | None:
        """The longest pause of a usual run, in seconds, None if unknown."""
        if len(self._recent) < MIN_DURATIONS:
            return None
        if self._typical is None:
            index = math.ceil(len(self._recent) * TYPICAL_QUANTILE) - 1
            self._typical = sorted(self._recent)[index]
        return self._typical
