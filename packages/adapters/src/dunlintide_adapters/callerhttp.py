"""HTTP/1.1 server for callers, on an event loop.

The handler gets a request once its body is complete. Pipelined requests are
handled one after another, so answers keep their order. llhttp parses in
strict mode: an ambiguous request is refused and its connection closed.

What a request occupies comes from a budget: a large body is read only once it
is reserved, until then its connection is not read, and it is refused where it
would wait for long. It is given back with the answer. An answer that its
caller does not read counts too, and the next request waits until it is sent.
"""

import asyncio
import collections
import functools
import random
import socket
import time
from typing import Any, Callable, Coroutine

import httptools

from dunlintide_adapters import callermessages
from dunlintide_core.pipeline import bytebudget

__all__ = ['CallerServer']

# Unsent bytes of an answer above which its producer is paused.
_WRITE_HIGH_WATER_BYTES = 64 << 10
# Bytes that an answer in progress occupies while its caller does not read it:
# what is written but not sent, and what is read from the endpoint.
_UNREAD_BYTES = 192 << 10
# Most bytes that are read before other connections have their turn.
_READ_BYTES = 64 << 10
# Size of the parts of a large body. Equal ones take the place of each other,
# so that the memory of the process does not grow by fragmentation.
_PART_BYTES = 64 << 10
# Longest time for which a large request waits for its reservation, in seconds:
# callers give up requests that are not read, and may be served elsewhere.
_MAX_WAIT_SECONDS = 0.5
# Range of the random factor on Retry-After, so that refused callers do not
# return at the same time.
_JITTER = (0.7, 1.5)
# Pipelined requests that may wait on one connection; more get status 400.
_MAX_PIPELINED = 16
# Time for which input of a refused caller is still read, so that it gets the
# status; closing with unread bytes would reset the connection.
_LINGER_SECONDS = 1.0
# Bytes of chunk headers that a request may have for each byte of its body,
# beside those that a head may have.
_MAX_FRAMING_RATIO = 8
# Bytes that are parsed before they are checked against the limits.
_PARSED_BYTES = 4 << 10
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'

Handler = Callable[
    [callermessages.Request, callermessages.Reply], Coroutine[Any, Any, None]
]
# Returns for whom the bytes of a request count, by its head and the address of
# its caller.
Identify = Callable[[callermessages.Request, str], str]


# Reports a request for which the budget has no room: its size in bytes and its
# Retry-After in seconds.
ReportRefusal = Callable[[callermessages.Request, int, float], None]


def _report_nothing(
    request: callermessages.Request, size: int, pause: float
) -> None:
    pass


def _get_address(request: callermessages.Request, address: str) -> str:
    return address


class CallerServer:
    """Accepts connections of callers on one address.

    :ivar limits: limits on requests, replaced when the configuration changes
    """

    def __init__(
        self,
        handle: Handler,
        limits: callermessages.RequestLimits,
        report: Callable[[str, BaseException | None], None],
        budget: bytebudget.Budget | None = None,
        identify: Identify = _get_address,
        report_refusal: ReportRefusal = _report_nothing,
    ) -> None:
        """Create a server that does not listen yet.

        :param handle: answers one request
        :param report: called with a text and the error of each failed
            connection or request
        :param budget: budget of the process, None for one of its own
        :param identify: returns the owner of a request
        :param report_refusal: called for requests without room
        """
        self.handle = handle
        self.budget = budget or bytebudget.Budget(
            bytebudget.MAX_LIMIT_BYTES, time.monotonic
        )
        self.identify = identify
        self.report_refusal = report_refusal
        self.input = bytearray(_READ_BYTES)
        self.limits = limits
        self.report = report
        self.connections: set[_Connection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int, backlog: int = 512) -> int:
        """Start listening.

        :returns: the port that was bound
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), host, port, backlog=backlog
        )
        return self._server.sockets[0].getsockname()[1]

    async def listen_on_socket(self, listener: socket.socket) -> None:
        """Start accepting connections from a socket that already listens."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Connection(self), sock=listener
        )

    def stop_keepalive(self) -> None:
        """Close idle connections, and the others after their answer."""
        self.closing = True
        for connection in list(self.connections):
            connection.stop_keepalive()

    def count_busy(self) -> int:
        """Count the connections with an unanswered request."""
        return sum(1 for each in self.connections if each.is_busy)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.abort()


