"""What an agent tells entries of its view, few words at a time."""

import collections
from collections.abc import Collection
import itertools

import attrs

from dunlintide_core import prefixes

__all__ = [
    'News',
    'Teller',
]

# Prefixes that entries are told of one agent at any time.
MAX_TOLD = 256


@attrs.frozen
class News:
    """Prefixes that came and went since the last news.

    :ivar all: whether these are all, in place of what was told before
    """

    held: tuple[int, ...] = ()
    lost: tuple[int, ...] = ()
    all: bool = False


class Teller:
    """Keeps what entries were told in step with a view."""

    def __init__(self, limit: int, most: int = MAX_TOLD) -> None:
        """Begin with nothing told.

        :param limit: prefixes in one piece of news
        :param most: prefixes that entries know at any time
        """
        self._limit = limit
        self._most = most
        self._told: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._told)

    def tell(self, view: prefixes.View) -> News:
        """Give the next news; for all entries alike."""
        worth = list(itertools.islice(view.list_worth(), self._most))
        lost = self._list_lost(view, frozenset(worth))
        for block in lost:
            del self._told[block]
        room = min(self._limit - len(lost), self._most - len(self._told))
        held = [block for block in worth if block not in self._told][:room]
        self._told.update(dict.fromkeys(held))
        return News(tuple(held), tuple(lost))

    def _list_lost(
        self, view: prefixes.View, worth: Collection[int]
    ) -> list[int]:
        lost = [block for block in self._told if block not in view]
        if len(self._told) + self._limit > self._most:
            lost += [
                block
                for block in self._told
                if block in view and block not in worth
            ]
        return lost[: self._limit]

    def tell_all(self) -> News:
        """Give all that was told, for an entry that is new."""
        return News(tuple(self._told), all=True)
