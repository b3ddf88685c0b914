"""HTTP/1.1 client for endpoints and the platform's store, on an event loop.

A connection carries one request at a time and is reused only after an answer
that was complete, had explicit framing and was followed by no further bytes.
Endpoints may send further answers late, before the one that is waited for;
what does not belong to the request is skipped.

Bytes that are no answer may come without end. A connection takes few at a
time, so that others have their turn, bounds all that is not body, and stops
reading while its body is not read. Whoever reads a body bounds its size.
An error says whether the request may have been read, since that decides
whether it can be sent again.
"""

import asyncio
import collections
import enum
from typing import Callable, Sequence

import attrs
import httptools

from dunlintide_adapters import answersyntax
from dunlintide_adapters import headernumbers

__all__ = [
    'AnswerHead',
    'CallError',
    'Connection',
    'FailureKind',
    'Pool',
]

Headers = Sequence[tuple[str, str]]

# Idle time after which a connection is not reused, for endpoints that send
# no Keep-Alive header.
DEFAULT_KEEPALIVE_SECONDS = 1.0
# Fraction of the keep-alive time of an endpoint that is used: the endpoint
# counts from when it sent the answer, and the next request still has to
# arrive.
KEEPALIVE_FRACTION = 0.7
# Answers to other requests that are skipped while one is waited for.
MAX_FOREIGN_ANSWERS = 4
# Requests whose ids a connection remembers.
_MAX_REQUESTS = 8
# Body of such answers that is skipped, in bytes.
MAX_FOREIGN_BYTES = 1 << 20
# Largest head of an answer, with those of interim and foreign answers before
# it, in bytes.
MAX_HEAD_BYTES = 64 << 10
# Most header fields of an answer.
MAX_HEADER_FIELDS = 256
# Bytes of chunk headers and trailers that an answer may have for each byte of
# its body, beside those that a head may have.
MAX_FRAMING_RATIO = 2
# The same for a body that is read whole, as small chunks cost much processor
# time.
MAX_WHOLE_FRAMING_RATIO = 0.25
# Least rate at which a body without a total time may arrive, in bytes per
# second, once the longest time without a byte has passed a few times.
MIN_BODY_RATE = 4 << 10
SLOW_START_FACTOR = 4
# Unread bytes of an answer above which reading from the endpoint pauses.
_READ_HIGH_WATER_BYTES = 64 << 10
# Unsent bytes of a request above which no further part of it is written.
_WRITE_HIGH_WATER_BYTES = 16 << 10
# Most bytes that are read before other connections have their turn.
_READ_BYTES = 32 << 10
# Beginning of a status line; the parser takes other protocols as well.
_PROTOCOL = b'HTTP/'


class FailureKind(enum.StrEnum):
    """How a call failed.

    WITHHELD was not sent on purpose, TOO_LARGE was not read on purpose.
    OVERSIZED is more besides a body than any sound answer has.
    """

    CONNECT = 'connect'
    RESET = 'reset'
    CLOSED = 'closed'
    GARBLED = 'garbled'
    OVERSIZED = 'oversized'
    TIMEOUT = 'timeout'
    ABANDONED = 'abandoned'
    WITHHELD = 'withheld'
    TOO_LARGE = 'too large'


class CallError(Exception):
    """A call without a complete answer; callers turn it into an outcome.

    :ivar sent: whether the endpoint may have read the request
    :ivar size: size of a body that is too large, in bytes, as far as known
    """

    def __init__(
        self, kind: FailureKind, sent: bool, text: str = '', size: int = 0
    ) -> None:
        super().__init__(f'{kind}: {text}' if text else str(kind))
        self.kind = kind
        self.sent = sent
        self.size = size


