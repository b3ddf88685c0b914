"""How fast an endpoint works off what waits for it."""

__all__ = ['Rate']

_SMOOTHING = 0.3
# A full batch of a slow endpoint ends together, and then nothing does for
# as long; only beyond this does a pause say that the endpoint is slower.
_MAX_PAUSE_SECONDS = 30.0


class Rate:
    """Cost that a busy endpoint finishes a second, smoothed.

    :ivar value: cost a second, 0 while it is unknown
    """

    __slots__ = ('value', '_done', '_ended', '_kept', '_since')

    def __init__(self, now: float) -> None:
        """Begin with an unknown rate.

        :param now: monotonic time in seconds
        """
        self.value = 0.0
        self._kept = 0.0
        self._done = 0.0
        self._ended = 0
        self._since = now

    def add(self, cost: float) -> None:
        """Take note of a request that has ended, with its cost."""
        self._done += cost
        self._ended += 1

    def sample(self, now: float, is_busy: bool, in_flight: int) -> None:
        """Take what has been finished into the rate.

        A request counts once it has ended, and the short ones of a batch
        end first, so a look takes as many ends as requests are in flight.

        :param now: monotonic time in seconds
        :param is_busy: whether more work waits; only then does the
            endpoint show what it can do
        :param in_flight: requests that the endpoint has
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
        """Weigh a pace by the time for which it was seen."""
        kept = (1.0 - _SMOOTHING) ** elapsed if self._kept else 0.0
        self.value = self._kept = kept * self._kept + (1.0 - kept) * seen
