"""Calls to a plain service as the endpoint of the agent.

A bounded pool of threads calls the service; further calls wait in the gate's
fair queue. No call is retried here.
"""

from concurrent import futures
import contextlib
import socket
import threading
import time
from typing import Callable, Iterator

from absl import logging
import urllib3

from dunlintide_adapters import bodies
from dunlintide_adapters import boundedhttp
from dunlintide_adapters import hopheaders
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import requests

__all__ = [
    'ServiceCaller',
]

PART_BYTES = 256 << 10
CONNECT_SECONDS = 2.0
# The gate ends a call at its deadline. A socket timeout at the same time
# would race with that and be reported as a failure of the service.
DEADLINE_SLACK_SECONDS = 5.0
BYTES_PER_COST = 1024.0
CALL_COST = 64.0

# Headers that the HTTP client computes.
_RECOMPUTED = frozenset(('content-length', 'host'))
# Headers set from the terms, since those of the caller could be forged. The
# caller's API key in ``authorization`` is not passed to the service.
_REPLACED = frozenset(
    (
        'authorization',
        'dunlintide-member',
        'idempotency-key',
        'x-request-id',
    )
)


def _filter_headers(
    headers: Iterator[tuple[str, str]], replaced: frozenset[str] = frozenset()
) -> list[tuple[str, str]]:
    pairs = [(name, value) for name, value in headers]
    connection_headers = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = (
        hopheaders.HOP_BY_HOP | _RECOMPUTED | replaced | connection_headers
    )
    return [pair for pair in pairs if pair[0].lower() not in dropped]


def _build_headers(call: link_pb2.Call) -> urllib3.HTTPHeaderDict:
    received = ((header.name, header.value) for header in call.headers)
    headers = urllib3.HTTPHeaderDict()
    for name, value in _filter_headers(received, _REPLACED):
        headers.add(name, value)
    headers['X-Request-Id'] = call.terms.request_id
    headers['Dunlintide-Member'] = call.terms.team
    if call.terms.idempotency_key:
        headers['Idempotency-Key'] = call.terms.idempotency_key
    return headers


def _may_have_run(error: urllib3.exceptions.HTTPError) -> bool:
    """Return whether the service may have executed a failed call."""
    never_connected = (
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.NewConnectionError,
    )
    return not isinstance(error, never_connected)


def _notify_connect(
    kind: type[urllib3.connection.HTTPConnection],
    on_connect: Callable[[socket.socket], None],
) -> type[urllib3.connection.HTTPConnection]:
    """Return a connection class that passes on its socket when opened."""

    class Watched(kind):
        def connect(self) -> None:
            super().connect()
            on_connect(self.sock)

    return Watched


