"""Bound on the memory of all answers that are gathered at the same time."""

import threading

import attrs

__all__ = [
    'Room',
]

MAX_BYTES = 64 << 20


@attrs.define
class Room:
    """Bytes that gathered answers hold together.

    :ivar limit: most of them, in bytes
    :ivar held: what is held now, in bytes
    """

    limit: int = MAX_BYTES
    held: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def is_scarce(self) -> bool:
        """Tell whether nothing more should be begun.

        Half is kept for the answers that are on their way.
        """
        return self.held > self.limit // 2

    def take(self, size: int) -> bool:
        """Hold more bytes; False, and none held, when they do not fit."""
        with self._lock:
            if self.held + size > self.limit:
                return False
            self.held += size
            return True

    def give_back(self, size: int) -> None:
        """Hold fewer bytes."""
        with self._lock:
            self.held -= size
