"""WSGI server: waitress with bounded memory and a graceful stop.

Nothing is buffered in files, since hosts have no disks: request bodies
above the limit are refused, and the application blocks while the output
buffer is full. A stop lets each request in flight finish. Requests above
the concurrency limit are refused immediately by spare threads instead of
waiting in the queue of waitress.
"""

import logging as standard_logging
import socket
import sys
import threading
import time
from typing import Callable

from absl import logging
import waitress.server

from dunlintide_adapters import httpchannel
from dunlintide_adapters import httppages
from dunlintide_adapters import requestlimiter
from dunlintide_adapters import tlssockets

__all__ = [
    'HttpServer',
]

DEFAULT_MAX_BODY_BYTES = 4 << 20
DEFAULT_MAX_HEADER_BYTES = 32 << 10
DEFAULT_MAX_CONNECTIONS = 2048
DEFAULT_IDLE_SECONDS = 75.0
# Time without progress after which a client that reads none of its answer,
# or sends no more of a started request, is disconnected. Otherwise it would
# hold a thread or a connection forever.
DEFAULT_STALL_SECONDS = 30.0

# Threads beyond those that run the application; they only refuse requests.
_SPARE_THREADS = 4
_BACKLOG = 256
_HIGH_WATERMARK_BYTES = 256 << 10
_MAX_PIPELINED = 1
_POLL_SECONDS = 1.0
_STOP_POLL_SECONDS = 0.05
_CLEANUP_SECONDS = 5
# During a stop, a connection idle for longer is closed: a request that was
# already on the network would have arrived by then.
_DRAIN_IDLE_SECONDS = 0.25
# During a stop, longest time without a byte of a partly received request.
_DRAIN_RECEIVE_SECONDS = 5.0
_SHUTDOWN_SECONDS = 5.0
_KEEPALIVE_SECONDS = 10
_KEEPALIVE_PROBES = 3


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


def _limit_waitress_logs() -> None:
    # At info level waitress logs request paths. Its queue logs a warning
    # for each queued request, even one that a spare thread takes at once.
    standard_logging.getLogger('waitress').setLevel('WARNING')
    standard_logging.getLogger('waitress.queue').setLevel('ERROR')


