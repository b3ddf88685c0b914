"""Sessions whose first step may still reach the engine.

A first step that is asked for twice finds its session there the second
time, and the engine refuses it; but once the session has been freed, the
engine would begin it anew. So such a session is kept on the engine until
no call that carries its first step is out any more.
"""

import collections
import heapq
import itertools
import threading
import time
from typing import Callable, Iterable

__all__ = [
    'ARRIVAL_SECONDS',
    'FirstSteps',
]

# What a connection held may arrive after its end was seen here.
ARRIVAL_SECONDS = 30.0


class FirstSteps:
    """Counts the calls that may bring a first step; safe in any thread."""

    def __init__(
        self,
        arrival_seconds: float = ARRIVAL_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Begin with none.

        :param hold: seconds for which a call without an answer counts on
        """
        self._arrival_seconds = arrival_seconds
        self._clock = clock
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()
        self._deferred: set[str] = set()
        self._call_ends: list[tuple[float, int, list[str]]] = []
        self._number = itertools.count()

    def __len__(self) -> int:
        """Return how many sessions are not to be freed yet."""
        with self._lock:
            return len(self._calls)

    def add_call(self, sessions: Iterable[str]) -> None:
        """Take note of a call that carries first steps of sessions."""
        with self._lock:
            self._calls.update(sessions)

    def end_call(self, sessions: list[str], *, answered: bool) -> None:
        """Take note that such a call has ended.

        :param answered: whether its steps can't reach the engine any more
        """
        due = self._clock() + (0.0 if answered else self._arrival_seconds)
        with self._lock:
            heapq.heappush(
                self._call_ends, (due, next(self._number), sessions)
            )

    def defer_free(self, session: str) -> bool:
        """Return whether a session is to be freed by ``take_due`` only."""
        with self._lock:
            if session not in self._calls:
                return False
            self._deferred.add(session)
            return True

    def cancel_free(self, session: str) -> None:
        """Forget a put-off end: a newer epoch has taken its place."""
        with self._lock:
            self._deferred.discard(session)

    def pop_due(self) -> list[str]:
        """Give the sessions that were put off and can be freed now."""
        now = self._clock()
        found = []
        with self._lock:
            while self._call_ends and self._call_ends[0][0] <= now:
                for session in heapq.heappop(self._call_ends)[2]:
                    self._calls[session] -= 1
                    if self._calls[session]:
                        continue
                    del self._calls[session]
                    if session in self._deferred:
                        self._deferred.discard(session)
                        found.append(session)
        return found
