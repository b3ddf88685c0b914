"""Bound on the memory of all answers that are buffered together."""

import threading

import attrs

__all__ = [
    'MemoryBudget',
]

MAX_BYTES = 64 << 20


@attrs.define
class MemoryBudget:
    """Memory that buffered answers share.

    :ivar limit: maximum of reserved memory, in bytes
    :ivar reserved: memory reserved now, in bytes
    """

    limit: int = MAX_BYTES
    reserved: int = 0
    _lock: threading.Lock = attrs.field(factory=threading.Lock)

    def is_low(self) -> bool:
        """Tell whether no further answer should be started.

        Half of the memory is kept for the answers already in progress.
        """
        return self.reserved > self.limit // 2

    def reserve(self, size: int) -> bool:
        """Reserve bytes.

        :returns: False, with nothing reserved, when they exceed the limit
        """
        with self._lock:
            if self.reserved + size > self.limit:
                return False
            self.reserved += size
            return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
        with self._lock:
            self.reserved -= size
