"""Disruptions of a soak, and what the platform's rules excuse for them.

An entry is in touch at a moment if it and the store were calm for the whole
stable window before it. An endpoint's leaving counts if the store was.
"""

import math
import time

import attrs

__all__ = ['STABLE_SECONDS', 'Disruptions']

# Stable window that belongs to the soak's drain time of 2 s, in seconds.
STABLE_SECONDS = 3.0


@attrs.define(eq=False)
class _Disruption:
    """A disruption of the store, or of one entry and its way to the store.

    :ivar entry: name of the entry, None for the store
    :ivar since: monotonic time of its start, in seconds
    :ivar until: monotonic time of its end, infinite before that
    """

    entry: str | None
    since: float
    until: float


class Disruptions:
    """Record of the disruptions of a soak."""

    def __init__(self) -> None:
        self._disruptions: list[_Disruption] = []

    def record(self, entry: str | None = None) -> None:
        """Record a disruption that ends at once, such as a reset.

        :param entry: name of the entry, None for the store
        """
        self.begin(entry).until = time.monotonic()

    def begin(self, entry: str | None = None) -> _Disruption:
        """Record a disruption that lasts until ``end`` is called."""
        begun = _Disruption(entry, time.monotonic(), math.inf)
        self._disruptions.append(begun)
        return begun

    def end(self, begun: _Disruption) -> None:
        """Record the end of a disruption."""
        begun.until = time.monotonic()

    def is_store_stable(self, at: float) -> bool:
        """Return whether the store was calm in the stable window before."""
        return not self._was_disrupted(None, at - STABLE_SECONDS, at)

    def was_in_touch(self, entry: str, first: float, last: float) -> bool:
        """Return whether an entry was in touch from one time to another."""
        since = first - STABLE_SECONDS
        return not (
            self._was_disrupted(None, since, last)
            or self._was_disrupted(entry, since, last)
        )

    def _was_disrupted(
        self, entry: str | None, first: float, last: float
    ) -> bool:
        return any(
            each.entry == entry and each.since <= last and each.until >= first
            for each in self._disruptions
        )
