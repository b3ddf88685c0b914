"""Bound on the memory of all answers that are gathered at the same time."""

import threading

import attrs

__all__ = [
    'MemoryBudget',
]

MAX_BYTES = 64 << 20


@attrs.define
class MemoryBudget:
    """Bytes that gathered answers hold together.

    :ivar limit: most of them, in bytes
    :ivar held: what is held now, in bytes
    """

    limit: int = MAX_BYTES
    reserved: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def is_low(self) -> bool:
        """Tell whether nothing more should be begun.

        Half is kept for the answers that are on their way.
        """
        return self.reserved > self.limit // 2

    def reserve(self, size: int) -> bool:
        """Hold more bytes; False, and none held, when they do not fit."""
        with self._lock:
            if self.reserved + size > self.limit:
                return False
            self.reserved += size
            return True

    def release(self, size: int) -> None:
        """Hold fewer bytes."""
        with self._lock:
            self.reserved -= size
