"""Throughput estimate of an endpoint, for predicting queueing delays."""

__all__ = ['Rate']

_SMOOTHING = 0.3
# The requests of a batch end together on a slow endpoint, and none ends while
# the next batch runs. A longer time without a finished request than this
# lowers the estimate.
_MAX_PAUSE_SECONDS = 30.0


class Rate:
    """Smoothed rate at which a busy endpoint finishes work.

    :ivar value: finished cost per second, 0 while unknown
    """

    __slots__ = ('value', '_done', '_ended', '_kept', '_since')

    def __init__(self, now: float) -> None:
        """Start with an unknown rate.

        :param now: monotonic time in seconds
        """
        self.value = 0.0
        # Last measured rate; ``value`` falls below it during a long pause.
        self._kept = 0.0
        self._done = 0.0
        self._ended = 0
        self._since = now

    def add(self, cost: float) -> None:
        """Record the cost of a request that has ended."""
        self._done += cost
        self._ended += 1

    def sample(self, now: float, is_busy: bool, in_flight: int) -> None:
        """Update the rate with the work finished since the last sample.

        The short requests of a batch end first, which would bias the rate.
        A sample on a busy endpoint therefore covers at least as many
        finished requests as are in flight.

        :param now: monotonic time in seconds
        :param is_busy: whether more work is queued; an endpoint without a
            queue does not work at its full rate
        :param in_flight: number of requests in flight
        """
        elapsed = now - self._since
        if elapsed <= 0:
            return
        if is_busy and not self._ended:
            self._decay(elapsed)
            return
        if is_busy and self._ended < in_flight:
            return
        if is_busy:
            self._blend(self._done / elapsed, elapsed)
        self._done = 0.0
        self._ended = 0
        self._since = now

    def _decay(self, elapsed: float) -> None:
        if elapsed > _MAX_PAUSE_SECONDS:
            self.value = self._kept * _MAX_PAUSE_SECONDS / elapsed

    def _blend(self, seen: float, elapsed: float) -> None:
        """Average a rate in, weighted by the time over which it was seen."""
        kept = (1.0 - _SMOOTHING) ** elapsed if self._kept else 0.0
        self.value = self._kept = kept * self._kept + (1.0 - kept) * seen
