"""Incremental updates about the cached prefixes of an agent.

An agent attaches them to the load reports that it sends to all entries.
"""

import collections
from collections.abc import Collection
import itertools

import attrs

from dunlintide_core import prefixes

__all__ = [
    'Publisher',
    'Update',
]

# Prefixes that an agent has published at any time.
MAX_PUBLISHED = 256


@attrs.frozen
class Update:
    """Change of the published prefixes since the previous update.

    :ivar held: prefixes that are cached now
    :ivar lost: prefixes that are no longer published
    :ivar all: whether ``held`` is the complete list, which replaces all
        earlier updates
    """

    held: tuple[int, ...] = ()
    lost: tuple[int, ...] = ()
    all: bool = False


class Publisher:
    """Builds the updates that keep entries in step with a cache view."""

    def __init__(self, limit: int, max_published: int = MAX_PUBLISHED) -> None:
        """Start with no published prefixes.

        :param limit: maximum number of prefixes in one update
        :param max_published: maximum number of published prefixes
        """
        self._limit = limit
        self._max_published = max_published
        self._published: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._published)

    def publish(self, view: prefixes.View) -> Update:
        """Build the next update, which must be sent to all entries.

        :param view: the current contents of the cache
        """
        ranked = list(
            itertools.islice(view.rank_blocks(), self._max_published)
        )
        lost = self._list_lost(view, frozenset(ranked))
        for block in lost:
            del self._published[block]
        room = min(
            self._limit - len(lost), self._max_published - len(self._published)
        )
        held = [one for one in ranked if one not in self._published][:room]
        self._published.update(dict.fromkeys(held))
        return Update(tuple(held), tuple(lost))

    def _list_lost(
        self, view: prefixes.View, ranked: Collection[int]
    ) -> list[int]:
        lost = [block for block in self._published if block not in view]
        # Make room for higher-ranked prefixes only when space is short.
        if len(self._published) + self._limit > self._max_published:
            lost += [
                block
                for block in self._published
                if block in view and block not in ranked
            ]
        return lost[: self._limit]

    def build_snapshot(self) -> Update:
        """Build an update with all published prefixes, for a new entry."""
        return Update(tuple(self._published), all=True)
