"""How long streams usually stand still, from what an entry has seen."""

import collections
import math

import attrs

__all__ = ['Pauses']

# Runs that are looked back on: the last seconds of an entry's streams.
KEPT = 128
# Runs without which nothing is said.
LEAST = 16
# Part of the runs whose pauses count as usual. An engine's loss holds up
# every fifth run of an entry at most, and is not usual.
USUAL_PART = 0.75


@attrs.define
class Pauses:
    """Longest pauses of the last runs."""

    _kept: collections.deque[float] = attrs.field(
        factory=lambda: collections.deque(maxlen=KEPT), init=False
    )
    _usual: float | None = attrs.field(default=None, init=False)

    def note(self, seconds: float) -> None:
        """Take note of the longest pause of a run."""
        self._kept.append(seconds)
        self._usual = None

    @property
    def usual(self) -> float | None:
        """The longest pause of a usual run, in seconds, None if unknown."""
        if len(self._kept) < LEAST:
            return None
        if self._usual is None:
            place = math.ceil(len(self._kept) * USUAL_PART) - 1
            self._usual = sorted(self._kept)[place]
        return self._usual
