"""WSGI server: waitress with bounded memory and a graceful stop.

Nothing is spilled to files, since hosts have no disks: request bodies are
bounded by refusal and answers by pushing the application back. A stop
lets each request in flight finish. Requests beyond the number that may
run at once are refused at once by spare threads, so none waits unseen.
"""

import collections
import functools
import http
import json
import logging as standard_logging
import socket
import sys
import threading
import time
from typing import Callable, Iterable

from absl import logging
import attrs
import waitress.channel
import waitress.server
import waitress.task

from dunlintide_adapters import tlssockets
from dunlintide_core import thresholds

__all__ = [
    'END_BY',
    'JOIN',
    'SEND_NOW',
    'ErrorPage',
    'HttpServer',
    'render_error',
]

# Key of a function in the environment of a request: it takes the moment
# (monotonic, in seconds) after which a caller that holds up the answer by
# not reading is cut off.
END_BY = 'dunlintide.end_by'

# Key of a function in the environment of a request: it counts the request
# to a group and tells whether the group may run another one now.
JOIN = 'dunlintide.join'
# Key in the environment of a function that takes a piece of the body from
# any thread while the application's own makes none. It never waits: it
# returns False, having sent nothing, while anything waits before the
# piece, or before the head has been sent.
SEND_NOW = 'dunlintide.send_now'

DEFAULT_MAX_BODY_BYTES = 4 << 20
DEFAULT_MAX_HEADER_BYTES = 32 << 10
DEFAULT_MAX_CONNECTIONS = 2048
DEFAULT_IDLE_SECONDS = 75.0
# A client that for so long takes no byte of its answer, or sends none of a
# request that it has begun, is cut off, as it would hold a thread or a
# connection for ever.
DEFAULT_STALL_SECONDS = 30.0

# Threads beyond those that may run the application; they only refuse.
_SPARE_THREADS = 4
_BACKLOG = 256
_HIGH_WATERMARK_BYTES = 256 << 10
_PIECE_BYTES = 64 << 10
_LOOKAHEAD = 1
# How often a thread that waits for its caller looks at the time.
_STALL_CHECK_SECONDS = 0.25
_LOOP_SECONDS = 1.0
_STOP_LOOP_SECONDS = 0.05
_CLEANUP_SECONDS = 5
# A connection this long without a byte holds no request on its way.
_QUIET_SECONDS = 0.25
# A request that is only partly received may take this long to go on.
_RECEIVE_SECONDS = 5.0
_SHUTDOWN_SECONDS = 5.0
# How long a refused caller's further bytes are taken and thrown away.
_LINGER_SECONDS = 2.0
_KEEPALIVE_SECONDS = 10
_KEEPALIVE_PROBES = 3


@attrs.frozen
class ErrorPage:
    """Answer of the server itself, in place of the application's.

    :ivar headers: header fields without the length
    """

    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def render_error(status: int, detail: str) -> ErrorPage:
    """Build a problem document (RFC 9457) for a refusal."""
    body = {
        'type': 'about:blank',
        'title': http.HTTPStatus(status).phrase,
        'status': status,
        'detail': detail,
    }
    headers = (('Content-Type', 'application/problem+json'),)
    return ErrorPage(json.dumps(body).encode(), headers)


def _build_status_line(status: int) -> str:
    return f'{status} {http.HTTPStatus(status).phrase}'


class _ErrorTask(waitress.task.ErrorTask):
    """Refuses a request that waitress itself found faulty."""

    def execute(self) -> None:
        error = self.request.error
        page = self.channel.server.render_error(error.code, error.reason)
        self.status = _build_status_line(error.code)
        self.response_headers.extend(page.headers)
        self.set_close_on_finish()
        self.content_length = len(page.body)
        self.write(page.body)
        self.channel.lingers = True


class _Task(waitress.task.WSGITask):
    """Runs the application, which may say when its answer must end."""

    def get_environment(self) -> dict:
        if self.environ is None:
            self.channel.end_by = None
            environ = super().get_environment()
            environ[END_BY] = self._end_by
            environ[SEND_NOW] = self._send_now
        return self.environ

    def _end_by(self, moment: float) -> None:
        self.channel.end_by = moment

    def _send_now(self, data: bytes) -> bool:
        if not self.wrote_header or self.content_length is not None:
            return False
        if self.chunked_response:
            data = b'%X\r\n%b\r\n' % (len(data), data)
        return self.channel.send_now(data)