class HttpServer:
    """A WSGI server that runs on background threads.

    The environment of a request holds ``waitress.client_disconnected``, a
    function that returns whether the caller has disconnected.
    """

    def __init__(
        self,
        server: waitress.server.TcpWSGIServer,
        limiter: requestlimiter.RequestLimiter,
        stall_seconds: float,
    ) -> None:
        """Wrap a bound server; use ``from_config`` instead."""
        self._server = server
        self._stall_seconds = stall_seconds
        self._stalls_checked_at = 0.0
        self._limiter = limiter
        self._stopping = threading.Event()
        self._deadline: float | None = None
        self._finished_all = True
        self._thread = threading.Thread(
            target=self._run, name=f'http-{self.port}', daemon=True
        )
        self._trigger_lock = threading.Lock()

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
        render_error: Callable[[int, str], httppages.ErrorPage] = (
            httppages.render_error
        ),
        tls_wrapper: tlssockets.Wrapper | None = None,
    ) -> 'HttpServer':
        """Bind the address; ``start`` begins to serve.

        :param app: WSGI application
        :param listen: ``host:port``; port 0 takes a free one
        :param threads: requests that can run at once; more get 503
        :param max_body: largest request body in bytes; more gets 413
        :param max_header: largest request head in bytes; more gets 431
        :param max_connections: open connections; more wait in the kernel
        :param idle_seconds: time after which a connection without requests
            is closed
        :param stall_seconds: time after which a client is disconnected
            that reads none of its answer or stops within a request
        :param render_error: builds the error page of a request that the
            server itself refuses, from the HTTP status and a detail
        :param tls_wrapper: adds TLS to connections; None for plain TCP
        :raises OSError: when the port is in use
        """
        _limit_waitress_logs()
        limiter = requestlimiter.RequestLimiter(app, threads, render_error)
        server = waitress.server.create_server(
            limiter,
            listen=listen,
            threads=threads + min(threads, _SPARE_THREADS),
            # waitress refuses a body that reaches its limit.
            max_request_body_size=max_body + 1,
            max_request_header_size=max_header,
            inbuf_overflow=sys.maxsize,
            outbuf_overflow=sys.maxsize,
            outbuf_high_watermark=_HIGH_WATERMARK_BYTES,
            channel_request_lookahead=_MAX_PIPELINED,
            connection_limit=max_connections,
            channel_timeout=max(1, int(idle_seconds)),
            cleanup_interval=_CLEANUP_SECONDS,
            backlog=_BACKLOG,
            log_socket_errors=False,
            asyncore_use_poll=True,
            recv_bytes=tlssockets.RECORD_BYTES,
            url_scheme='http' if tls_wrapper is None else 'https',
            ident=None,
        )
        server.adj.socket_options = _list_socket_options(stall_seconds)
        server.channel_class = httpchannel.make_channel_class(tls_wrapper)
        server.render_error = render_error
        server.is_draining = False
        return cls(server, limiter, stall_seconds)

    @property
    def port(self) -> int:
        """Port that the server listens on."""
        return int(self._server.effective_port)

    @property
    def in_flight(self) -> int:
        """Number of requests that the application is running."""
        return self._limiter.in_flight

    def start(self) -> None:
        """Serve in the background."""
        self._thread.start()

    def stop(self, grace: float | None = None) -> bool:
        """Stop accepting, finish requests in flight, then close.

        :param grace: seconds after which remaining requests are aborted;
            None waits for all of them, as a planned stop should
        :returns: whether all requests in flight were finished
        """
        if grace is not None:
            self._deadline = time.monotonic() + grace
        # Otherwise a caller that goes on using a connection keeps it open.
        self._server.is_draining = True
        with self._trigger_lock:
            self._stopping.set()
            is_serving = self._thread.is_alive()
            if is_serving:
                self._server.pull_trigger()
        if not is_serving:
            self._close()
            return True
        self._thread.join()
        return self._finished_all

    def _poll(self, timeout: float) -> None:
        self._server.asyncore.loop(
            timeout=timeout, use_poll=True, map=self._server._map, count=1
        )

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._poll(_POLL_SECONDS)
            self._close_stalled(time.time())
        self._stop_accepting()
        while self._is_busy():
            self._poll(_STOP_POLL_SECONDS)
            self._close_idle()
        # The loop may see the stop before ``stop`` has pulled the trigger;
        # the lock keeps the trigger open until then.
        with self._trigger_lock:
            self._close()

    def _close_stalled(self, now: float) -> None:
        """Close connections whose caller stopped within a request.

        waitress closes them only after the longer idle time. A caller that
        reads none of its answer is handled by ``TCP_USER_TIMEOUT``.
        """
        if now - self._stalls_checked_at < _POLL_SECONDS:
            return
        self._stalls_checked_at = now
        for channel in self._server.active_channels.values():
            idle = now - channel.last_activity
            if channel.request is not None and idle > self._stall_seconds:
                channel.will_close = True
            if channel.is_linger_over(now):
                channel.will_close = True

    def _stop_accepting(self) -> None:
        # Closing the listener resets connections that the kernel has already
        # accepted, so they are taken from its queue first.
        server = self._server
        connections = -1
        while connections != len(server.active_channels):
            connections = len(server.active_channels)
            server.handle_accept()
        server.accepting = False
        server.del_channel()
        server.socket.close()

    def _is_busy(self) -> bool:
        if not self._server.active_channels and not self._limiter.in_flight:
            return False
        deadline = self._deadline
        if deadline is None or time.monotonic() < deadline:
            return True
        self._finished_all = False
        logging.warning(
            'stop aborted %d requests in flight', self._limiter.in_flight
        )
        return False

    def _close_idle(self) -> None:
        # Runs on the loop's thread, the only one that reads new requests, so
        # no request can arrive between the check and the close.
        now = time.time()
        for channel in list(self._server.active_channels.values()):
            if channel.requests or channel.total_outbufs_len:
                continue
            max_idle = _DRAIN_IDLE_SECONDS
            if channel.request is not None:
                max_idle = _DRAIN_RECEIVE_SECONDS
            if now - channel.last_activity > max_idle:
                channel.will_close = True

    def _close(self) -> None:
        server = self._server
        for channel in list(server.active_channels.values()):
            # Wakes a thread that waits for space in the output buffer.
            channel.handle_close()
        server.task_dispatcher.shutdown(timeout=_SHUTDOWN_SECONDS)
        server.asyncore.close_all(server._map, ignore_all=True)
