"""Bytes that are no answer and come until their receiver closes."""

import enum
import functools
import itertools

from dunlintide_standins.fleet import wire

__all__ = ['BEFORE_BODY', 'Endless', 'WITHIN_EVENT', 'pour']

# Bytes that are sent at a time.
BLOCK_BYTES = 64 << 10

_CACHED_BLOCKS = 500
_FILLER = b'x' * 1000
_HEAD = (
    b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Stamp: 1\r\n'
    b'Content-Type: text/event-stream\r\n'
)
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'


def _make_chunk(data: bytes) -> bytes:
    return b'%x\r\n%b\r\n' % (len(data), data)


@functools.lru_cache(_CACHED_BLOCKS)
def _make_events(first: int) -> bytes:
    """Return a thousand events in chunks; all connections send the same."""
    return b''.join(
        _make_chunk(b'id: %d\ndata: x\n\n' % number)
        for number in range(first, first + 1000)
    )


class Endless(enum.Enum):
    """Where in an answer the bytes stand that have no end."""

    HEADERS = 'header lines'
    HEADER = 'one header'
    REASON = 'a reason'
    INTERIM = 'interim answers'
    FOREIGN = 'answers to other requests'
    FOREIGN_BODY = 'a body to another request'
    BODY = 'a body that ends with the connection'
    CHUNKS = 'chunks'
    SMALL_CHUNKS = 'small chunks'
    EXTENSION = 'a chunk extension'
    TRAILERS = 'trailers'
    BEHIND = 'bytes behind a whole answer'
    EVENT = 'one event'
    COMMENTS = 'comments'
    REPEATED = 'one event again and again'
    EVENTS = 'events'

    def _get_pattern(self) -> tuple[bytes, bytes]:
        """Return its beginning and what is repeated.

        The beginning holds the id of the request, if it has one.
        """
        return {
            self.HEADERS: (_HEAD, b'X-Filler: ' + b'x' * 20 + b'\r\n'),
            self.HEADER: (_HEAD + b'X-Filler: ', _FILLER),
            self.REASON: (b'HTTP/1.1 200 %.0b', _FILLER),
            self.INTERIM: (b'%.0b', b'HTTP/1.1 100 Continue\r\n\r\n'),
            self.FOREIGN: (
                b'%.0b',
                b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate',
            ),
            self.FOREIGN_BODY: (
                b'HTTP/1.1 200 OK%.0b\r\nTransfer-Encoding: chunked\r\n\r\n',
                _make_chunk(_FILLER),
            ),
            self.BODY: (_HEAD + b'\r\n', _FILLER),
            self.CHUNKS: (_CHUNKED, _make_chunk(_FILLER)),
            self.SMALL_CHUNKS: (_CHUNKED, _make_chunk(b'x')),
            self.EXTENSION: (_CHUNKED + b'5;', _FILLER),
            self.TRAILERS: (
                _CHUNKED + _make_chunk(b'ok') + b'0\r\n',
                b'X-Filler: ' + b'x' * 20 + b'\r\n',
            ),
            self.BEHIND: (_HEAD + b'Content-Length: 2\r\n\r\nok', _FILLER),
            self.EVENT: (
                _CHUNKED + _make_chunk(b'data: '),
                _make_chunk(_FILLER),
            ),
            self.COMMENTS: (_CHUNKED, _make_chunk(b': still here\n\n')),
            self.REPEATED: (_CHUNKED, _make_chunk(b'id: 1\ndata: x\n\n')),
            self.EVENTS: (_CHUNKED, b''),
        }[self]

    def begin(self, name: str) -> bytes:
        """Return its first bytes.

        :param name: id of the request, empty for a report or order
        """
        return self._get_pattern()[0] % name.encode()

    def repeat(self, round_number: int) -> bytes:
        """Return its next bytes.

        :param round_number: blocks that were sent before
        """
        if self is not self.EVENTS:
            unit = self._get_pattern()[1]
            return unit * (BLOCK_BYTES // len(unit))
        return _make_events(round_number * 1000 + 1)


# Kinds of which nothing can be forwarded, in any answer and in a stream.
BEFORE_BODY = (
    Endless.HEADERS,
    Endless.HEADER,
    Endless.REASON,
    Endless.INTERIM,
    Endless.FOREIGN,
    Endless.FOREIGN_BODY,
    Endless.EXTENSION,
)
WITHIN_EVENT = (Endless.EVENT, Endless.COMMENTS)


async def pour(
    channel: wire.Channel, kind: Endless, request: wire.Request
) -> None:
    """Send bytes until the receiver closes the connection.

    :raises OSError: when it does
    """
    await channel.send(kind.begin(request.headers.get('attempt-id', '')))
    for number in itertools.count():
        await channel.send(kind.repeat(number))
