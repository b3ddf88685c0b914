"""Which requests have been refused before, and when to come back.

A caller that was told to come back asks another entry, so entries tell
each other whom they refused. How long it is to stay away follows from how
many are refused just now: while most are, a short pause would only bring
it into the same crowd.
"""

import collections

import attrs

__all__ = [
    'RefusalHistory',
    'choose_shutdown_delay',
]

# How long a refusal is remembered, in seconds: longer than any pause that
# callers are told.
MEMORY_SECONDS = 8.0
# Time over which refusals are weighed against requests, in seconds.
WINDOW_SECONDS = 2.0
# Pause when hardly any request is refused, in seconds: streams end and
# free their room within it.
MIN_DELAY_SECONDS = 0.4
# What is added to the pause when all are refused, in seconds: a lost
# engine's layers are loaded elsewhere by then.
OVERLOAD_DELAY_SECONDS = 4.0
# Most refusals that are kept.
MAX_REFUSALS = 4096
# Part of the time left that a caller waits at most before it returns.
MAX_DELAY_FRACTION = 1 / 3
# When to return to an entry that stops while others serve, in seconds: at
# once, to one of them.
OTHER_ENTRY_DELAY_SECONDS = 0.1
# Time from the end of an entry's process until the next one serves, in
# seconds, half of it the platform's delay.
RESTART_SECONDS = 1.0


@attrs.define
class RefusalHistory:
    """Refusals of one entry and those that others told."""

    _refused_at: collections.OrderedDict[int, float] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _own_refusals: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _requests: collections.deque[float] = attrs.field(
        factory=collections.deque, init=False
    )

    def record_request(self, now: float) -> None:
        """Take note of a request.

        :param now: monotonic time in seconds
        """
        self._requests.append(now)
        self._expire(now)

    def record_refusal(self, digest: int, now: float) -> None:
        """Take note of a request that is refused here."""
        self._own_refusals.append((now, digest))
        self.receive_refusal(digest, now)
        self._expire(now)

    def receive_refusal(self, digest: int, now: float) -> None:
        """Take note of a request that was refused anywhere."""
        self._refused_at[digest] = now
        self._refused_at.move_to_end(digest)
        if len(self._refused_at) > MAX_REFUSALS:
            self._refused_at.popitem(last=False)

    def was_refused(self, digest: int, now: float) -> bool:
        """Tell whether a request was refused a short time ago."""
        refused = self._refused_at.get(digest)
        return refused is not None and now - refused < MEMORY_SECONDS

    def list_recent(self, since: float) -> list[int]:
        """List the requests refused here since a time."""
        return [digest for at, digest in self._own_refusals if at >= since]

    def choose_retry_delay(self, now: float) -> float:
        """Tell after how many seconds a refused caller is to return."""
        self._expire(now)
        share = len(self._own_refusals) / max(
            1, len(self._requests), len(self._own_refusals)
        )
        return MIN_DELAY_SECONDS + OVERLOAD_DELAY_SECONDS * share

    def _expire(self, now: float) -> None:
        while self._requests and self._requests[0] <= now - WINDOW_SECONDS:
            self._requests.popleft()
        while (
            self._own_refusals
            and self._own_refusals[0][0] <= now - WINDOW_SECONDS
        ):
            self._own_refusals.popleft()


def choose_shutdown_delay(others: int, remaining: float) -> float:
    """Tell after how many seconds to return to an entry that stops.

    Where all entries are stopped in turn, each before the one before it is
    back, callers that return at once meet another entry that stops, and have
    no further try.

    :param others: other entries that are listed
    :param left: time until the process ends at the latest, in seconds
    """
    if others:
        return OTHER_ENTRY_DELAY_SECONDS
    return max(0.0, remaining) + RESTART_SECONDS