class ServiceCaller:
    """Thread pool that calls one service."""

    def __init__(
        self,
        url: str,
        threads: int,
        gate: gates.Gate,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepare the pool; connections open on demand.

        :param url: base address of the service
        :param threads: maximum number of concurrent calls
        """
        self._gate = gate
        self._clock = clock
        self._pool = futures.ThreadPoolExecutor(threads, 'service')
        self._url = url
        self._path = urllib3.util.parse_url(url).path or ''
        self._lock = threading.Lock()
        # Calls that have not been stopped, with their sockets once open.
        self._active: dict[requests.Request, socket.socket | None] = {}
        self._current = threading.local()

    def close(self) -> None:
        """Wait for the calls under way and stop the threads."""
        self._pool.shutdown()

    def _connect(self) -> urllib3.HTTPConnectionPool:
        """Build a connection pool for a single call.

        A reused connection may have gone silent, or the service may close it
        just as it is used. A new connection on the same host is cheap.
        """
        pool = boundedhttp.build_pool(self._url, is_stream=True, maxsize=1)
        pool.ConnectionCls = _notify_connect(
            pool.ConnectionCls, self._register_socket
        )
        return pool

    def call(self, link: links.Link, call: link_pb2.Call) -> None:
        """Admit a call to the service."""
        terms = call.terms
        subscriber = requests.Subscriber(link, terms.request_id, call.epoch)
        claim = call.claim if call.HasField('claim') else None
        request = requests.Request(
            terms.request_id,
            call.epoch,
            terms,
            self._clock() + terms.deadline_ms / 1000,
            CALL_COST + len(call.body) / BYTES_PER_COST,
            1,
            start=lambda started: self._start(started, call),
            stop=self._stop,
            keeps_log=claim is not None,
        )
        self._gate.open(request, claim, subscriber)

    def _start(self, request: requests.Request, call: link_pb2.Call) -> None:
        with self._lock:
            self._active[request] = None
        self._pool.submit(self._run_safely, request, call)

    def _stop(self, request: requests.Request) -> None:
        with self._lock:
            self._unblock(self._active.pop(request, None))

    def _unblock(self, connection: socket.socket | None) -> None:
        """Shut down a socket to unblock the thread that reads from it."""
        if connection is None:
            return
        with contextlib.suppress(OSError):
            connection.shutdown(socket.SHUT_RDWR)

    def _register_socket(self, connection: socket.socket) -> None:
        request = self._current.request
        with self._lock:
            if request in self._active:
                self._active[request] = connection
            else:
                self._unblock(connection)

    def _is_active(self, request: requests.Request) -> bool:
        with self._lock:
            return request in self._active

    def _run_safely(
        self, request: requests.Request, call: link_pb2.Call
    ) -> None:
        try:
            self._run(request, call)
        except Exception:
            logging.exception('internal error in a call to the service')
            code = outcomes.FailCode.INTERNAL
            detail = 'internal error of the agent in a call to the service'
            self._gate.fail(request, code, detail)

    def _run(self, request: requests.Request, call: link_pb2.Call) -> None:
        seconds = request.deadline - self._clock()
        if not self._is_active(request):
            return
        if seconds <= 0:
            code = outcomes.FailCode.DEADLINE
            self._gate.fail(
                request, code, 'the deadline has passed', ran=False
            )
            return
        headers = _build_headers(call)
        headers['Connection'] = 'close'
        self._current.request = request
        try:
            with self._connect() as pool:
                answer = pool.urlopen(
                    call.method,
                    self._path.rstrip('/') + call.path,
                    body=call.body or None,
                    headers=headers,
                    timeout=urllib3.Timeout(
                        connect=min(CONNECT_SECONDS, seconds),
                        read=seconds + DEADLINE_SLACK_SECONDS,
                    ),
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                )
                is_whole = self._forward(request, call, answer)
            if is_whole:
                self._gate.end(request)
            else:
                limit = bodies.MAX_SERVICE_ANSWER_BYTES
                self._gate.fail(
                    request,
                    outcomes.FailCode.TOO_LARGE,
                    f'the answer exceeds {limit} bytes',
                )
        except urllib3.exceptions.HTTPError as error:
            code = outcomes.FailCode.ENDPOINT_FAILED
            detail = type(error).__name__
            self._gate.fail(request, code, detail, ran=_may_have_run(error))
        finally:
            with self._lock:
                self._active.pop(request, None)

    def _forward(
        self,
        request: requests.Request,
        call: link_pb2.Call,
        answer: urllib3.BaseHTTPResponse,
    ) -> bool:
        """Forward an answer as it comes.

        Entries take no more of it than it is read here, and what callers
        would get that repeat the call is kept meanwhile.

        :returns: whether it has ended within the largest size
        """
        part = size = 0
        pending = bytearray()
        reply = link_pb2.Reply(status=answer.status)
        for name, value in _filter_headers(answer.headers.items()):
            reply.headers.add(name=name, value=value)
        for chunk in answer.stream(PART_BYTES, decode_content=False):
            # Small chunks would cost a frame each.
            pending += chunk
            size += len(chunk)
            is_too_large = size > bodies.MAX_SERVICE_ANSWER_BYTES
            if len(pending) >= PART_BYTES or is_too_large:
                reply.body = bytes(pending)
                self._send(request, call, reply, part)
                part += 1
                reply = link_pb2.Reply()
                pending.clear()
            if is_too_large:
                answer.close()
                return False
        reply.body = bytes(pending)
        reply.last = True
        self._send(request, call, reply, part)
        answer.release_conn()
        return True

    def _send(
        self,
        request: requests.Request,
        call: link_pb2.Call,
        reply: link_pb2.Reply,
        part: int,
    ) -> None:
        reply.request_id = request.request_id
        reply.epoch = call.epoch
        reply.part = part
        self._gate.send(request, link_pb2.Frame(reply=reply))
