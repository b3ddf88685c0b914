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
    """A key as of one revision; ``version`` 0 marks a removed one."""

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
    """Tell whether a key is in a range of the gateway.

    :param end: empty for one key, a zero byte for all from ``start`` on
    """
    if not end:
        return key == start
    return key >= start and (end == _FROM_KEY or key < end)


class State:
    """The store's data; callers hold ``changed`` around each use.

    :ivar changed: condition that is notified at each change
    :ivar generation: rises when the data is set back
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
        """Keep a copy of the data, as a backup does."""
        self._saved = self._copy()

    def restore(self) -> None:
        """Go back to the saved copy, revision and all."""
        revision, pairs, history = self._saved
        self.revision = revision
        self._pairs = pairs.copy()
        self._history = copy.copy(history)
        self.generation += 1
        self.changed.notify_all()

    def get(self, key: bytes) -> KeyValue:
        """Give a key; one that doesn't exist has version 0."""
        return self._pairs.get(key) or KeyValue(key)

    def find(self, start: bytes, end: bytes) -> list[KeyValue]:
        """Give the keys of a range, in order."""
        if not end:
            found = self._pairs.get(start)
            return [found] if found else []
        last = None if end == _FROM_KEY else end
        keys = self._pairs.irange(start, last, (True, False))
        return [self._pairs[key] for key in keys]

    def find_leased(self, lease: int) -> list[KeyValue]:
        """Give the keys that hang on a lease."""
        return [pair for pair in self._pairs.values() if pair.lease == lease]

    def put(
        self, key: bytes, value: bytes, lease: int, revision: int
    ) -> KeyValue | None:
        """Write a key as part of a revision; ``commit`` ends it.

        :returns: the key as it was, None for a new one
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
        """Remove the keys of a range as part of a revision."""
        removed = self.find(start, end)
        for pair in removed:
            del self._pairs[pair.key]
            tombstone = KeyValue(pair.key, mod_revision=revision)
            self._history.append(Event(revision, tombstone, pair))
        return removed

    def commit(self, revision: int) -> None:
        """Make a revision the current one, if anything changed in it."""
        if self._history and self._history[-1].revision == revision:
            self.revision = revision
            self.changed.notify_all()

    def get_oldest_revision(self) -> int:
        """Give the first revision from which changes are still known."""
        if len(self._history) < MAX_HISTORY:
            return 1
        return self._history[0].revision + 1

    def list_events(self, revision: int) -> list[Event]:
        """Give the changes from a revision on, in order."""
        events: list[Event] = []
        for event in reversed(self._history):
            if event.revision < revision:
                break
            events.append(event)
        events.reverse()
        return events
