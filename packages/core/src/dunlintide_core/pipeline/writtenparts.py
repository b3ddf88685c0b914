"""Parts of prompts on which runs have written, which shows them sound."""

import collections
from typing import Iterable, Sequence

__all__ = ['WrittenParts']

# Largest number of parts, and of times of own runs, that are kept.
MAX_PARTS = 4096
MAX_RUNS = 512


class WrittenParts:
    """When runs of this entry and of others last wrote on each part.

    Times are monotonic, in seconds.

    :ivar began_at: when this entry first heard of a run, infinite before
    """

    def __init__(self) -> None:
        self.began_at = float('inf')
        # Time of the last run by part, the latest mostly last.
        self._last: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._own: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        # Runs of this entry by part, in all, and the times of the last ones.
        self._own_counts: dict[str, int] = {}
        self._own_total = 0
        self._own_times: collections.deque[float] = collections.deque(
            maxlen=MAX_RUNS
        )

    def record_own(self, parts: Sequence[str], now: float) -> None:
        """Record a run of this entry that has written."""
        self.began_at = min(self.began_at, now)
        self._own_total += 1
        self._own_times.append(now)
        for part in parts:
            self._own_counts[part] = self._own_counts.get(part, 0) + 1
            self._own[part] = now
            self._own.move_to_end(part)
        while len(self._own) > MAX_PARTS:
            oldest, _ = self._own.popitem(last=False)
            del self._own_counts[oldest]
        self.record(parts, now)

    def record(self, parts: Iterable[str], at: float) -> None:
        """Record that a run of any entry wrote on parts at a time."""
        for part in parts:
            if at > self.get_time(part):
                self._last[part] = at
                self._last.move_to_end(part)
        while len(self._last) > MAX_PARTS:
            self._last.popitem(last=False)

    def is_known(self, part: str) -> bool:
        """Return whether any run has written on a part."""
        return part in self._last

    def get_time(self, part: str) -> float:
        """Return when a run last wrote on a part, minus infinity if never."""
        return self._last.get(part, float('-inf'))

    def get_own_time(self, part: str) -> float | None:
        """Return when a run of this entry did, None if never."""
        return self._own.get(part)

    def count_runs(self, since: float) -> int:
        """Count the runs of this entry that wrote since a time."""
        return sum(at > since for at in self._own_times)

    def estimate_runs(self, part: str, since: float) -> float:
        """Estimate how many of these runs had a part, by earlier ones."""
        share = self._own_counts.get(part, 0) / max(1, self._own_total)
        return share * self.count_runs(since)
