"""What this agent learns of its engine's cache, and tells entries.

A thread of its own reads the engine's events, as a silent engine must
delay neither its health check nor the load reports.
"""

import threading
import time
from typing import Any

from dunlintide_adapters import cacheevents
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import cacheupdates
from dunlintide_core import prefixes
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import sessions

__all__ = [
    'Caching',
]

POLL_SECONDS = 1.0
# After a gap the whole cache is read, which may be a lot.
REREAD_SECONDS = 30.0
_JOIN_SECONDS = 5.0


def _attach(load: link_pb2.Load, news: cacheupdates.Update) -> link_pb2.Load:
    if not (news.held or news.lost or news.all):
        return load
    copied = link_pb2.Load()
    copied.CopyFrom(load)
    copied.cache.held.extend(news.held)
    copied.cache.lost.extend(news.lost)
    copied.cache.all = news.all
    return copied


class Caching:
    """View of one engine's cache; a context manager that keeps it new."""

    def __init__(
        self,
        source: cacheevents.EventReader,
        counts: counting.Counts,
        limit: int,
    ) -> None:
        """Begin with an empty view.

        :param limit: prefixes that each entry is told in a second
        """
        self._source = source
        self._counts = counts
        self._view = prefixes.View()
        self._teller = cacheupdates.Publisher(limit)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='cache', daemon=True
        )
        # Events wait for one turn, so that their sessions are known.
        self._fresh: list[prefixes.Event] = []
        self._seen = 0
        self._reread = 0.0

    def __enter__(self) -> 'Caching':
        self._thread.start()
        return self

    def __exit__(self, *details) -> None:
        self._stopped.set()
        self._thread.join(_JOIN_SECONDS)

    def begin(self, session: sessions.Session) -> None:
        """Note the prompt of a session that this agent runs a stage of."""
        told = session.prefixes
        if told is None or not told.blocks or not session.prompt_tokens:
            return
        found = prefixes.Prefixes(tuple(told.blocks), told.characters)
        with self._lock:
            self._view.add_session(
                session.request_id, found, session.prompt_tokens
            )

    def forget(self) -> None:
        """Take the cache as empty: the engine has gone or loads others."""
        with self._lock:
            self._view.clear()
            self._view.is_incomplete = True
            self._fresh = []

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            self.poll(time.monotonic())

    def poll(self, now: float) -> None:
        """Read what the engine has published since the last time.

        :param now: monotonic time in seconds
        """
        with self._lock:
            since = self._seen
        read = self._source.read_events(since)
        if read.is_err():
            return
        last, events = read.ok_value
        with self._lock:
            if last < since:
                # The engine was started anew and counts from 1.
                self._view.reset()
                self._fresh, self._seen = [], 0
                return
            gaps = self._view.gaps
            self._view.apply_events(self._fresh)
            self._counts.add('cache-gap', self._view.gaps - gaps)
            self._fresh = events
            self._seen = events[-1].sequence if events else since
            unsure = self._view.is_incomplete
        if unsure and now - self._reread >= REREAD_SECONDS:
            self._reread = now
            self._read_anew()

    def _read_anew(self) -> None:
        read = self._source.read_blocks()
        if read.is_err():
            return
        last, blocks = read.ok_value
        with self._lock:
            if last >= self._view.sequence:
                self._view.replace(last, blocks)
                self._seen = max(self._seen, last)
                self._counts.add('cache-reread')

    def tell(self, load: link_pb2.Load) -> link_pb2.Load:
        """Add the next news to a load report that goes to all entries."""
        with self._lock:
            news = self._teller.publish(self._view)
        self._counts.add('cache-told', len(news.held) + len(news.lost))
        return _attach(load, news)

    def tell_all(self, load: link_pb2.Load) -> link_pb2.Load:
        """Add all that was told to the first report on a new link."""
        with self._lock:
            news = self._teller.build_snapshot()
        return _attach(load, news)

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._lock:
            return {
                'blocks': len(self._view),
                'told': len(self._teller),
                'sequence': self._view.sequence,
                'gaps': self._view.gaps,
                'unsure': self._view.is_incomplete,
            }
