"""Prefix cache of the engine and the events that it publishes."""

from collections.abc import Callable, Iterator
from collections import deque
from collections import OrderedDict
import random
import struct

import msgspec
import xxhash

__all__ = ['EVICTED', 'STORED', 'Event', 'PrefixCache']

STORED = 'stored'
EVICTED = 'evicted'

BLOCK_TOKENS = 16
MAX_EVENTS = 50_000


class Event(msgspec.Struct):
    """One change of the cache.

    :ivar sequence: counts all events, so that a lost one shows
    :ivar kind: ``stored`` or ``evicted``
    :ivar session: session that stored the block
    :ivar block: hash of the salt and the prefix that ends here
    :ivar tokens: length of that prefix
    """

    sequence: int
    kind: str
    session: str
    cache_salt: str
    block: int
    tokens: int
    time: float


def _hash_blocks(
    salt: str, activations: list[int]
) -> Iterator[tuple[int, int]]:
    """Give each whole block's name and the prefix's length to its end."""
    digest = xxhash.xxh64(salt.encode())
    complete_tokens = len(activations) // BLOCK_TOKENS * BLOCK_TOKENS
    for start in range(0, complete_tokens, BLOCK_TOKENS):
        block = activations[start : start + BLOCK_TOKENS]
        digest.update(struct.pack(f'<{BLOCK_TOKENS}Q', *block))
        yield digest.intdigest(), start + BLOCK_TOKENS


class PrefixCache:
    """Bounded LRU of prefixes, in blocks, apart for each salt.

    A hit saves prefill time and changes no result.

    :ivar hits: prompt tokens that were found
    :ivar misses: prompt tokens that weren't
    """

    def __init__(
        self,
        tokens: int,
        lag: float,
        loss: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Make an empty cache.

        :param tokens: capacity
        :param lag: seconds before an event can be read
        :param loss: share of the events that is never published
        """
        self.hits = 0
        self.misses = 0
        self._capacity = tokens // BLOCK_TOKENS
        self._lag = lag
        self._loss = loss
        self._clock = clock
        self._rng = rng
        self._blocks: OrderedDict[int, Event] = OrderedDict()
        self._events: deque[Event] = deque(maxlen=MAX_EVENTS)
        self._sequence = 0

    def _publish(self, event: Event) -> None:
        self._sequence += 1
        event.sequence = self._sequence
        event.time = self._clock()
        if self._rng.random() >= self._loss:
            self._events.append(event)

    def _store(self, stored: Event) -> None:
        self._blocks[stored.block] = stored
        self._publish(stored)
        if len(self._blocks) > self._capacity:
            self._evict()

    def _evict(self) -> None:
        _, oldest = self._blocks.popitem(last=False)
        evicted = msgspec.structs.replace(oldest, kind=EVICTED)
        self._publish(evicted)

    def match(self, session: str, salt: str, activations: list[int]) -> int:
        """Look a prompt up and store the blocks that are missing.

        :param activations: input of the prompt's positions; they tell
            prefixes apart at every layer range
        :returns: number of leading tokens that were cached
        """
        if not self._capacity:
            return 0
        cached = 0
        for key, end in _hash_blocks(salt, activations):
            if key in self._blocks:
                self._blocks.move_to_end(key)
                # An evicted block in front cuts the prefix.
                if cached == end - BLOCK_TOKENS:
                    cached = end
            else:
                event = Event(0, STORED, session, salt, key, end, 0.0)
                self._store(event)
        self.hits += cached
        self.misses += len(activations) - cached
        return cached

    def count_cached(self, salt: str, activations: list[int]) -> int:
        """Count a prompt's leading tokens that are held, changing nothing."""
        cached = 0
        for key, end in _hash_blocks(salt, activations):
            if key not in self._blocks:
                break
            cached = end
        return cached

    def clear(self) -> None:
        """Forget all blocks, as on a load of another model."""
        while self._blocks:
            self._evict()

    def list_blocks(self) -> tuple[int, list[Event]]:
        """List the blocks that are held, and the last sequence number."""
        return self._sequence, list(self._blocks.values())

    @property
    def last_sequence(self) -> int:
        """Number of the last event, published or lost."""
        return self._sequence

    def read_events(self, since: int) -> list[Event]:
        """Give the published events behind a sequence number."""
        before = self._clock() - self._lag
        return [
            event
            for event in list(self._events)
            if event.sequence > since and event.time <= before
        ]
