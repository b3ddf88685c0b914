"""Requests of callers and the answers to them, without I/O."""

from typing import Protocol, Sequence

import attrs

from dunlintide_core.pipeline import bytebudget

__all__ = [
    'REASONS',
    'RequestLimits',
    'Head',
    'Reply',
    'Request',
]

Headers = Sequence[tuple[str, str]]

REASONS = {
    200: 'OK',
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    408: 'Request Timeout',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    431: 'Request Header Fields Too Large',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


@attrs.frozen
class RequestLimits:
    """Limits on the requests of a caller.

    :ivar header_bytes: maximum size of a request head
    :ivar body_bytes: maximum size of a request body
    :ivar header_seconds: maximum time to receive a request, head and body
    :ivar idle_seconds: maximum idle time between requests
    """

    header_bytes: int
    body_bytes: int
    header_seconds: float
    idle_seconds: float


@attrs.define
class Request:
    """A complete request.

    :ivar target: path and query as sent
    :ivar headers: names in lower case, values as sent
    :ivar body: the body, or the first part of a large one
    :ivar received_at: loop time at which its first byte was read, in seconds
    :ivar rest: further parts of a large body, so that it is never copied
    :ivar account: bytes that the request occupies, with those of its answer
    """

    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    received_at: float
    keep_alive: bool = True
    version: str = '1.1'
    rest: list[bytes] = attrs.field(factory=list)
    account: bytebudget.Account = attrs.field(
        factory=bytebudget.Account, eq=False
    )

    @property
    def parts(self) -> list[bytes]:
        """All parts of the body."""
        return [self.body, *self.rest]

    @property
    def body_size(self) -> int:
        """Size of the whole body in bytes."""
        return sum(map(len, self.parts))

    def get(self, name: str) -> str | None:
        """Return the value of a header, None if it is missing.

        :param name: header name in lower case
        """
        for key, value in self.headers:
            if key == name:
                return value
        return None


@attrs.frozen
class Head:
    """Status line and headers of an answer.

    :ivar length: size of the body in bytes, None for a chunked body
    :ivar reason: reason phrase, empty for the standard one
    """

    status: int
    headers: Headers = ()
    length: int | None = 0
    reason: str = ''


class Channel(Protocol):
    """Connection that an answer is written to.

    :ivar closing: whether it closes after the answer in progress
    :ivar is_paused: whether its output buffer is full
    """

    closing: bool
    is_paused: bool

    def write(self, data: bytes) -> None:
        """Send raw bytes."""

    def abort(self) -> None:
        """Abort the connection."""

    async def drain(self) -> None:
        """Wait until the connection accepts more data."""


class Reply:
    """Writes the answer to one request.

    :ivar started: whether the head was sent
    :ivar ended: whether the answer was completed or aborted
    :ivar is_disconnected: whether the caller has closed its side
    """

    def __init__(self, connection: Channel, request: Request) -> None:
        self._connection = connection
        self._request = request
        self._chunked = False
        self.started = False
        self.ended = False
        self.is_disconnected = False

    @property
    def is_open(self) -> bool:
        """Whether more of the answer can be sent."""
        return not self.is_disconnected and not self.ended

    def start(self, head: Head) -> None:
        """Send the head of the answer."""
        if self.started or not self.is_open:
            return
        self.started = True
        self._chunked = head.length is None
        connection = self._connection
        keep = self._request.keep_alive and not connection.closing
        if self._chunked and self._request.version == '1.0':
            keep = False
            self._chunked = False
        reason = head.reason or REASONS.get(head.status, 'Status')
        lines = [f'HTTP/1.1 {head.status} {reason}']
        lines += [f'{name}: {value}' for name, value in head.headers]
        if self._chunked:
            lines.append('Transfer-Encoding: chunked')
        elif head.length is not None:
            lines.append(f'Content-Length: {head.length}')
        if not keep:
            lines.append('Connection: close')
            connection.closing = True
        text = '\r\n'.join(lines) + '\r\n\r\n'
        connection.write(text.encode('latin-1'))

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not data or not self.is_open:
            return
        if self._chunked:
            data = b'%x\r\n%b\r\n' % (len(data), data)
        self._connection.write(data)

    def finish(self, data: bytes = b'') -> None:
        """Send the last part of the body and complete the answer."""
        if not self.is_open:
            return
        self.write(data)
        if self._chunked:
            self._connection.write(b'0\r\n\r\n')
        self.ended = True

    def send(self, head: Head, body: bytes = b'') -> None:
        """Send a complete answer."""
        self.start(attrs.evolve(head, length=len(body)))
        self.finish(body)

    def abort(self) -> None:
        """Abort the connection, so that the answer arrives truncated."""
        self.ended = True
        self._connection.abort()

    @property
    def is_paused(self) -> bool:
        """Whether the caller has to read before more should be sent."""
        return self.is_open and self._connection.is_paused

    async def drain(self) -> None:
        """Wait until the output buffer has space for more data."""
        await self._connection.drain()
