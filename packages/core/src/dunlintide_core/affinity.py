"""Approximate map of the agents that cache prompt prefixes.

The map is bounded. It learns from the routing decisions of this process
and from cache events, which arrive late and with gaps. A wrong item costs
one prefill and has no other effect. Hashes include the salt of the team,
so that no team can find out, for instance by timing, what another team
has sent.
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
# Bounds the work for one prompt; hashing more of it gains little.
MAX_BLOCKS = 64
DEFAULT_LIMIT = 50_000
# Agents recorded for one block: enough for a few chains of a few stages.
_MAX_HOLDERS = 16
# Engines evict blocks within minutes under load, and the eviction event may
# be lost.
_MAX_AGE_SECONDS = 600.0


def hash_blocks(salt: str, prompt: str) -> tuple[int, ...]:
    """Hash each complete block of a prompt together with all before it.

    An incomplete last block is ignored.

    :param salt: cache salt of the team, not empty
    :raises ValueError: when the salt is empty, since teams would then
        share cached blocks
    """
    if not salt:
        raise ValueError('a cache salt is required')
    # The length marks where the salt ends and the prompt begins.
    state = xxhash.xxh3_64(f'{len(salt)}/{salt}'.encode())
    count = min(len(prompt) // BLOCK_CHARACTERS, MAX_BLOCKS)
    hashes = []
    for index in range(count):
        start = index * BLOCK_CHARACTERS
        block = prompt[start : start + BLOCK_CHARACTERS]
        # JSON from a caller may contain an unpaired surrogate.
        state.update(block.encode('utf-8', 'surrogatepass'))
        hashes.append(state.intdigest())
    return tuple(hashes)


class AffinityMap:
    """Prefix blocks and the agents whose engines probably cache them."""

    def __init__(self, limit: int = DEFAULT_LIMIT) -> None:
        """Create an empty map.

        :param limit: maximum number of blocks
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
        """Record that agents ran these blocks or reported them as cached.

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
        """Record that the engine of an agent evicted these blocks."""
        for block in blocks:
            holders = self._blocks.get(block)
            if holders is None:
                continue
            holders.pop(agent, None)
            if not holders:
                del self._blocks[block]

    def invalidate(self, agent: str, now: float) -> None:
        """Ignore what was recorded for an agent before ``now``.

        Needed after a gap in its cache events and after a restart.

        :param now: time in seconds
        """
        self._invalidated_at[agent] = now

    def forget(self, agent: str) -> None:
        """Drop the invalidation time of an agent that has been removed."""
        self._invalidated_at.pop(agent, None)

    def find(self, blocks: Sequence[int], now: float) -> dict[str, float]:
        """Estimate how much of a prompt each agent has cached.

        :param blocks: hashes of the blocks of the prompt, first to last
        :param now: time in seconds
        :returns: by agent, the fraction of the blocks from the start of
            the prompt, above 0 and up to 1; agents without a cached block
            are absent
        """
        found: dict[str, float] = {}
        # The hash of a block covers all blocks before it, so the last match
        # determines the fraction.
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