class _Connection(asyncio.BufferedProtocol):
    """One connection of a caller.

    :ivar is_paused: whether its output buffer is full
    """

    def __init__(self, server: CallerServer) -> None:
        self._server = server
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pending: collections.deque[callermessages.Request] = (
            collections.deque()
        )
        self._reply: callermessages.Reply | None = None
        self._task: asyncio.Task | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._writable: asyncio.Future | None = None
        self.is_paused = False
        # What the caller has not read. Behind a complete answer it is waited
        # for, as long as the bytes that are not sent become fewer.
        self._unread = bytebudget.Account()
        self._is_unsent = False
        self._unsent_bytes = 0
        self._reading = False
        self._has_refused = False
        # Answer to a refused request, sent behind those before it.
        self._refusal = b''
        self._address = ''
        self._request: callermessages.Request | None = None
        # A large request waits for its reservation with what is not parsed.
        self._is_waiting = False
        self._unparsed = b''
        self._wait_timer: asyncio.TimerHandle | None = None
        self._received_at: float | None = None
        self._head_bytes = 0
        self._body_size = 0
        self._framing_bytes = 0
        self._has_head = False
        self._closing = False

    @property
    def closing(self) -> bool:
        """Whether it closes after the answer in progress.

        If the server stops, requests that were read already come first.
        """
        return self._closing or (
            self._server.closing and not self._pending and not self._refusal
        )

    @closing.setter
    def closing(self, value: bool) -> None:
        self._closing = value

    @property
    def _is_free(self) -> bool:
        """Whether the next answer may be written now."""
        return (
            self._reply is None and not self._pending and not self._is_unsent
        )

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._reply is not None or self._reading or self._is_unsent

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        self._server.connections.add(self)
        self._address = (transport.get_extra_info('peername') or ('',))[0]
        self._start_timer(self._server.limits.idle_seconds)

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        self._server.budget.release(self._unread)
        self._stop_timer()
        self._set_writable()
        self._cancel_requests()

    def eof_received(self) -> bool:
        self._cancel_requests()
        # Closing waits until the caller has read all.
        self._start_timer(self._server.limits.idle_seconds)
        return False

    def _cancel_requests(self) -> None:
        """Cancel the requests of a caller that has closed its side."""
        self._drop_requests()
        if self._reply is not None:
            self._reply.is_disconnected = True
            self._task.cancel()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, self._handle_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        self._timer = None
        unsent = self._transport.get_write_buffer_size()
        if self._is_unsent and unsent < self._unsent_bytes:
            self._unsent_bytes = unsent
            self._start_timer(self._server.limits.idle_seconds)
        elif self._is_unsent or self._transport.is_closing():
            self.abort()
        elif self._reading:
            self._refuse(408)
        elif self._reply is None:
            self._transport.close()

    def _drop_requests(self) -> None:
        """Give up the requests that no handler has yet."""
        budget = self._server.budget
        for request in self._pending:
            budget.release(request.account)
        self._pending.clear()
        self._refusal = b''
        self._drop_partial()

    def _drop_partial(self) -> None:
        """Give up the request that is being read."""
        budget = self._server.budget
        if self._request is not None:
            budget.release(self._request.account)
            self._request = None
        self._end_wait()
        self._unparsed = b''
        self._body = bytearray()
        self._parts: list[bytes] = []

    def get_buffer(self, size_hint: int) -> bytearray:
        return self._server.input

    def buffer_updated(self, size: int) -> None:
        if self._has_refused:
            return
        if not self.is_busy:
            self._start_timer(self._server.limits.header_seconds)
        self._received_at = self._loop.time()
        self._parse_all(memoryview(self._server.input)[:size])

    def _parse_all(self, view: memoryview) -> None:
        for start in range(0, len(view), _PARSED_BYTES):
            if self._has_refused:
                break
            if self._is_waiting:
                self._unparsed = bytes(view[start:])
                break
            self._parse(view[start : start + _PARSED_BYTES])
        self._start_next()

    def _parse(self, data: memoryview) -> None:
        """Parse bytes, and refuse what has too many besides its body."""
        body_size = self._body_size
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refuse(400)
        except httptools.HttpParserError as error:
            if not self._has_refused:
                self._server.report('bad request', error)
                self._refuse(400)
        if not self._reading or self._has_refused:
            return
        # A part that belongs to a message that begins within the data or has
        # ended there counts as well; the limits leave room for it.
        body_bytes = max(0, self._body_size - body_size)
        self._framing_bytes += len(data) - body_bytes
        limit = self._server.limits.header_bytes + _PARSED_BYTES
        if not self._has_head:
            if self._framing_bytes > limit:
                self._refuse(431)
            elif not self._hold_head():
                self._refuse_unreserved(self._framing_bytes)
        elif self._framing_bytes > (
            2 * limit + _MAX_FRAMING_RATIO * self._body_size
        ):
            self._refuse(400)

    def _hold_head(self) -> bool:
        """Occupy the bytes of a head of which the end has not arrived.

        :returns: whether they are granted
        """
        account = self._request.account
        # Whose request it is shows at its end.
        account.owner = account.owner or self._address
        return self._server.budget.hold(account, self._framing_bytes)

    def on_message_begin(self) -> None:
        self._reading = True
        self._has_head = False
        self._framing_bytes = 0
        self._head_bytes = 0
        self._request = callermessages.Request(
            '', '', [], b'', self._received_at
        )
        self._target: list[bytes] = []
        self._body = bytearray()
        self._parts = []
        self._body_size = 0

    def on_url(self, url: bytes) -> None:
        self._count_head_bytes(len(url))
        self._target.append(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_head_bytes(len(name) + len(value) + 4)
        pair = name.decode('latin-1').lower(), value.decode('latin-1')
        self._request.headers.append(pair)

    def _count_head_bytes(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > self._server.limits.header_bytes:
            self._refuse(431)
            raise ValueError('request head exceeds the size limit')

    def on_headers_complete(self) -> None:
        self._has_head = True
        request = self._request
        request.method = self._parser.get_method().decode('latin-1')
        request.target = b''.join(self._target).decode('latin-1')
        request.keep_alive = self._parser.should_keep_alive()
        request.version = self._parser.get_http_version()
        length = request.get('content-length')
        if length and int(length) > self._server.limits.body_bytes:
            self._refuse(413)
            raise ValueError('request body exceeds the size limit')
        if request.account.held:
            self._server.budget.release(request.account)
        request.account.owner = self._server.identify(request, self._address)
        self._occupy(self._head_bytes + int(length or 0))
        if (request.get('expect') or '').lower() == '100-continue':
            if self._is_free:
                self.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size > self._server.limits.body_bytes:
            self._refuse(413)
            raise ValueError('request body exceeds the size limit')
        self._body += data
        if len(self._body) >= _PART_BYTES:
            self._parts.append(bytes(self._body))
            self._body = bytearray()
        account = self._request.account
        size = self._head_bytes + self._body_size
        if not self._is_waiting and size > account.held:
            # A body in chunks: its size is known at its end.
            if size > bytebudget.SMALL_BYTES:
                size = self._choose_reservation(size)
            self._occupy(size)

    def _choose_reservation(self, size: int) -> int:
        """Choose what a body in chunks reserves at once, in bytes.

        :param size: bytes that have arrived
        """
        largest = self._head_bytes + self._server.limits.body_bytes
        usual = min(largest, self._server.budget.large_limit // 2)
        return usual if size <= usual else largest

    def _occupy(self, size: int) -> None:
        """Occupy the bytes of a request, wait for them or refuse it.

        :raises ValueError: when it is refused
        """
        budget, account = self._server.budget, self._request.account
        if size <= bytebudget.SMALL_BYTES:
            if budget.hold(account, size):
                return
        elif budget.reserve(account, size):
            return
        elif budget.can_wait(account, size):
            self._is_waiting = True
            self._transport.pause_reading()
            budget.wait(account, size, self._handle_grant)
            self._wait_timer = self._loop.call_later(
                _MAX_WAIT_SECONDS, self._refuse_unreserved, size
            )
            return
        self._refuse_unreserved(size)
        raise ValueError('no memory for the request')

    def _refuse_unreserved(self, size: int) -> None:
        request = self._request
        pause = self._server.budget.refuse() * random.uniform(*_JITTER)
        self._server.report_refusal(request, size, pause)
        self._refuse(503, pause)

    def _handle_grant(self) -> None:
        """Read on, but not while another request is given up."""
        self._stop_wait_timer()
        self._loop.call_soon(self._read_on)

    def _read_on(self) -> None:
        if not self._is_waiting or self._transport.is_closing():
            return
        unparsed, self._unparsed = self._unparsed, b''
        self._end_wait()
        self._parse_all(memoryview(unparsed))

    def _end_wait(self) -> None:
        self._stop_wait_timer()
        if self._is_waiting:
            self._is_waiting = False
            if not self._transport.is_closing():
                self._transport.resume_reading()

    def _stop_wait_timer(self) -> None:
        if self._wait_timer is not None:
            self._wait_timer.cancel()
            self._wait_timer = None

    def on_message_complete(self) -> None:
        self._reading = False
        request, self._request = self._request, None
        first, *request.rest = [*self._parts, bytes(self._body)]
        request.body = first
        self._body, self._parts = bytearray(), []
        self._end_wait()
        size = self._head_bytes + self._body_size
        self._server.budget.force(request.account, size)
        if len(self._pending) >= _MAX_PIPELINED:
            self._server.budget.release(request.account)
            self._refuse(400)
            raise ValueError('too many pipelined requests')
        if self._is_free:
            self._stop_timer()
        self._pending.append(request)

    def _refuse(self, status: int, retry_after: float | None = None) -> None:
        """Answer a request with an error and stop reading.

        Those before it are answered first.

        :param retry_after: value of the Retry-After header in seconds
        """
        if self._has_refused:
            return
        self._has_refused = True
        self._reading = False
        self._drop_partial()
        if not self._is_unsent:
            self._stop_timer()
        reason = callermessages.REASONS[status]
        text = f'HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n'
        if retry_after is not None:
            text += f'Retry-After: {retry_after:.2f}\r\n'
        text += 'Connection: close\r\n\r\n'
        self._refusal = text.encode('latin-1')
        if self._is_free:
            self._send_refusal()

    def _send_refusal(self) -> None:
        refusal, self._refusal = self._refusal, b''
        self.write(refusal)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(_LINGER_SECONDS, self.abort)

    def _start_next(self) -> None:
        if self._reply is not None or self._is_unsent or not self._pending:
            return
        request = self._pending.popleft()
        self._stop_timer()
        reply = callermessages.Reply(self, request)
        self._reply = reply
        # Nothing is unread now.
        self._unread.owner = request.account.owner
        # The task is cancelled when the caller disconnects, which frees the
        # endpoint.
        self._task = self._loop.create_task(
            self._server.handle(request, reply)
        )
        self._task.add_done_callback(
            functools.partial(self._finish_request, request.account)
        )

    def _finish_request(
        self, account: bytebudget.Account, task: asyncio.Task
    ) -> None:
        self._server.budget.release(account)
        reply, self._reply, self._task = self._reply, None, None
        error = None if task.cancelled() else task.exception()
        if error is not None:
            self._server.report('request failed', error)
        if self._transport is None or self._transport.is_closing():
            return
        if not reply.ended:
            if not reply.started and not reply.is_disconnected:
                reply.send(callermessages.Head(500))
            else:
                self.abort()
                return
        if self._transport.get_write_buffer_size():
            self._wait_for_caller()
        else:
            self._continue()

    def _wait_for_caller(self) -> None:
        """Wait until the caller has read the whole answer."""
        self._is_unsent = True
        # Resumed once all is sent.
        self._transport.set_write_buffer_limits(high=0)
        self._unsent_bytes = self._transport.get_write_buffer_size()
        self._hold_unread(self._unsent_bytes)
        self._start_timer(self._server.limits.idle_seconds)

    def _continue(self) -> None:
        """Go on behind an answer."""
        if self._closing:
            self._transport.close()
        elif self._pending:
            self._start_next()
        elif self._refusal:
            self._send_refusal()
        elif self._reading:
            self._start_timer(self._server.limits.header_seconds)
        elif self._server.closing:
            self._transport.close()
        else:
            self._start_timer(self._server.limits.idle_seconds)

    def stop_keepalive(self) -> None:
        """Close now if no request is in progress, else behind it."""
        if not self.is_busy and self._transport is not None:
            self._transport.close()

    def write(self, data: bytes) -> None:
        """Send raw bytes."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.write(data)

    def abort(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def pause_writing(self) -> None:
        self.is_paused = True
        if not self._is_unsent:
            self._hold_unread(_UNREAD_BYTES)

    def resume_writing(self) -> None:
        self._server.budget.release(self._unread)
        self._set_writable()
        if self._is_unsent:
            self._is_unsent = False
            self._transport.set_write_buffer_limits(
                high=_WRITE_HIGH_WATER_BYTES
            )
            self._stop_timer()
            self._continue()

    def _hold_unread(self, size: int) -> None:
        """Occupy bytes that the caller has yet to read."""
        self._server.budget.hold_unread(self._unread, size, self._give_up)

    def _give_up(self) -> None:
        error = ConnectionAbortedError('answer not read')
        self._server.report('no memory for an unread answer', error)
        self.abort()

    def _set_writable(self) -> None:
        self.is_paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def drain(self) -> None:
        """Wait until the transport accepts more data."""
        if self.is_paused:
            self._writable = self._loop.create_future()
            await self._writable
