"""What an agent knows of the prefixes in its engine's cache.

Engines name cached blocks by hashes of their own, which nobody else can
compute; but their events name the session that stored a block. An agent
knows the prompt blocks of that session, hashed under its team's salt
(``affinity.hash_blocks``), and so translates the one into the other.

Events come late and with gaps. A lost one shows in the sequence numbers
and makes the view unsure until it is read anew; a wrong entry costs one
prefill and nothing else.
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
# Sessions whose events may still come, and prefixes worth telling.
_MAX_SESSIONS = 2_000
_MAX_RANKED = 2_000


@attrs.frozen
class Event:
    """One change of an engine's cache, or a block that it holds.

    :ivar sequence: counts all events, so that a lost one shows
    :ivar stored: False when the block was evicted
    :ivar session: session that stored the block
    :ivar block: the engine's own name of it
    :ivar tokens: length of the prefix that ends with it
    """

    sequence: int
    stored: bool
    session: str
    block: int
    tokens: int


@attrs.frozen
class Prefixes:
    """Hashes of a prompt's blocks, each with all before it.

    :ivar characters: length of the whole prompt
    """

    blocks: tuple[int, ...]
    characters: int

    def estimate_ends(self, tokens: int) -> tuple[int, ...]:
        """Estimate the number of tokens up to the end of each block.

        :param tokens: length of the whole prompt
        """
        if self.characters <= 0:
            return ()
        size = tokens * affinity.BLOCK_CHARACTERS / self.characters
        return tuple(
            int(size * (index + 1)) for index in range(len(self.blocks))
        )


@attrs.frozen
class _Session:
    blocks: tuple[int, ...]
    ends: tuple[int, ...]

    def find(self, tokens: int) -> int:
        """Give the index of the block that a position falls into."""
        return bisect.bisect_left(self.ends, tokens)

    def count(self, index: int, block_tokens: int) -> int:
        """Count the engine's blocks that end in one of the prompt's.

        :param grain: tokens in a block of the engine
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
    """Prefixes that an engine holds, as far as its events tell.

    :ivar sequence: of the last event that was seen
    :ivar unsure: whether events were missed since it was last read anew
    :ivar gaps: number of times that events were missing
    """

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Start empty.

        :param limit: most blocks that are remembered, of each kind
        """
        self.sequence = 0
        self.is_incomplete = False
        self.gaps = 0
        self._limit = limit
        # Tokens in a block of the engine: the end of the first one.
        self._block_tokens = 0
        self._sessions: collections.OrderedDict[str, _Session] = (
            collections.OrderedDict()
        )
        # Blocks that are held, each with the one before it.
        self._held: collections.OrderedDict[int, int | None] = (
            collections.OrderedDict()
        )
        self._children: dict[int, set[int]] = {}
        # The engine's blocks, each with the prompt's block it lies in.
        self._prompt_blocks: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
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
        """Note what a session asks, before its events come.

        :param tokens: length of its prompt
        """
        blocks = prefixes.blocks
        ends = prefixes.estimate_ends(tokens)
        if not ends:
            return
        self._sessions[session] = _Session(blocks, ends)
        _trim(self._sessions, _MAX_SESSIONS)
        depth = self.count_cached(blocks)
        if depth:
            # Others came back to it, so it is worth more than the rest.
            _touch(self._reused, blocks[depth - 1])
        if depth == len(blocks):
            _touch(self._prompt_ends, blocks[-1])

    def count_cached(self, blocks: Sequence[int]) -> int:
        """Count the blocks at a prompt's start that are held."""
        for index, block in enumerate(blocks):
            if block not in self._held:
                return index
        return len(blocks)

    def apply_events(self, events: Iterable[Event]) -> None:
        """Take events in the order of their sequence numbers."""
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
        """Forget what is held; the engine counts on."""
        self._held.clear()
        self._children.clear()
        self._prompt_blocks.clear()

    def reset(self) -> None:
        """Forget all: the engine was started anew and counts from 1."""
        self.clear()
        self.sequence = 0
        self.is_incomplete = False

    def replace(self, sequence: int, blocks: Sequence[Event]) -> None:
        """Take what the engine says that it holds in place of the view.

        :param sequence: of the last event that is contained in it
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
        """Drop blocks of which a part, or all, is not held any more."""
        removed = [name for name in self._prompt_blocks if name not in names]
        for name in removed:
            self._drop(self._prompt_blocks.pop(name))
        for block in [one for one in self._held if not counts.get(one)]:
            self._drop(block)

    def _extends_held(self, session: _Session, index: int) -> bool:
        return not index or session.blocks[index - 1] in self._held

    def _locate(self, event: Event) -> tuple[int, _Session] | None:
        """Find the prompt's block in which an engine's block lies."""
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
        # All before it was there when it was stored, events or not.
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
        """Forget a block and all that only counts behind it."""
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
        """List held blocks that entries should know, best first.

        Where prompts parted that were asked here before, and then the
        ends of prompts, the newest first.
        """
        for blocks in (self._reused, self._prompt_ends):
            for block in reversed(blocks):
                if block in self._held:
                    yield block
