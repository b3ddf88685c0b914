"""Which agents likely hold a team's prompt prefix in their caches.

The map is approximate and bounded: it learns from own routing and from
cache events, which come late and with gaps, so a wrong entry costs one
prefill and nothing else. Keys contain the team's salt, so that no
team can find, by timing or otherwise, what another one asked.
"""

import collections
from collections.abc import Iterable, Sequence
import math

import xxhash

__all__ = [
    'AffinityMap',
    'hash_blocks',
]

BLOCK_CHARACTERS = 256
# A longer prefix gains little more; it bounds the work for one prompt.
MAX_BLOCKS = 64
DEFAULT_LIMIT = 50_000
# Agents remembered for one block: a few chains of a few stages.
_MAX_HOLDERS = 16
# Engines evict within minutes under load, and their events may be lost.
_MAX_AGE_SECONDS = 600.0


def hash_blocks(salt: str, prompt: str) -> tuple[int, ...]:
    """Hash each whole block of a prompt together with all before it.

    :param salt: cache salt of the team; it must not be empty
    :raises ValueError: without a salt, as teams would share entries
    """
    if not salt:
        raise ValueError('a cache salt is required')
    # The length sets salt and prompt apart.
    state = xxhash.xxh3_64(f'{len(salt)}/{salt}'.encode())
    count = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    hashes = []
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        # A caller's JSON may hold half of a surrogate pair.
        state.update(block.encode('utf-8', 'surrogatepass'))
        hashes.append(state.intdigest())
    return tuple(hashes)


class AffinityMap:
    """Blocks and the agents whose engines likely hold them."""

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Start empty.

        :param limit: most blocks that are remembered
        """
        self._limit = limit
        self._blocks: collections.OrderedDict[int, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._invalidated_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blocks)

    def record(
        self, blocks: Iterable[int], agents: Sequence[str], now: float
    ) -> None:
        """Note that agents ran these blocks, or say that they hold them.

        :param now: time in seconds
        """
        for block in blocks:
            holders = self._blocks.setdefault(block, {})
            for agent in agents:
                holders.pop(agent, None)
                holders[agent] = now
            while len(holders) > _MAX_HOLDERS:
                del holders[next(iter(holders))]
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._limit:
            self._blocks.popitem(last=False)

    def remove(self, agent: str, blocks: Iterable[int]) -> None:
        """Note that an agent's engine evicted these blocks."""
        for block in blocks:
            holders = self._blocks.get(block)
            if holders is None:
                continue
            holders.pop(agent, None)
            if not holders:
                del self._blocks[block]

    def invalidate(self, agent: str, now: float) -> None:
        """Forget what an agent held: a gap in its events, or a restart."""
        self._invalidated_at[agent] = now

    def forget(self, agent: str) -> None:
        """Drop the note of a distrusted agent that is gone for good."""
        self._invalidated_at.pop(agent, None)

    def find(self, blocks: Sequence[int], now: float) -> dict[str, float]:
        """Tell which part of a prompt each agent holds from its start.

        :param now: time in seconds
        :returns: shares above 0 up to 1 by agent; empty when nothing is
            known
        """
        found: dict[str, float] = {}
        # A block's hash covers all before it, so the deepest one counts.
        for index in range(len(blocks) - 1, -1, -1):
            for agent, recorded_at in self._blocks.get(
                blocks[index], {}
            ).items():
                if agent not in found and self._is_valid(
                    agent, recorded_at, now
                ):
                    found[agent] = (index + 1) / len(blocks)
        return found

    def _is_valid(self, agent: str, recorded_at: float, now: float) -> bool:
        if now - recorded_at > _MAX_AGE_SECONDS:
            return False
        return recorded_at >= self._invalidated_at.get(agent, -math.inf)
