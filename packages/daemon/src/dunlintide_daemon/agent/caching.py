"""Tracking of the engine's prefix cache, published to the entries.

A separate thread reads the cache events of the engine, so that an engine
that does not answer delays neither its health check nor load reports.
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
    'CacheMonitor',
]

POLL_SECONDS = 1.0
# After missed events the full list of blocks is read, which may be large.
REREAD_SECONDS = 30.0
_JOIN_SECONDS = 5.0


def _add_update(
    load: link_pb2.Load, update: cacheupdates.Update
) -> link_pb2.Load:
    if not (update.held or update.lost or update.all):
        return load
    copied = link_pb2.Load()
    copied.CopyFrom(load)
    copied.cache.held.extend(update.held)
    copied.cache.lost.extend(update.lost)
    copied.cache.all = update.all
    return copied


class CacheMonitor:
    """View of one engine's cache, kept up to date inside a ``with`` block."""

    def __init__(
        self,
        source: cacheevents.EventReader,
        counts: counting.Counts,
        limit: int,
    ) -> None:
        """Start with an empty view.

        :param limit: prefixes published to each entry per second, at most
        """
        self._source = source
        self._counts = counts
        self._view = prefixes.View()
        self._publisher = cacheupdates.Publisher(limit)
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='cache', daemon=True
        )
        # Events are applied one poll late, so that the sessions that they
        # belong to have been recorded by then.
        self._pending: list[prefixes.Event] = []
        self._last_sequence = 0
        self._reread_at = 0.0

    def __enter__(self) -> 'CacheMonitor':
        self._thread.start()
        return self

    def __exit__(self, *details) -> None:
        self._stopped.set()
        self._thread.join(_JOIN_SECONDS)

    def record_prompt(self, session: sessions.Session) -> None:
        """Record the prompt of a session that this agent runs a stage of."""
        message = session.prefixes
        if message is None or not message.blocks or not session.prompt_tokens:
            return
        prompt_prefixes = prefixes.Prefixes(
            tuple(message.blocks), message.characters
        )
        with self._lock:
            self._view.add_session(
                session.request_id, prompt_prefixes, session.prompt_tokens
            )

    def invalidate(self) -> None:
        """Treat the cache as empty after the engine was lost or reloaded."""
        with self._lock:
            self._view.clear()
            self._view.is_incomplete = True
            self._pending = []

    def _run(self) -> None:
        while not self._stopped.wait(POLL_SECONDS):
            self.poll(time.monotonic())

    def poll(self, now: float) -> None:
        """Read the events that the engine published since the last poll.

        :param now: monotonic time in seconds
        """
        with self._lock:
            since = self._last_sequence
        read = self._source.read_events(since)
        if read.is_err():
            return
        last, events = read.ok_value
        with self._lock:
            if last < since:
                # A restarted engine numbers its events from 1 again.
                self._view.reset()
                self._pending, self._last_sequence = [], 0
                return
            gaps = self._view.gaps
            self._view.apply_events(self._pending)
            self._counts.add('cache-gap', self._view.gaps - gaps)
            self._pending = events
            self._last_sequence = events[-1].sequence if events else since
            is_incomplete = self._view.is_incomplete
        if is_incomplete and now - self._reread_at >= REREAD_SECONDS:
            self._reread_at = now
            self._reread()

    def _reread(self) -> None:
        read = self._source.read_blocks()
        if read.is_err():
            return
        last, blocks = read.ok_value
        with self._lock:
            if last >= self._view.sequence:
                self._view.replace(last, blocks)
                self._last_sequence = max(self._last_sequence, last)
                self._counts.add('cache-reread')

    def add_update(self, load: link_pb2.Load) -> link_pb2.Load:
        """Add the next cache update to a load report for all entries."""
        with self._lock:
            update = self._publisher.publish(self._view)
        self._counts.add('cache-told', len(update.held) + len(update.lost))
        return _add_update(load, update)

    def add_snapshot(self, load: link_pb2.Load) -> link_pb2.Load:
        """Add all published prefixes to the first report on a new link."""
        with self._lock:
            update = self._publisher.build_snapshot()
        return _add_update(load, update)

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        with self._lock:
            return {
                'blocks': len(self._view),
                'told': len(self._publisher),
                'sequence': self._view.sequence,
                'gaps': self._view.gaps,
                'unsure': self._view.is_incomplete,
            }
