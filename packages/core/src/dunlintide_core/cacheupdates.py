"""What an agent tells entries of its view, few words at a time."""

import collections
from collections.abc import Collection
import itertools

import attrs

from dunlintide_core import prefixes

__all__ = [
    'Update',
    'Publisher',
]

# Prefixes that entries are told of one agent at any time.
MAX_PUBLISHED = 256


@attrs.frozen
class Update:
    """Prefixes that came and went since the last news.

    :ivar all: whether these are all, in place of what was told before
    """

    held: tuple[int, ...] = ()
    lost: tuple[int, ...] = ()
    all: bool = False


class Publisher:
    """Keeps what entries were told in step with a view."""

    def __init__(self, limit: int, max_published: int = MAX_PUBLISHED) -> None:
        """Begin with nothing told.

        :param limit: prefixes in one piece of news
        :param most: prefixes that entries know at any time
        """
        self._limit = limit
        self._max_published = max_published
        self._published: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._published)

    def publish(self, view: prefixes.View) -> Update:
        """Give the next news; for all entries alike."""
        ranked = list(
            itertools.islice(view.rank_blocks(), self._max_published)
        )
        lost = self._list_lost(view, frozenset(ranked))
        for block in lost:
            del self._published[block]
        room = min(
            self._limit - len(lost), self._max_published - len(self._published)
        )
        held = [block for block in ranked if block not in self._published][
            :room
        ]
        self._published.update(dict.fromkeys(held))
        return Update(tuple(held), tuple(lost))

    def _list_lost(
        self, view: prefixes.View, ranked: Collection[int]
    ) -> list[int]:
        lost = [block for block in self._published if block not in view]
        if len(self._published) + self._limit > self._max_published:
            lost += [
                block
                for block in self._published
                if block in view and block not in ranked
            ]
        return lost[: self._limit]

    def build_snapshot(self) -> Update:
        """Give all that was told, for an entry that is new."""
        return Update(tuple(self._published), all=True)
