"""Observed peaks of the memory demand of streams, by failure domain.

A layout keeps capacity for recent peaks, since bursts recur and a layout
cannot follow each of them.
"""

import math
from typing import Mapping

import attrs

__all__ = ['DemandPeaks']

# Half-life of a peak that does not recur, in seconds.
HALF_LIFE_SECONDS = 30.0
# Time for which streams must have been observed before a peak is reported, in
# seconds: until the first streams end, fewer are in flight than usual.
MIN_OBSERVED_SECONDS = 6.0
# Peaks are rounded up to powers of this factor, so that a layout does not
# change with every stream.
ROUNDING_FACTOR = 1.25


@attrs.define
class _Peak:
    """Maximum of the tokens in flight in a failure domain.

    :ivar tokens: decaying maximum
    :ivar first_stream_at: monotonic time of the first stream, in seconds
    :ivar observed_at: monotonic time of the last observation, in seconds
    """

    tokens: float
    first_stream_at: float
    observed_at: float


class DemandPeaks:
    """Decaying maximum of the tokens in flight, by failure domain."""

    def __init__(self) -> None:
        self._peaks: dict[str, _Peak] = {}

    def observe(self, domain: str, tokens: float, now: float) -> None:
        """Record the tokens in flight.

        :param tokens: tokens in flight, averaged over all layers
        :param now: monotonic time in seconds
        """
        peak = self._peaks.get(domain)
        if peak is None:
            if tokens > 0:
                self._peaks[domain] = _Peak(tokens, now, now)
            return
        decay = 0.5 ** ((now - peak.observed_at) / HALF_LIFE_SECONDS)
        peak.tokens = max(tokens, peak.tokens * decay)
        peak.observed_at = now

    def list_peaks(self) -> Mapping[str, float]:
        """Return the rounded peaks of the domains observed for long enough."""
        return {
            domain: ROUNDING_FACTOR
            ** math.ceil(math.log(peak.tokens, ROUNDING_FACTOR))
            for domain, peak in self._peaks.items()
            if peak.observed_at - peak.first_stream_at >= MIN_OBSERVED_SECONDS
        }

    def clear(self) -> None:
        """Drop all peaks, as after a time without reports."""
        self._peaks.clear()
