"""Activations that a stage has sent on, kept in bounded memory.

A later stage that dies takes its KV cache along; its replacement needs
all that was sent to it. When memory is full, the sessions that began
first are given up whole, as a part of one is of no use.
"""

import collections

import attrs

__all__ = [
    'Span',
    'Store',
]


@attrs.frozen
class Span:
    """Activations of some positions.

    :ivar position: the first one
    :ivar count: number of positions
    """

    position: int
    count: int
    data: bytes


@attrs.define
class _Buffer:
    width: int
    end: int = 0
    data: bytearray = attrs.field(factory=bytearray)


class Store:
    """Activations of many sessions, each from position 0 on.

    :ivar used: bytes that are kept
    :ivar evicted: sessions that were given up for room
    """

    def __init__(self, limit: int) -> None:
        """Begin empty.

        :param limit: bytes of activations, 0 to keep none
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
        """Keep a span behind what is kept of a session.

        One that does not begin there is of a session that was given up.
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
        """Return the positions from ``start`` up to ``end``.

        :returns: None when not all of them are kept
        """
        buffer = self._buffers.get(session)
        if buffer is None or buffer.end < end:
            return None
        data = buffer.data[start * buffer.width : end * buffer.width]
        return Span(start, end - start, bytes(data))

    def truncate(self, session: str, end: int) -> None:
        """Forget the positions from ``end`` on."""
        buffer = self._buffers.get(session)
        if buffer is None or buffer.end <= end:
            return
        self.used -= (buffer.end - end) * buffer.width
        del buffer.data[end * buffer.width :]
        buffer.end = end

    def drop(self, session: str) -> None:
        """Forget a session."""
        buffer = self._buffers.pop(session, None)
        if buffer is not None:
            self.used -= len(buffer.data)