class _Channel(waitress.channel.HTTPChannel):
    """Connection whose error pages are the application's own.

    What is written goes straight to the socket when nothing waits before
    it; waitress would copy each piece through a buffer.
    """

    error_task_class = _ErrorTask
    task_class = _Task
    end_by: float | None = None
    # Whether to read on when it should be closed, and until when it does.
    lingers = False
    linger_end: float | None = None

    def handle_close(self) -> None:
        if self.lingers and self.connected:
            self.lingers = False
            self._linger()
        else:
            super().handle_close()

    def _linger(self) -> None:
        """Say no more, but take what the caller still sends for a while.

        A caller that writes to a closed connection may not come to read
        why it was refused.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            super().handle_close()
            return
        self.will_close = False
        self.close_when_flushed = False
        self.linger_end = time.time() + _LINGER_SECONDS

    def _discard(self) -> None:
        try:
            if time.time() < self.linger_end and self.recv(_PIECE_BYTES):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        # At the end of what comes it has been closed already.
        if self.connected:
            self.handle_close()

    def has_lingered(self, now: float) -> bool:
        """Tell whether enough time was spent on a refused caller."""
        return self.linger_end is not None and now > self.linger_end

    def handle_read(self) -> None:
        if self.linger_end is not None:
            self._discard()
            return
        # In place of waitress's, to which each failure is the end.
        try:
            data = self.recv(self.adj.recv_bytes)
        except BlockingIOError:
            # What came is a handshake, or part of a record.
            return
        except OSError:
            self.handle_close()
            return
        if data:
            self.last_activity = time.time()
            self.received(data)
        else:
            self.connected = False

    def send(self, data: bytes, do_close: bool = True) -> int:
        # Threads flush what waits, also after the loop has closed the
        # socket and forgotten it.
        try:
            return super().send(data, do_close)
        except AttributeError:
            if self.socket is not None:
                raise
            return 0

    def _flush_outbufs_below_high_watermark(self) -> None:
        # In place of waitress's, which waits for as long as it takes.
        if self.total_outbufs_len <= self.adj.outbuf_high_watermark:
            return
        with self.outbuf_lock:
            _, failed = self._flush_exception(self._flush_some, do_close=False)
            while self.connected and (failed or self._is_full()):
                self._check_end()
                self.server.pull_trigger()
                self.outbuf_lock.wait(_STALL_CHECK_SECONDS)

    def _is_full(self) -> bool:
        return self.total_outbufs_len > self.adj.outbuf_high_watermark

    def _check_end(self) -> None:
        if self.end_by is None or time.monotonic() < self.end_by:
            return
        self.will_close = True
        self.server.pull_trigger()
        raise waitress.channel.ClientDisconnected

    def write_soon(self, data: bytes) -> int:
        if self.total_outbufs_len or not data or not self.connected:
            return super().write_soon(data)
        size = len(data)
        with self.outbuf_lock:
            # The loop may have closed it since.
            if self.connected and not self.total_outbufs_len:
                data = data[self._send_now(data) :]
            if data and self.connected:
                super().write_soon(data)
        return size

    def send_now(self, data: bytes) -> bool:
        """Send without waiting; False when anything waits before it."""
        if not self.outbuf_lock.acquire(blocking=False):
            return False
        try:
            if self.total_outbufs_len or not self.connected:
                return False
            rest = data[self._send_now(data) :]
            if rest:
                super().write_soon(rest)
        except waitress.channel.ClientDisconnected:
            return False
        finally:
            self.outbuf_lock.release()
        return True

    def _send_now(self, data: bytes) -> int:
        """Send what the socket takes; all is dropped when it is broken."""
        try:
            sent = self.send(data, do_close=False)
        except OSError:
            # As waitress does: the loop closes, the next write tells.
            self.will_close = True
            self.server.pull_trigger()
            return len(data)
        self.last_activity = time.time()
        return sent


class _Body:
    """Body of an answer in pieces that the output buffer bounds.

    waitress takes a piece of any size once it is below its watermark.
    """

    def __init__(
        self, chunks: Iterable[bytes], release: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._release = release

    def __iter__(self):
        for chunk in self._chunks:
            if len(chunk) <= _PIECE_BYTES:
                yield chunk
                continue
            for start in range(0, len(chunk), _PIECE_BYTES):
                yield chunk[start : start + _PIECE_BYTES]

    def __len__(self) -> int:
        # waitress takes the length of the first piece for that of the
        # answer when this is 1; any other value tells it nothing.
        chunks = self._chunks
        if isinstance(chunks, (list, tuple)) and len(chunks) == 1:
            return 1 if len(chunks[0]) <= _PIECE_BYTES else 0
        return 0

    def close(self) -> None:
        try:
            close = getattr(self._chunks, 'close', None)
            if close is not None:
                close()
        finally:
            self._release()


@attrs.define(eq=False)
class _Seat:
    """One running request and the group that it counts to."""

    group: str = ''


class _Gate:
    """Runs at most so many requests at once and refuses the others.

    A group of requests may hold a multiple of what is free, so that none
    takes all threads.
    """

    def __init__(
        self,
        app: Callable,
        limit: int,
        render: Callable[[int, str], ErrorPage],
    ) -> None:
        self.in_flight = 0
        self._app = app
        self._limit = limit
        self._render = render
        self._lock = threading.Lock()
        self._groups: collections.Counter[str] = collections.Counter()

    def _enter(self) -> bool:
        with self._lock:
            if self.in_flight >= self._limit:
                return False
            self.in_flight += 1
            return True

    def _join(self, seat: _Seat, group: str) -> bool:
        with self._lock:
            free = self._limit - self.in_flight
            # Its own place may be the last one.
            if not thresholds.admits(self._groups[group], free + 1):
                return False
            seat.group = group
            self._groups[group] += 1
            return True

    def _leave(self, seat: _Seat) -> None:
        with self._lock:
            self.in_flight -= 1
            if not seat.group:
                return
            self._groups[seat.group] -= 1
            if not self._groups[seat.group]:
                del self._groups[seat.group]

    def _refuse(self, start_response: Callable) -> list[bytes]:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        page = self._render(status, 'too many requests in flight')
        length = ('Content-Length', str(len(page.body)))
        line = _build_status_line(status)
        start_response(line, [*page.headers, length])
        return [page.body]

    def __call__(self, environ: dict, start_response: Callable):
        if not self._enter():
            return self._refuse(start_response)
        seat = _Seat()
        environ[JOIN] = functools.partial(self._join, seat)
        try:
            chunks = self._app(environ, start_response)
        except BaseException:
            self._leave(seat)
            raise
        return _Body(chunks, functools.partial(self._leave, seat))


def _make_channel_class(secure: tlssockets.Wrapper | None) -> Callable:
    if secure is None:
        return _Channel

    def make(server, accepted: socket.socket, *rest, **options) -> None:
        try:
            wrapped = secure.wrap(accepted)
        except OSError:
            # The client has gone already.
            accepted.close()
            return
        _Channel(server, wrapped, *rest, **options)

    return make


def _list_socket_options(stall_seconds: float) -> list[tuple]:
    tcp = socket.IPPROTO_TCP
    return [
        (tcp, socket.TCP_NODELAY, 1),
        (tcp, socket.TCP_USER_TIMEOUT, int(stall_seconds * 1000)),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (tcp, socket.TCP_KEEPIDLE, _KEEPALIVE_SECONDS),
        (tcp, socket.TCP_KEEPINTVL, _KEEPALIVE_SECONDS),
        (tcp, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
    ]


def _quiet_library() -> None:
    # At info level waitress logs the paths of requests; its queue warns
    # of each request that waits, even for a spare thread.
    standard_logging.getLogger('waitress').setLevel('WARNING')
    standard_logging.getLogger('waitress.queue').setLevel('ERROR')


class HttpServer:
    """A WSGI server on its own threads.

    Applications find ``waitress.client_disconnected`` in the environment,
    a function that tells whether the caller has gone.
    """

    def __init__(
        self,
        server: waitress.server.TcpWSGIServer,
        gate: _Gate,
        stall_seconds: float,
    ) -> None:
        """Wrap a bound server; use ``from_config`` instead."""
        self._server = server
        self._stall_seconds = stall_seconds
        self._looked = 0.0
        self._gate = gate
        self._stopping = threading.Event()
        self._deadline: float | None = None
        self._clean = True
        self._thread = threading.Thread(
            target=self._run, name=f'http-{self.port}', daemon=True
        )

    @classmethod
    def from_config(
        cls,
        app: Callable,
        listen: str,
        threads: int,
        max_body: int = DEFAULT_MAX_BODY_BYTES,
        max_header: int = DEFAULT_MAX_HEADER_BYTES,
        *,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        idle_seconds: float = DEFAULT_IDLE_SECONDS,
        stall_seconds: float = DEFAULT_STALL_SECONDS,
        render_error: Callable[[int, str], ErrorPage] = render_error,
        secure: tlssockets.Wrapper | None = None,
    ) -> 'HttpServer':
        """Bind the address; ``start`` begins to serve.

        :param app: WSGI application
        :param listen: ``host:port``; port 0 takes a free one
        :param threads: requests that may run at once; more get 503
        :param max_body: largest request body in bytes; more gets 413
        :param max_header: largest request head in bytes; more gets 431
        :param max_connections: open connections; more wait in the kernel
        :param idle_seconds: life of a connection without requests
        :param stall_seconds: time after which a client that takes none of
            its answer, or stops within a request, is cut off
        :param render_error: builds the page for a refusal by the server
            itself, from the HTTP status and one sentence
        :param secure: puts TLS on connections; None for plain ones
        :raises OSError: when the port is taken
        """
        _quiet_library()
        gate = _Gate(app, threads, render_error)
        server = waitress.server.create_server(
            gate,
            listen=listen,
            threads=threads + min(threads, _SPARE_THREADS),
            # waitress refuses a body that reaches its limit.
            max_request_body_size=max_body + 1,
            max_request_header_size=max_header,
            inbuf_overflow=sys.maxsize,
            outbuf_overflow=sys.maxsize,
            outbuf_high_watermark=_HIGH_WATERMARK_BYTES,
            channel_request_lookahead=_LOOKAHEAD,
            connection_limit=max_connections,
            channel_timeout=max(1, int(idle_seconds)),
            cleanup_interval=_CLEANUP_SECONDS,
            backlog=_BACKLOG,
            log_socket_errors=False,
            asyncore_use_poll=True,
            recv_bytes=tlssockets.RECORD_BYTES,
            url_scheme='http' if secure is None else 'https',
            ident=None,
        )
        server.adj.socket_options = _list_socket_options(stall_seconds)
        server.channel_class = _make_channel_class(secure)
        server.render_error = render_error
        return cls(server, gate, stall_seconds)

    @property
    def port(self) -> int:
        """Port that is listened on."""
        return int(self._server.effective_port)

    @property
    def in_flight(self) -> int:
        """Requests that the application is running."""
        return self._gate.in_flight

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def stop(self, grace: float | None = None) -> bool:
        """Accept no more, finish what is in flight, then close.

        :param grace: seconds after which requests are cut off; None waits
            for each of them, as a planned stop should
        :returns: whether everything in flight was finished
        """
        if grace is not None:
            self._deadline = time.monotonic() + grace
        self._stopping.set()
        if not self._thread.is_alive():
            self._close()
            return True
        self._server.pull_trigger()
        self._thread.join()
        return self._clean

    def _poll(self, timeout: float) -> None:
        self._server.asyncore.loop(
            timeout=timeout, use_poll=True, map=self._server._map, count=1
        )

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._poll(_LOOP_SECONDS)
            self._close_silent(time.time())
        self._stop_accepting()
        while self._is_busy():
            self._poll(_STOP_LOOP_SECONDS)
            self._close_idle()
        self._close()

    def _close_silent(self, now: float) -> None:
        """Close connections whose caller stopped within a request.

        waitress closes them only with the idle ones. What a caller does
        not take of an answer is the kernel's matter.
        """
        if now - self._looked < _LOOP_SECONDS:
            return
        self._looked = now
        for channel in self._server.active_channels.values():
            quiet = now - channel.last_activity
            if channel.request is not None and quiet > self._stall_seconds:
                channel.will_close = True
            if channel.has_lingered(now):
                channel.will_close = True

    def _stop_accepting(self) -> None:
        # What the kernel has accepted already would be reset by closing.
        server = self._server
        connections = -1
        while connections != len(server.active_channels):
            connections = len(server.active_channels)
            server.handle_accept()
        server.accepting = False
        server.del_channel()
        server.socket.close()

    def _is_busy(self) -> bool:
        if not self._server.active_channels and not self._gate.in_flight:
            return False
        deadline = self._deadline
        if deadline is None or time.monotonic() < deadline:
            return True
        self._clean = False
        logging.warning('stop cut off %d requests', self._gate.in_flight)
        return False

    def _close_idle(self) -> None:
        # Runs on the loop's thread, which alone takes in new requests.
        now = time.time()
        for channel in list(self._server.active_channels.values()):
            if channel.requests or channel.total_outbufs_len:
                continue
            patience = _QUIET_SECONDS
            if channel.request is not None:
                patience = _RECEIVE_SECONDS
            if now - channel.last_activity > patience:
                channel.will_close = True

    def _close(self) -> None:
        server = self._server
        for channel in list(server.active_channels.values()):
            # Wakes a thread that waits for room in the output buffer.
            channel.handle_close()
        server.task_dispatcher.shutdown(timeout=_SHUTDOWN_SECONDS)
        server.asyncore.close_all(server._map, ignore_all=True)
