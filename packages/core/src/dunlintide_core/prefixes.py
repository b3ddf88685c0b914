"""View of the prompt prefixes in the cache of an engine.

Engines identify cached blocks by hashes that only they can compute, but
their events contain the session that stored a block. An agent knows the
prompt blocks of that session, hashed with the salt of its team
(``affinity.hash_blocks``), and maps the blocks of the engine to them.

Events arrive late and with gaps. A gap in the sequence numbers makes the
view incomplete until the contents of the cache are read again. A wrong
item costs one prefill and has no other effect.
"""

import bisect
import collections
from collections.abc import (
    Collection,
    Iterable,
    Iterator,
    Mapping,
    Sequence,
)

import attrs

from dunlintide_core import affinity

__all__ = [
    'Event',
    'Prefixes',
    'View',
]

DEFAULT_LIMIT = 20_000
# Sessions whose events may still arrive.
_MAX_SESSIONS = 2_000
# Prefixes that are candidates for publication, of each kind.
_MAX_RANKED = 2_000


@attrs.frozen
class Event:
    """A change of the cache of an engine, or a block that it holds.

    :ivar sequence: consecutive number of the event, to detect losses
    :ivar stored: False if the block was evicted
    :ivar session: session that stored the block
    :ivar block: identifier that the engine gave the block
    :ivar tokens: length of the prefix that ends with the block
    """

    sequence: int
    stored: bool
    session: str
    block: int
    tokens: int


@attrs.frozen
class Prefixes:
    """Hashed blocks of a prompt.

    :ivar blocks: hashes, each of a block and all blocks before it
    :ivar characters: length of the complete prompt in characters
    """

    blocks: tuple[int, ...]
    characters: int

    def estimate_ends(self, tokens: int) -> tuple[int, ...]:
        """Estimate the number of tokens up to the end of each block.

        :param tokens: length of the complete prompt in tokens
        """
        if self.characters <= 0:
            return ()
        size = tokens * affinity.BLOCK_CHARACTERS / self.characters
        return tuple(
            int(size * (index + 1)) for index in range(len(self.blocks))
        )


@attrs.frozen
class _Session:
    """Prompt blocks of a session and the token counts at their ends."""

    blocks: tuple[int, ...]
    ends: tuple[int, ...]

    def find(self, tokens: int) -> int:
        """Return the index of the block that contains a position."""
        return bisect.bisect_left(self.ends, tokens)

    def count(self, index: int, block_tokens: int) -> int:
        """Count the blocks of the engine that end in a prompt block.

        :param block_tokens: number of tokens in a block of the engine
        """
        previous = self.ends[index - 1] if index else 0
        return self.ends[index] // block_tokens - previous // block_tokens


def _trim(blocks: collections.OrderedDict, limit: int) -> None:
    while len(blocks) > limit:
        blocks.popitem(last=False)


def _touch(blocks: collections.OrderedDict, block: int) -> None:
    blocks[block] = None
    blocks.move_to_end(block)
    _trim(blocks, _MAX_RANKED)


