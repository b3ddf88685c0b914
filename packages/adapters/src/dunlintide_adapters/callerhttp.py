"""HTTP/1.1 server for callers, on an event loop.

The handler gets a request once its body is complete. Pipelined requests are
handled one after another, so answers keep their order. llhttp parses in
strict mode: an ambiguous request is refused and its connection closed.
"""

import asyncio
import collections
import socket
from typing import Any, Callable, Coroutine

import httptools

from dunlintide_adapters import callermessages

__all__ = ['CallerServer']

# Unsent bytes of an answer above which its producer is paused.
_WRITE_HIGH_WATER_BYTES = 256 << 10
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


class CallerServer:
    """Accepts connections of callers on one address.

    :ivar limits: limits on requests, replaced when the configuration changes
    """

    def __init__(
        self,
        handle: Handler,
        limits: callermessages.RequestLimits,
        report: Callable[[str, BaseException | None], None],
    ) -> None:
        """Create a server that does not listen yet.

        :param handle: answers one request
        :param report: called with a text and the error of each failed
            connection or request
        """
        self.handle = handle
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


class _Connection(asyncio.Protocol):
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
        self._reading = False
        self._has_refused = False
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
        return self._closing or self._server.closing and not self._pending

    @closing.setter
    def closing(self, value: bool) -> None:
        self._closing = value

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return self._reply is not None or self._reading

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport
        transport.set_write_buffer_limits(high=_WRITE_HIGH_WATER_BYTES)
        self._server.connections.add(self)
        self._start_timer(self._server.limits.idle_seconds)

    def connection_lost(self, error: Exception | None) -> None:
        self._server.connections.discard(self)
        self._stop_timer()
        self._set_writable()
        self._cancel_requests()

    def eof_received(self) -> bool:
        self._cancel_requests()
        return False

    def _cancel_requests(self) -> None:
        """Cancel the requests of a caller that has closed its side."""
        self._pending.clear()
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
        if self._reading:
            self._refuse(408)
        elif self._reply is None:
            self._transport.close()

    def data_received(self, data: bytes) -> None:
        if self._has_refused:
            return
        if not self._reading and self._reply is None:
            self._start_timer(self._server.limits.header_seconds)
        self._received_at = self._loop.time()
        view = memoryview(data)
        for start in range(0, len(data), _PARSED_BYTES):
            if not self._has_refused:
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
        elif self._framing_bytes > (
            2 * limit + _MAX_FRAMING_RATIO * self._body_size
        ):
            self._refuse(400)

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
        if (request.get('expect') or '').lower() == '100-continue':
            if not self._pending and self._reply is None:
                self.write(_CONTINUE)

    def on_body(self, data: bytes) -> None:
        self._body_size += len(data)
        if self._body_size > self._server.limits.body_bytes:
            self._refuse(413)
            raise ValueError('request body exceeds the size limit')
        self._body += data

    def on_message_complete(self) -> None:
        self._reading = False
        self._request.body = bytes(self._body)
        self._body = bytearray()
        if self._reply is None:
            self._stop_timer()
        self._pending.append(self._request)
        if len(self._pending) > _MAX_PIPELINED:
            self._refuse(400)
            raise ValueError('too many pipelined requests')

    def _refuse(self, status: int) -> None:
        """Answer an invalid request with an error and stop reading."""
        if self._has_refused:
            return
        self._has_refused = True
        self._reading = False
        self._pending.clear()
        self._stop_timer()
        if self._reply is not None:
            # The answer in progress is completed before the connection is
            # closed.
            self.closing = True
            return
        reason = callermessages.REASONS[status]
        text = (
            f'HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\n'
            'Connection: close\r\n\r\n'
        )
        self.write(text.encode('latin-1'))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._loop.call_later(_LINGER_SECONDS, self.abort)

    def _start_next(self) -> None:
        if self._reply is not None or not self._pending:
            return
        request = self._pending.popleft()
        self._stop_timer()
        reply = callermessages.Reply(self, request)
        self._reply = reply
        # The task is cancelled when the caller disconnects, which frees the
        # endpoint.
        self._task = self._loop.create_task(
            self._server.handle(request, reply)
        )
        self._task.add_done_callback(self._finish_request)

    def _finish_request(self, task: asyncio.Task) -> None:
        reply, self._reply = self._reply, None
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
        if self._closing or self._has_refused:
            self._transport.close()
        elif self._pending:
            self._start_next()
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

    def resume_writing(self) -> None:
        self.is_paused = False
        self._set_writable()

    def _set_writable(self) -> None:
        self.is_paused = False
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)

    async def drain(self) -> None:
        """Wait until the transport accepts more data."""
        if self.is_paused:
            self._writable = self._loop.create_future()
            await self._writable
