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
    'HOLD_SECONDS',
    'Leftovers',
]

# What a connection held may arrive after its end was seen here.
HOLD_SECONDS = 30.0


class Leftovers:
    """Counts the calls that may bring a first step; safe in any thread."""

    def __init__(
        self,
        hold: float = HOLD_SECONDS,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Begin with none.

        :param hold: seconds for which a call without an answer counts on
        """
        self._hold = hold
        self._clock = clock
        self._lock = threading.Lock()
        self._calls: collections.Counter[str] = collections.Counter()
        self._waiting: set[str] = set()
        self._ends: list[tuple[float, int, list[str]]] = []
        self._number = itertools.count()

    def __len__(self) -> int:
        """Return how many sessions are not to be freed yet."""
        with self._lock:
            return len(self._calls)

    def begin(self, sessions: Iterable[str]) -> None:
        """Take note of a call that carries first steps of sessions."""
        with self._lock:
            self._calls.update(sessions)

    def end(self, sessions: list[str], *, answered: bool) -> None:
        """Take note that such a call has ended.

        :param answered: whether its steps can't reach the engine any more
        """
        due = self._clock() + (0.0 if answered else self._hold)
        with self._lock:
            heapq.heappush(self._ends, (due, next(self._number), sessions))

    def put_off(self, session: str) -> bool:
        """Return whether a session is to be freed by ``take_due`` only."""
        with self._lock:
            if session not in self._calls:
                return False
            self._waiting.add(session)
            return True

    def cancel(self, session: str) -> None:
        """Forget a put-off end: a newer epoch has taken its place."""
        with self._lock:
            self._waiting.discard(session)

    def take_due(self) -> list[str]:
        """Give the sessions that were put off and can be freed now."""
        now = self._clock()
        found = []
        with self._lock:
            while self._ends and self._ends[0][0] <= now:
                for session in heapq.heappop(self._ends)[2]:
                    self._calls[session] -= 1
                    if self._calls[session]:
                        continue
                    del self._calls[session]
                    if session in self._waiting:
                        self._waiting.discard(session)
                        found.append(session)
        return found