@attrs.define
class AnswerHead:
    """Status and headers of an answer.

    :ivar headers: names in lower case
    """

    status: int
    reason: str
    headers: list[tuple[str, str]]

    def get(self, name: str) -> str | None:
        """Return the value of a header, None if it is missing."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class Connection(asyncio.BufferedProtocol):
    """One connection, with at most one call in progress.

    :ivar in_call: whether a call is in progress
    :ivar calls: calls so far, the one in progress included
    :ivar received: bytes of the answer's body that have arrived
    :ivar idle_since: loop time at which the last call ended, in seconds
    :ivar keepalive_seconds: idle time after which it is not reused
    """

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._waiter: asyncio.Future | None = None
        self._input = bytearray()
        self._body = bytearray()
        self._framing_bytes = 0
        self._foreign_bytes = 0
        self._head: AnswerHead | None = None
        self._reason: list[bytes] = []
        self._headers: list[tuple[str, str]] = []
        self._complete = False
        self._framed = False
        self._failure: FailureKind | None = None
        self._failure_text = ''
        self._first_bytes = b''
        self._version = ''
        self._has_excess_input = False
        self._bodiless = False
        self._on_head: Callable[[AnswerHead], None] | None = None
        self._is_own: Callable[[AnswerHead], bool] | None = None
        self._foreign_answers = 0
        self._is_skipping = False
        # Parts of the request that are not written yet.
        self._unsent: collections.deque[bytes] = collections.deque()
        self._is_write_paused = False
        self._requests: collections.deque[str] = collections.deque(
            maxlen=_MAX_REQUESTS
        )
        self.in_call = False
        self.calls = 0
        self.received = 0
        self.idle_since = 0.0
        self.keepalive_seconds = DEFAULT_KEEPALIVE_SECONDS

    # Callbacks of the asyncio transport.

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)

    def pause_writing(self) -> None:
        self._is_write_paused = True

    def resume_writing(self) -> None:
        self._is_write_paused = False
        while self._unsent and not self._is_write_paused:
            self._transport.write(self._unsent.popleft())

    def connection_lost(self, error: Exception | None) -> None:
        self._unsent.clear()
        if not self._complete and self._failure is None:
            self._failure = (
                FailureKind.CLOSED if error is None else FailureKind.RESET
            )
        self._wake()

    def eof_received(self) -> bool:
        # An answer without a length ends when its connection is closed.
        if self.in_call and self._head is not None and not self._framed:
            self._complete = True
        elif not self._complete:
            self._failure = FailureKind.CLOSED
        self._has_excess_input = True
        self._wake()
        return False

    def get_buffer(self, size_hint: int) -> bytearray:
        self._input = bytearray(_READ_BYTES)
        return self._input

    def buffer_updated(self, size: int) -> None:
        data = memoryview(self._input)[:size]
        self._input = bytearray()
        if not self.in_call or self._complete:
            self._has_excess_input = True
            self.close()
            return
        body_bytes = self.received + self._foreign_bytes
        try:
            self._check_protocol(data)
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as bad:
            self._fail(FailureKind.GARBLED, str(bad))
            self._has_excess_input = True
        body_bytes = self.received + self._foreign_bytes - body_bytes
        self._framing_bytes += size - body_bytes
        if not self._complete and self._failure is None:
            self._check_size()
        if self._failure is not None or self._has_excess_input:
            # What follows is of no use, and may have no end.
            self.close()
        self._wake()

    def _fail(self, kind: FailureKind, text: str) -> None:
        """Fail the call in progress, unless it has ended already."""
        if not self._complete and self._failure is None:
            self._failure, self._failure_text = kind, text

    def _check_protocol(self, data: memoryview) -> None:
        """Check how the first answer begins.

        :raises HttpParserError: if it is of another protocol
        """
        if len(self._first_bytes) >= len(_PROTOCOL):
            return
        # The parser skips blank lines before an answer.
        first = (self._first_bytes + data).lstrip(b'\r\n')
        self._first_bytes = first[: len(_PROTOCOL)]
        if not _PROTOCOL.startswith(self._first_bytes):
            self._fail(FailureKind.GARBLED, 'not an answer of HTTP')
            raise httptools.HttpParserError('not an answer of HTTP')

    def _check_head(self, status: int, reason: bytes) -> None:
        """Check what the parser accepts though it is no answer of HTTP.

        :raises ValueError: if the answer is malformed
        """
        version = self._parser.get_http_version()
        fault = answersyntax.find_status_fault(
            version, status, reason
        ) or answersyntax.find_framing_fault(self._headers)
        if version != (self._version or version):
            # The beginning of the first answer alone has been checked.
            fault = 'another version than before'
        self._version = version
        if fault is not None:
            self._fail(FailureKind.GARBLED, fault)
            raise ValueError(fault)

    def _check_size(self) -> None:
        """Fail the call if no sound answer has so much besides its body."""
        limit = MAX_HEAD_BYTES
        if self._head is not None:
            limit += MAX_HEAD_BYTES + MAX_FRAMING_RATIO * self.received
        if self._framing_bytes > limit:
            self._failure = FailureKind.OVERSIZED
        if self._foreign_bytes > MAX_FOREIGN_BYTES:
            self._failure = FailureKind.OVERSIZED

    # Callbacks of the HTTP parser.

    def on_status(self, status: bytes) -> None:
        self._reason.append(status)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete:
            self._has_excess_input = True
            return
        if self._head is not None:
            # Trailers are not used.
            return
        if len(self._headers) >= MAX_HEADER_FIELDS:
            self._failure = FailureKind.OVERSIZED
            raise ValueError('too many header fields')
        pair = name.decode('latin-1').lower(), value.decode('latin-1')
        self._headers.append(pair)

    def on_headers_complete(self) -> None:
        if self._complete:
            self._has_excess_input = True
            return
        status = self._parser.get_status_code()
        reason = b''.join(self._reason)
        self._check_head(status, reason)
        if status < 200:
            self._headers, self._reason = [], []
            return
        head = AnswerHead(status, reason.decode('latin-1'), self._headers)
        if self._on_head is not None:
            self._on_head(head)
        if self._is_own is not None and not self._is_own(head):
            self._skip_answer()
            return
        encoding = (head.get('transfer-encoding') or '').lower()
        length = head.get('content-length')
        empty = status in (204, 304) or self._bodiless
        self._framed = encoding == 'chunked' or length is not None or empty
        self._head = head
        if self._bodiless:
            self._complete = True

    def _skip_answer(self) -> None:
        """Skip an answer that does not belong to the request."""
        self._headers, self._reason = [], []
        self._is_skipping = True
        self._foreign_answers += 1
        if self._foreign_answers > MAX_FOREIGN_ANSWERS:
            self._failure = FailureKind.OVERSIZED
        elif self._bodiless:
            # The parser takes what follows an answer to HEAD for a body.
            self._failure = FailureKind.GARBLED

    def on_body(self, data: bytes) -> None:
        if self._is_skipping:
            self._foreign_bytes += len(data)
            return
        if self._complete:
            self._has_excess_input = True
            return
        self._body += data
        self.received += len(data)
        if len(self._body) > _READ_HIGH_WATER_BYTES:
            self._transport.pause_reading()

    def on_message_begin(self) -> None:
        if self._complete:
            self._has_excess_input = True

    def on_message_complete(self) -> None:
        if self._is_skipping:
            # What its trailers named is no header of the next answer.
            self._is_skipping = False
            self._headers = []
        elif self._head is not None:
            self._complete = True

    # Interface for callers.

    @property
    def is_open(self) -> bool:
        """Whether the connection can carry a call."""
        transport = self._transport
        return (
            transport is not None
            and not transport.is_closing()
            and not self._has_excess_input
            and self._failure is None
        )

    @property
    def is_framed(self) -> bool:
        """Whether the answer's head tells how its body ends."""
        return self._framed

    @property
    def is_reusable(self) -> bool:
        """Whether the connection can carry another call after the last one."""
        if not (self.is_open and self._complete and self._framed):
            return False
        # Reading may be paused while a part of the body is unread.
        if self._foreign_answers or self._body:
            return False
        if self._unsent or self._transport.get_write_buffer_size():
            return False
        connection_header = (self._head.get('connection') or '').lower()
        return 'close' not in connection_header

    def send(
        self,
        data: bytes,
        bodiless: bool = False,
        on_head: Callable[[AnswerHead], None] | None = None,
        is_own: Callable[[AnswerHead], bool] | None = None,
        request: str = '',
        rest: Sequence[bytes] = (),
    ) -> None:
        """Start a call with the bytes of a complete request.

        :param bodiless: whether the answer has no body, as for HEAD
        :param on_head: called when the head of an answer arrives
        :param is_own: whether an answer belongs to the request; None if any
            does
        :param request: id of the request, empty for one without
        :param rest: further parts, written as the endpoint reads
        """
        self._on_head = on_head
        self._is_own = is_own
        self._foreign_answers = 0
        self._is_skipping = False
        self._requests.append(request)
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._framing_bytes = self._foreign_bytes = self.received = 0
        self._head = None
        self._reason, self._headers = [], []
        self._first_bytes, self._version = b'', ''
        self._complete = self._framed = False
        self._bodiless = bodiless
        self.in_call = True
        self.calls += 1
        self._transport.write(data)
        self._unsent.extend(rest)
        if not self._is_write_paused:
            self.resume_writing()

    async def read_head(self, deadline: float) -> AnswerHead:
        """Wait for the head of the answer.

        :param deadline: loop time in seconds
        :raises CallError: when no head arrives in time
        """
        while self._head is None:
            self._check()
            await self._wait(deadline)
        return self._head

    async def read(self, deadline: float) -> bytes:
        """Wait for more of the body; empty bytes mark its end.

        :param deadline: loop time in seconds
        :raises CallError: when the body is truncated or nothing arrives in
            time
        """
        while not self._body:
            if self._complete:
                return b''
            self._check()
            await self._wait(deadline)
        data = bytes(self._body)
        self._body.clear()
        if (
            len(data) > _READ_HIGH_WATER_BYTES
            and not self._transport.is_closing()
        ):
            self._transport.resume_reading()
        return data

    async def read_all(self, deadline: float, limit: int) -> bytes:
        """Wait for the rest of the body.

        :param deadline: loop time in seconds
        :param limit: largest size in bytes
        :raises CallError: when the body is truncated, too large, or does not
            end in time
        """
        body, is_whole = await self.read_until(deadline, limit)
        if not is_whole:
            raise CallError(FailureKind.TOO_LARGE, True, size=self.received)
        return bytes(body)

    async def read_until(
        self, deadline: float, limit: int
    ) -> tuple[bytearray, bool]:
        """Wait for the rest of the body or for more than a part of it.

        :param deadline: loop time in seconds
        :param limit: size in bytes from which it returns
        :returns: what has arrived, and whether it is all
        :raises CallError: when the body is truncated, or neither comes in
            time
        """
        body = bytearray()
        while part := await self.read(deadline):
            body += part
            if len(body) > limit:
                return body, False
        return body, True

    async def read_while_progressing(
        self, idle_seconds: float, limit: int | None = None
    ) -> bytes:
        """Wait for the rest of the body as long as more of it arrives.

        A total time would give up large bodies on narrow links, again and
        again. Without a least rate, one that comes byte by byte would never
        be given up.

        :param idle_seconds: longest time without a byte
        :param limit: largest size in bytes, None for any
        :raises CallError: when the body is truncated, too large, or stops
            arriving
        """
        stated = self._head.get('content-length') or ''
        size = int(stated) if stated.isdecimal() else 0
        parts = []
        rated_from = self._loop.time() + idle_seconds * SLOW_START_FACTOR
        while True:
            size = max(size, self.received)
            if limit is not None and size > limit:
                raise CallError(FailureKind.TOO_LARGE, True, size=size)
            framing_limit = MAX_WHOLE_FRAMING_RATIO * self.received
            if self._framing_bytes > 2 * MAX_HEAD_BYTES + framing_limit:
                raise CallError(FailureKind.OVERSIZED, True)
            slowest = rated_from + self.received / MIN_BODY_RATE
            deadline = min(self._loop.time() + idle_seconds, slowest)
            part = await self.read(deadline)
            if not part:
                return b''.join(parts)
            parts.append(part)

    def _check(self) -> None:
        if self._failure is not None:
            raise CallError(self._failure, True, self._failure_text)

    async def _wait(self, deadline: float) -> None:
        remaining = deadline - self._loop.time()
        if remaining <= 0:
            raise CallError(FailureKind.TIMEOUT, True)
        self._waiter = self._loop.create_future()
        timer = self._loop.call_later(remaining, self._wake)
        try:
            await self._waiter
        finally:
            timer.cancel()
            self._waiter = None

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def abandon(self) -> None:
        """Fail the call in progress; no answer to it will come."""
        if not self._complete and self._failure is None:
            self._failure = FailureKind.ABANDONED
        self._wake()

    def mark_idle(self, now: float) -> None:
        """End the call and set how long the connection may stay idle.

        :param now: loop time in seconds
        """
        self.in_call = False
        self.idle_since = now
        keepalive_header = self._head.get('keep-alive') if self._head else None
        self.keepalive_seconds = _read_keep_alive(keepalive_header)

    def has_carried(self, request: str) -> bool:
        """Return whether a late answer to a request may come on it.

        :param request: id of the request, empty for one without
        """
        return not request or request in self._requests

    def is_fresh(self, now: float) -> bool:
        """Return whether an idle connection can be reused."""
        return self.is_open and now - self.idle_since < self.keepalive_seconds

    def close(self) -> None:
        """Abort the connection, upon which the endpoint drops the request."""
        self._unsent.clear()
        if self._transport is not None:
            self._transport.abort()


