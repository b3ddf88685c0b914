"""Keys, revisions and history of the store."""

import collections
import copy
import threading

import attrs
import sortedcontainers

__all__ = [
    'Event',
    'KeyValue',
    'State',
    'contains',
]

MAX_HISTORY = 100_000
_FROM_KEY = b'\0'


@attrs.frozen
class KeyValue:
    """A key as of one revision; ``version`` is 0 for a removed key."""

    key: bytes
    value: bytes = b''
    create_revision: int = 0
    mod_revision: int = 0
    version: int = 0
    lease: int = 0


@attrs.frozen
class Event:
    """One change of a key."""

    revision: int
    current: KeyValue
    previous: KeyValue | None

    @property
    def deleted(self) -> bool:
        """Whether the key was removed."""
        return self.current.version == 0


def contains(key: bytes, start: bytes, end: bytes) -> bool:
    """Return whether a key is in a range.

    :param end: exclusive end, empty for the key ``start`` alone, a zero byte
        for all keys from ``start`` on
    """
    if not end:
        return key == start
    return key >= start and (end == _FROM_KEY or key < end)


class State:
    """Data of the store; callers hold ``changed`` around each use.

    :ivar changed: lock of the data, notified at each change
    :ivar generation: incremented when the data is restored
    """

    def __init__(self) -> None:
        self.changed = threading.Condition(threading.RLock())
        self.revision = 1
        self.generation = 0
        self._pairs = sortedcontainers.SortedDict()
        self._history: collections.deque[Event] = collections.deque(
            maxlen=MAX_HISTORY
        )
        self._saved = self._copy()

    def _copy(self) -> tuple:
        return self.revision, self._pairs.copy(), copy.copy(self._history)

    def save(self) -> None:
        """Back up the data."""
        self._saved = self._copy()

    def restore(self) -> None:
        """Restore the backup, including its revision."""
        revision, pairs, history = self._saved
        self.revision = revision
        self._pairs = pairs.copy()
        self._history = copy.copy(history)
        self.generation += 1
        self.changed.notify_all()

    def get(self, key: bytes) -> KeyValue:
        """Return a key; version 0 if it does not exist."""
        return self._pairs.get(key) or KeyValue(key)

    def find(self, start: bytes, end: bytes) -> list[KeyValue]:
        """Return the keys of a range, in order."""
        if not end:
            found = self._pairs.get(start)
            return [found] if found else []
        last = None if end == _FROM_KEY else end
        keys = self._pairs.irange(start, last, (True, False))
        return [self._pairs[key] for key in keys]

    def find_leased(self, lease: int) -> list[KeyValue]:
        """Return the keys that are attached to a lease."""
        return [pair for pair in self._pairs.values() if pair.lease == lease]

    def put(
        self, key: bytes, value: bytes, lease: int, revision: int
    ) -> KeyValue | None:
        """Write a key as part of a revision, which ``commit`` completes.

        :returns: the previous state of the key, None if it did not exist
        """
        previous = self._pairs.get(key)
        created = previous.create_revision if previous else revision
        version = previous.version + 1 if previous else 1
        pair = KeyValue(key, value, created, revision, version, lease)
        self._pairs[key] = pair
        self._history.append(Event(revision, pair, previous))
        return previous

    def delete(
        self, start: bytes, end: bytes, revision: int
    ) -> list[KeyValue]:
        """Remove the keys of a range as part of a revision.

        :returns: the previous states of the keys
        """
        removed = self.find(start, end)
        for pair in removed:
            del self._pairs[pair.key]
            tombstone = KeyValue(pair.key, mod_revision=revision)
            self._history.append(Event(revision, tombstone, pair))
        return removed

    def commit(self, revision: int) -> None:
        """Make a revision current if it changed any key."""
        if self._history and self._history[-1].revision == revision:
            self.revision = revision
            self.changed.notify_all()

    def get_oldest_revision(self) -> int:
        """Return the first revision from which all changes are kept."""
        if len(self._history) < MAX_HISTORY:
            return 1
        return self._history[0].revision + 1

    def list_events(self, revision: int) -> list[Event]:
        """Return the changes from a revision on, in order."""
        events: list[Event] = []
        for event in reversed(self._history):
            if event.revision < revision:
                break
            events.append(event)
        events.reverse()
        return events
