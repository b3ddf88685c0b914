"""Garbled answers of endpoints, several in a row of which eject one.

An endpoint that sends an answer lives, so that none of its requests is held to
crash it. Single garbled answers are told from sound ones by their request.

Load pattern: an endpoint in trouble answers at once, so that it looks idle and
draws most requests to itself.
"""

import collections
from typing import Container

__all__ = ['GarbledAnswers']

# Garbled answers in a row from which an endpoint is ejected.
MAX_GARBLED = 2


class GarbledAnswers:
    """Garbled answers of endpoints since their last sound one, by name."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    def record(self, endpoint: str) -> bool:
        """Record a garbled answer.

        :returns: whether its endpoint is to be ejected
        """
        self._counts[endpoint] += 1
        return self._counts[endpoint] >= MAX_GARBLED

    def clear(self, endpoint: str) -> None:
        """Record a sound answer."""
        self._counts.pop(endpoint, None)

    def retain(self, endpoints: Container[str]) -> None:
        """Forget all endpoints but some."""
        for name in list(self._counts):
            if name not in endpoints:
                del self._counts[name]