class View:
    """Prefixes that an engine has cached, according to its events.

    :ivar sequence: sequence number of the last event
    :ivar is_incomplete: whether events have been missed since the last
        complete read
    :ivar gaps: number of gaps in the sequence of events
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Create an empty view.

        :param limit: maximum number of prompt blocks, and of engine
            blocks
        """
        self.sequence = 0
        self.is_incomplete = False
        self.gaps = 0
        self._limit = limit
        # Tokens in a block of the engine: the shortest prefix reported so far.
        self._block_tokens = 0
        self._sessions: collections.OrderedDict[str, _Session] = (
            collections.OrderedDict()
        )
        # Cached prompt blocks, each with the preceding block.
        self._held: collections.OrderedDict[int, int | None] = (
            collections.OrderedDict()
        )
        self._children: dict[int, set[int]] = {}
        # Prompt block that contains each block of the engine.
        self._prompt_blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        # Ends of shared prefixes, and ends of prompts, the oldest first.
        self._reused: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._prompt_ends: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._held)

    def __contains__(self, block: int) -> bool:
        return block in self._held

    def add_session(
        self, session: str, prefixes: Prefixes, tokens: int
    ) -> None:
        """Record the prompt of a session, before its events arrive.

        :param tokens: length of the prompt in tokens
        """
        blocks = prefixes.blocks
        ends = prefixes.estimate_ends(tokens)
        if not ends:
            return
        self._sessions[session] = _Session(blocks, ends)
        _trim(self._sessions, _MAX_SESSIONS)
        depth = self.count_cached(blocks)
        if depth:
            # Prompts share this prefix, so it ranks first.
            _touch(self._reused, blocks[depth - 1])
        if depth == len(blocks):
            _touch(self._prompt_ends, blocks[-1])

    def count_cached(self, blocks: Sequence[int]) -> int:
        """Count the leading blocks of a prompt that are cached."""
        for index, block in enumerate(blocks):
            if block not in self._held:
                return index
        return len(blocks)

    def apply_events(self, events: Iterable[Event]) -> None:
        """Apply events, in the order of their sequence numbers."""
        for event in events:
            if event.sequence <= self.sequence:
                continue
            if event.sequence != self.sequence + 1:
                self.gaps += 1
                self.is_incomplete = True
            self.sequence = event.sequence
            if event.stored:
                self._store(event)
            else:
                self._evict(event)

    def clear(self) -> None:
        """Remove all blocks, but keep the sequence number."""
        self._held.clear()
        self._children.clear()
        self._prompt_blocks.clear()

    def reset(self) -> None:
        """Reset the view after a restart; the engine counts from 1 again."""
        self.clear()
        self.sequence = 0
        self.is_incomplete = False

    def replace(self, sequence: int, blocks: Sequence[Event]) -> None:
        """Replace the view by the complete contents of the cache.

        :param sequence: sequence number of the last event in them
        :param blocks: all blocks that the engine holds
        """
        self.sequence = sequence
        self.is_incomplete = False
        counts: collections.Counter[int] = collections.Counter()
        found: dict[int, tuple[int, _Session]] = {}
        for event in blocks:
            location = self._locate(event)
            if location is not None:
                index, session = location
                found[session.blocks[index]] = location
            if event.block in self._prompt_blocks:
                counts[self._prompt_blocks[event.block]] += 1
        self._drop_missing({event.block for event in blocks}, counts)
        for block in sorted(found, key=lambda one: found[one][0]):
            index, session = found[block]
            is_complete = counts[block] >= session.count(
                index, self._block_tokens
            )
            if is_complete and self._extends_held(session, index):
                self._add_held(session.blocks[: index + 1])

    def _drop_missing(
        self, names: Collection[int], counts: Mapping[int, int]
    ) -> None:
        """Drop prompt blocks that are no longer cached completely."""
        removed = [name for name in self._prompt_blocks if name not in names]
        for name in removed:
            self._drop(self._prompt_blocks.pop(name))
        for block in [one for one in self._held if not counts.get(one)]:
            self._drop(block)

    def _extends_held(self, session: _Session, index: int) -> bool:
        return not index or session.blocks[index - 1] in self._held

    def _locate(self, event: Event) -> tuple[int, _Session] | None:
        """Find the prompt block that contains a block of the engine.

        :returns: index of the prompt block and its session, None if the
            session is unknown or the block is outside its prompt blocks
        """
        session = self._sessions.get(event.session)
        if session is None:
            return None
        self._block_tokens = min(
            self._block_tokens or event.tokens, event.tokens
        )
        index = session.find(event.tokens)
        if index == len(session.blocks):
            return None
        self._prompt_blocks[event.block] = session.blocks[index]
        _trim(self._prompt_blocks, self._limit)
        return index, session

    def _store(self, event: Event) -> None:
        location = self._locate(event)
        if location is None:
            return
        index, session = location
        # When a block is stored, all blocks before it are cached, even if
        # their events were lost.
        count = index + (
            event.tokens + self._block_tokens > session.ends[index]
        )
        if count and session.blocks[count - 1] not in self._held:
            self._add_held(session.blocks[:count])

    def _add_held(self, blocks: Sequence[int]) -> None:
        previous = None
        for block in blocks:
            if block not in self._held:
                self._held[block] = previous
                if previous is not None:
                    self._children.setdefault(previous, set()).add(block)
            self._held.move_to_end(block)
            previous = block
        if previous is not None:
            _touch(self._prompt_ends, previous)
            if len(blocks) > 1:
                self._prompt_ends.pop(blocks[-2], None)
        while len(self._held) > self._limit:
            self._drop(next(iter(self._held)))

    def _evict(self, event: Event) -> None:
        block = self._prompt_blocks.pop(event.block, None)
        if block is not None:
            self._drop(block)

    def _drop(self, block: int) -> None:
        """Remove a block and the blocks whose prefix contains it."""
        pending = [block]
        while pending:
            one = pending.pop()
            if one not in self._held:
                continue
            previous = self._held.pop(one)
            if previous is not None and previous in self._children:
                self._children[previous].discard(one)
                if not self._children[previous]:
                    del self._children[previous]
            pending += self._children.pop(one, ())

    def rank_blocks(self) -> Iterator[int]:
        """Yield the cached blocks to publish, the most useful first.

        First come the ends of prefixes that several prompts share, then
        the ends of prompts, the most recent first in both groups.
        """
        for blocks in (self._reused, self._prompt_ends):
            for block in reversed(blocks):
                if block in self._held:
                    yield block
