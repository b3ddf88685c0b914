"""Which requests have been refused before, and when to come back.

A caller that was told to come back asks another entry, so entries tell
each other whom they refused. How long it is to stay away follows from how
many are refused just now: while most are, a short pause would only bring
it into the same crowd.
"""

import collections

import attrs

__all__ = [
    'Returns',
    'choose_stopping_pause',
]

# How long a refusal is remembered, in seconds: longer than any pause that
# callers are told.
MEMORY_SECONDS = 8.0
# Time over which refusals are weighed against requests, in seconds.
WINDOW_SECONDS = 2.0
# Pause when hardly any request is refused, in seconds: streams end and
# free their room within it.
SHORT_PAUSE = 0.4
# What is added to the pause when all are refused, in seconds: a lost
# engine's layers are loaded elsewhere by then.
LONG_PAUSE = 4.0
# Most refusals that are kept.
MAX_KNOWN = 4096
# Part of the time left that a caller waits at most before it returns.
LEFT_PART = 1 / 3
# When to return to an entry that stops while others serve, in seconds: at
# once, to one of them.
OTHER_ENTRY_PAUSE = 0.1
# Time from the end of an entry's process until the next one serves, in
# seconds, half of it the platform's delay.
RESTART_SECONDS = 1.0


@attrs.define
class Returns:
    """Refusals of one entry and those that others told."""

    _refused: collections.OrderedDict[int, float] = attrs.field(
        factory=collections.OrderedDict, init=False
    )
    _own: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque, init=False
    )
    _asked: collections.deque[float] = attrs.field(
        factory=collections.deque, init=False
    )

    def ask(self, now: float) -> None:
        """Take note of a request.

        :param now: monotonic time in seconds
        """
        self._asked.append(now)
        self._expire(now)

    def refuse(self, digest: int, now: float) -> None:
        """Take note of a request that is refused here."""
        self._own.append((now, digest))
        self.hear(digest, now)
        self._expire(now)

    def hear(self, digest: int, now: float) -> None:
        """Take note of a request that was refused anywhere."""
        self._refused[digest] = now
        self._refused.move_to_end(digest)
        if len(self._refused) > MAX_KNOWN:
            self._refused.popitem(last=False)

    def has_returned(self, digest: int, now: float) -> bool:
        """Tell whether a request was refused a short time ago."""
        refused = self._refused.get(digest)
        return refused is not None and now - refused < MEMORY_SECONDS

    def list_recent(self, since: float) -> list[int]:
        """List the requests refused here since a time."""
        return [digest for at, digest in self._own if at >= since]

    def choose_pause(self, now: float) -> float:
        """Tell after how many seconds a refused caller is to return."""
        self._expire(now)
        share = len(self._own) / max(1, len(self._asked), len(self._own))
        return SHORT_PAUSE + LONG_PAUSE * share

    def _expire(self, now: float) -> None:
        while self._asked and self._asked[0] <= now - WINDOW_SECONDS:
            self._asked.popleft()
        while self._own and self._own[0][0] <= now - WINDOW_SECONDS:
            self._own.popleft()


def choose_stopping_pause(others: int, left: float) -> float:
    """Tell after how many seconds to return to an entry that stops.

    Where all entries are stopped in turn, each before the one before it is
    back, callers that return at once meet another entry that stops, and have
    no further try.

    :param others: other entries that are listed
    :param left: time until the process ends at the latest, in seconds
    """
    if others:
        return OTHER_ENTRY_PAUSE
    return max(0.0, left) + RESTART_SECONDS
