"""Limit on the bytes that are sent, as a token bucket."""

import attrs

__all__ = ['ByteAllowance']


@attrs.define
class ByteAllowance:
    """Bytes that may be sent.

    :ivar rate: bytes a second
    :ivar size: most bytes that are saved up while nothing is sent
    """

    rate: float
    size: float
    _left: float = attrs.field(init=False)
    _updated_at: float | None = attrs.field(default=None, init=False)

    def __attrs_post_init__(self) -> None:
        self._left = self.size

    def spend(self, count: int, now: float) -> bool:
        """Take bytes from the allowance if it has them.

        :param now: monotonic time in seconds
        :returns: whether they may be sent
        """
        if self._updated_at is not None:
            added = max(0.0, now - self._updated_at) * self.rate
            self._left = min(self.size, self._left + added)
        self._updated_at = now
        if count > self._left:
            return False
        self._left -= count
        return True
