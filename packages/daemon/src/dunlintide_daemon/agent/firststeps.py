"""Deferred frees of sessions whose first step may still reach the engine.

The engine refuses a duplicate first step while it holds the session. If the
session had been freed before, the duplicate would start a new one. A session
therefore stays on the engine until no call with its first step is under way.
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

# Buffered data of a connection may reach the engine after this agent has
# seen the connection end.
ARRIVAL_SECONDS = 30.0


class FirstSteps:
    """Counts the calls under way with first steps, by session.

    Methods may be called from any thread.
    """

    def __init__(
        self,
        arrival_seconds: float = ARRIVAL_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Start without calls.

        :param arrival_seconds: time for which a call that ended without an
            answer still counts as under way
        """
        self._arrival_seconds = arrival_seconds
        self._clock = clock
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()
        self._deferred: set[str] = set()
        self._call_ends: list[tuple[float, int, list[str]]] = []
        self._number = itertools.count()

    def __len__(self) -> int:
        """Return how many sessions must not be freed yet."""
        with self._lock:
            return len(self._calls)

    def add_call(self, sessions: Iterable[str]) -> None:
        """Record the start of a call with the first steps of sessions."""
        with self._lock:
            self._calls.update(sessions)

    def end_call(self, sessions: list[str], *, answered: bool) -> None:
        """Record the end of such a call.

        :param answered: whether its steps can no longer reach the engine
        """
        due = self._clock() + (0.0 if answered else self._arrival_seconds)
        with self._lock:
            heapq.heappush(
                self._call_ends, (due, next(self._number), sessions)
            )

    def defer_free(self, session: str) -> bool:
        """Defer the free of a session if its first step may still arrive.

        :returns: whether it is deferred; ``pop_due`` then returns it later
        """
        with self._lock:
            if session not in self._calls:
                return False
            self._deferred.add(session)
            return True

    def cancel_free(self, session: str) -> None:
        """Cancel a deferred free, since a newer epoch uses the session."""
        with self._lock:
            self._deferred.discard(session)

    def pop_due(self) -> list[str]:
        """Remove and return the deferred sessions that can be freed now."""
        now = self._clock()
        due_sessions = []
        with self._lock:
            while self._call_ends and self._call_ends[0][0] <= now:
                for session in heapq.heappop(self._call_ends)[2]:
                    self._calls[session] -= 1
                    if self._calls[session]:
                        continue
                    del self._calls[session]
                    if session in self._deferred:
                        self._deferred.discard(session)
                        due_sessions.append(session)
        return due_sessions
