"""Recently refused requests, and the retry delay for refused callers.

A caller that was refused retries at another entry, so entries report their
refusals to each other. The delay grows with the share of requests that is
refused: while most are, a short delay would only bring the caller back into
the same overload.
"""

import collections
import itertools

import attrs

__all__ = ['RefusalHistory']

# How long a refusal is remembered, in seconds: longer than any delay that
# callers are given.
MEMORY_SECONDS = 8.0
# Window over which refusals are counted against requests, in seconds.
WINDOW_SECONDS = 2.0
# Delay when hardly any request is refused, in seconds: streams end and free
# capacity within it.
MIN_DELAY_SECONDS = 0.4
# Additional delay when all requests are refused, in seconds: a lost engine's
# layers are loaded elsewhere by then.
OVERLOAD_DELAY_SECONDS = 4.0
# Maximum number of refusals that are kept.
MAX_REFUSALS = 4096
# Upper bound of the delay, as a fraction of the time left until the caller's
# deadline.
MAX_DELAY_FRACTION = 1 / 3


@attrs.define
class RefusalHistory:
    """Refusals of this entry and those that other entries reported."""

    _refused_at: collections.OrderedDict[int, float] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _own_refusals: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _uncounted: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _requests: collections.deque[float] = attrs.field(
        factory=collections.deque, init=False
    )

    def record_request(self, now: float) -> None:
        """Record a request.

        :param now: monotonic time in seconds
        """
        self._requests.append(now)
        self._expire(now)

    def record_refusal(self, digest: int, now: float) -> None:
        """Record a request that this entry refuses.

        :param digest: identifies repetitions of the request
        """
        self._own_refusals.append((now, digest))
        self.receive_refusal(digest, now)
        self._expire(now)

    def record_uncounted(self, digest: int, now: float) -> None:
        """Record a refused request whose service has a delay of its own.

        :param digest: identifies repetitions of the request
        """
        self._uncounted.append((now, digest))
        self.receive_refusal(digest, now)
        self._expire(now)

    def receive_refusal(self, digest: int, now: float) -> None:
        """Record a request that any entry refused."""
        self._refused_at[digest] = now
        self._refused_at.move_to_end(digest)
        if len(self._refused_at) > MAX_REFUSALS:
            self._refused_at.popitem(last=False)

    def was_refused(self, digest: int, now: float) -> bool:
        """Return whether a request was refused a short time ago."""
        refused = self._refused_at.get(digest)
        return refused is not None and now - refused < MEMORY_SECONDS

    def list_recent(self, since: float) -> list[int]:
        """List the requests that this entry refused since a time."""
        refusals = itertools.chain(self._own_refusals, self._uncounted)
        return [digest for at, digest in refusals if at >= since]

    def choose_retry_delay(self, now: float) -> float:
        """Return the delay before a refused caller retries, in seconds."""
        self._expire(now)
        share = len(self._own_refusals) / max(
            1, len(self._requests), len(self._own_refusals)
        )
        return MIN_DELAY_SECONDS + OVERLOAD_DELAY_SECONDS * share

    def _expire(self, now: float) -> None:
        """Drop requests and refusals older than the window."""
        while self._requests and self._requests[0] <= now - WINDOW_SECONDS:
            self._requests.popleft()
        for refusals in (self._own_refusals, self._uncounted):
            while refusals and refusals[0][0] <= now - WINDOW_SECONDS:
                refusals.popleft()
