"""Prefix cache of the engine and its events."""

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
    """Addition or removal of a block.

    :ivar sequence: consecutive number; a gap reveals a lost event
    :ivar kind: ``stored`` or ``evicted``
    :ivar session: session that stored the block
    :ivar block: hash of the salt and of the prefix up to the end of the block
    :ivar tokens: length of that prefix
    :ivar time: time of the event by the clock of the cache, in seconds
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
    """Yield the hash and the end position of each complete block."""
    digest = xxhash.xxh64(salt.encode())
    complete_tokens = len(activations) // BLOCK_TOKENS * BLOCK_TOKENS
    for start in range(0, complete_tokens, BLOCK_TOKENS):
        block = activations[start : start + BLOCK_TOKENS]
        digest.update(struct.pack(f'<{BLOCK_TOKENS}Q', *block))
        yield digest.intdigest(), start + BLOCK_TOKENS


class PrefixCache:
    """LRU cache of prompt prefixes in blocks, separate for each salt.

    A hit saves prefill time and does not affect results.

    :ivar hits: number of prompt tokens found in the cache
    :ivar misses: number of prompt tokens not found
    """

    def __init__(
        self,
        tokens: int,
        lag: float,
        loss: float,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Create an empty cache.

        :param tokens: capacity in tokens, 0 disables the cache
        :param lag: seconds before an event can be read
        :param loss: fraction of events that are lost
        :param clock: returns the time in seconds
        :param rng: decides which events are lost
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
        """Look up a prompt and store its missing blocks.

        :param activations: input activations of the prompt; they identify
            the prefix at every layer range
        :returns: number of leading tokens that were cached
        """
        if not self._capacity:
            return 0
        cached = 0
        for key, end in _hash_blocks(salt, activations):
            if key in self._blocks:
                self._blocks.move_to_end(key)
                # An earlier block that was evicted ends the cached prefix.
                if cached == end - BLOCK_TOKENS:
                    cached = end
            else:
                event = Event(0, STORED, session, salt, key, end, 0.0)
                self._store(event)
        self.hits += cached
        self.misses += len(activations) - cached
        return cached

    def count_cached(self, salt: str, activations: list[int]) -> int:
        """Count the cached leading tokens of a prompt without side effects."""
        cached = 0
        for key, end in _hash_blocks(salt, activations):
            if key not in self._blocks:
                break
            cached = end
        return cached

    def clear(self) -> None:
        """Evict all blocks, as after a load of other layers."""
        while self._blocks:
            self._evict()

    def list_blocks(self) -> tuple[int, list[Event]]:
        """Return the last sequence number and the cached blocks, LRU first."""
        return self._sequence, list(self._blocks.values())

    @property
    def last_sequence(self) -> int:
        """Sequence number of the last event, including lost ones."""
        return self._sequence

    def read_events(self, since: int) -> list[Event]:
        """Return the readable events after a sequence number."""
        before = self._clock() - self._lag
        return [
            event
            for event in list(self._events)
            if event.sequence > since and event.time <= before
        ]
