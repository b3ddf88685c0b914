"""How much memory streams take in each failure domain, as observed.

A layout keeps room for the peaks of the last while, since bursts come again
and a layout can't follow them.
"""

import math
from typing import Mapping

import attrs

__all__ = ['DemandPeaks']

# Time over which a peak that does not come again loses half of its height, in
# seconds.
HALF_LIFE_SECONDS = 30.0
# Time for which streams must have been seen before anything is told, in
# seconds: until the first ones end, there are fewer than usual.
MIN_OBSERVED_SECONDS = 6.0
# Peaks are told in steps of this factor, so that a layout does not change
# with every stream.
ROUNDING_FACTOR = 1.25


@attrs.define
class _Peak:
    """Most tokens in flight in a failure domain.

    :ivar began: monotonic time of the first stream, in seconds
    :ivar seen: when it was looked at last
    """

    tokens: float
    began: float
    seen: float


class DemandPeaks:
    """Peaks of the tokens in flight, by failure domain."""

    def __init__(self) -> None:
        self._peaks: dict[str, _Peak] = {}

    def observe(self, domain: str, tokens: float, now: float) -> None:
        """Record what streams take.

        :param tokens: tokens in flight, on average of all layers
        :param now: monotonic time in seconds
        """
        peak = self._peaks.get(domain)
        if peak is None:
            if tokens > 0:
                self._peaks[domain] = _Peak(tokens, now, now)
            return
        faded = 0.5 ** ((now - peak.seen) / HALF_LIFE_SECONDS)
        peak.tokens = max(tokens, peak.tokens * faded)
        peak.seen = now

    def list_peaks(self) -> Mapping[str, float]:
        """Give the tokens in flight at the peaks, where they are known."""
        return {
            domain: ROUNDING_FACTOR
            ** math.ceil(math.log(peak.tokens, ROUNDING_FACTOR))
            for domain, peak in self._peaks.items()
            if peak.seen - peak.began >= MIN_OBSERVED_SECONDS
        }

    def clear(self) -> None:
        """Forget everything, as after a time without news."""
        self._peaks.clear()
