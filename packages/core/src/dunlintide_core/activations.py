"""Bounded buffer of the activations that a stage has sent downstream.

When a later stage dies, its KV cache is lost, and its replacement needs
all activations sent so far. When the buffer is full, the oldest sessions
are evicted completely, because a session can only be replayed from its
first position.
"""

import collections

import attrs

__all__ = [
    'Span',
    'Store',
]


@attrs.frozen
class Span:
    """Activations of consecutive positions.

    :ivar position: first position
    :ivar count: number of positions
    :ivar data: the activations, the same number of bytes per position
    """

    position: int
    count: int
    data: bytes


@attrs.define
class _Buffer:
    """Activations of one session.

    :ivar width: bytes per position
    :ivar end: position after the last one that is buffered
    """

    width: int
    end: int = 0
    data: bytearray = attrs.field(factory=bytearray)


class Store:
    """Activations of many sessions, each from position 0.

    :ivar used: size of the buffered activations in bytes
    :ivar evicted: number of sessions evicted because the buffer was full
    """

    def __init__(self, limit: int) -> None:
        """Create an empty store.

        :param limit: capacity in bytes, 0 to buffer nothing
        """
        self.used = 0
        self.evicted = 0
        self._limit = limit
        self._buffers: collections.OrderedDict[str, _Buffer] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._buffers)

    def add(self, session: str, span: Span) -> None:
        """Append a span to the buffer of a session.

        A span that does not continue the buffer drops the session. One
        that starts after position 0 without a buffer is ignored: its
        session has been evicted.
        """
        buffer = self._buffers.get(session)
        if buffer is None:
            if span.position or not self._limit:
                return
            buffer = _Buffer(len(span.data) // span.count)
            self._buffers[session] = buffer
        if span.position != buffer.end:
            self.drop(session)
            return
        buffer.data += span.data
        buffer.end += span.count
        self.used += len(span.data)
        while self.used > self._limit:
            self.drop(next(iter(self._buffers)))
            self.evicted += 1

    def read(self, session: str, start: int, end: int) -> Span | None:
        """Return the positions from ``start`` up to ``end``, exclusive.

        :returns: None when not all of them are buffered
        """
        buffer = self._buffers.get(session)
        if buffer is None or buffer.end < end:
            return None
        data = buffer.data[start * buffer.width : end * buffer.width]
        return Span(start, end - start, bytes(data))

    def truncate(self, session: str, end: int) -> None:
        """Discard the positions from ``end`` on."""
        buffer = self._buffers.get(session)
        if buffer is None or buffer.end <= end:
            return
        self.used -= (buffer.end - end) * buffer.width
        del buffer.data[end * buffer.width :]
        buffer.end = end

    def drop(self, session: str) -> None:
        """Discard the activations of a session."""
        buffer = self._buffers.pop(session, None)
        if buffer is not None:
            self.used -= len(buffer.data)