def _read_keep_alive(value: str | None) -> float:
    for part in (value or '').split(','):
        name, _, text = part.strip().partition('=')
        seconds = headernumbers.parse(text)
        if name.lower() == 'timeout' and seconds is not None:
            return seconds * KEEPALIVE_FRACTION
    return DEFAULT_KEEPALIVE_SECONDS


class Pool:
    """Pool of idle connections by address."""

    def __init__(self) -> None:
        self._idle: dict[str, list[Connection]] = {}

    async def acquire(
        self,
        address: str,
        timeout: float,
        max_idle_seconds: float | None = None,
        is_suitable: Callable[[Connection], bool] | None = None,
    ) -> Connection:
        """Return a pooled connection or open a new one.

        :param address: ``host:port``
        :param timeout: maximum time to connect, in seconds
        :param max_idle_seconds: maximum idle time of a pooled connection;
            0 for a new connection, None for its keep-alive time
        :param is_suitable: whether a pooled connection may be used; None if
            any may
        :raises CallError: when no connection can be opened
        """
        loop = asyncio.get_running_loop()
        idle_connections = self._idle.get(address, [])
        for connection in reversed(list(idle_connections)):
            if is_suitable is not None and not is_suitable(connection):
                continue
            idle_connections.remove(connection)
            now = loop.time()
            idle_seconds = now - connection.idle_since
            is_recent = (
                max_idle_seconds is None or idle_seconds < max_idle_seconds
            )
            if connection.is_fresh(now) and is_recent:
                return connection
            connection.close()
        return await self.open(address, timeout)

    async def open(self, address: str, timeout: float) -> Connection:
        """Open a connection.

        :raises CallError: when connecting fails or times out
        """
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(':')
        try:
            async with asyncio.timeout(timeout):
                _, connection = await loop.create_connection(
                    Connection, host, int(port)
                )
        except TimeoutError as error:
            raise CallError(
                FailureKind.TIMEOUT, False, 'to connect'
            ) from error
        except OSError as error:
            raise CallError(FailureKind.CONNECT, False, str(error)) from error
        return connection

    def release(self, address: str, connection: Connection) -> None:
        """Return a connection after its call; close it if not reusable."""
        now = asyncio.get_running_loop().time()
        if not connection.is_reusable:
            connection.close()
            return
        connection.mark_idle(now)
        self._idle.setdefault(address, []).append(connection)

    def sweep(self) -> None:
        """Close connections whose keep-alive time has expired."""
        now = asyncio.get_running_loop().time()
        for address, idle_connections in list(self._idle.items()):
            fresh = []
            for connection in idle_connections:
                if connection.is_fresh(now):
                    fresh.append(connection)
                else:
                    connection.close()
            if fresh:
                self._idle[address] = fresh
            else:
                del self._idle[address]

    def drop(self, address: str) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, ()):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
