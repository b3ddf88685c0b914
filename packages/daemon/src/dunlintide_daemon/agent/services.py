"""Calls of a plain service beside the agent.

A bounded pool of threads calls the service; what waits does so in the
gate's fair queue. No call is ever repeated here.
"""

from concurrent import futures
import contextlib
import socket
import threading
import time
from typing import Callable, Iterator

from absl import logging
import urllib3

from dunlintide_adapters import hopheaders
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import outcomes
from dunlintide_daemon.agent import gate as gates
from dunlintide_daemon.agent import works

__all__ = [
    'Services',
]

PART_BYTES = 256 << 10
CONNECT_SECONDS = 2.0
# The gate ends a call at its deadline, as such; a time limit of the
# connection would race with it and look like the service's failure.
SLACK_SECONDS = 5.0
BYTES_PER_COST = 1024.0
CALL_COST = 64.0

# The length and the host are set anew.
_SET_ANEW = frozenset(('content-length', 'host'))
# Set from the terms; a caller's own ones would be lies. Its bearer key is
# no business of the service's.
_OWN = frozenset(
    (
        'authorization',
        'dunlintide-member',
        'idempotency-key',
        'x-request-id',
    )
)


def _strip(
    headers: Iterator[tuple[str, str]], also: frozenset[str] = frozenset()
) -> list[tuple[str, str]]:
    pairs = [(name, value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == 'connection'
        for token in value.split(',')
    }
    dropped = hopheaders.HOP_BY_HOP | _SET_ANEW | also | named
    return [pair for pair in pairs if pair[0].lower() not in dropped]


def _build_headers(call: link_pb2.Call) -> urllib3.HTTPHeaderDict:
    given = ((header.name, header.value) for header in call.headers)
    headers = urllib3.HTTPHeaderDict()
    for name, value in _strip(given, _OWN):
        headers.add(name, value)
    headers['X-Request-Id'] = call.terms.request_id
    headers['Dunlintide-Member'] = call.terms.team
    if call.terms.idempotency_key:
        headers['Idempotency-Key'] = call.terms.idempotency_key
    return headers


def _has_run(error: urllib3.exceptions.HTTPError) -> bool:
    """Return whether the service may have acted on a failed call."""
    never_connected = (
        urllib3.exceptions.ConnectTimeoutError,
        urllib3.exceptions.NewConnectionError,
    )
    return not isinstance(error, never_connected)


def _watch(
    kind: type[urllib3.connection.HTTPConnection],
    take: Callable[[socket.socket], None],
) -> type[urllib3.connection.HTTPConnection]:
    """Return a kind of connection that hands on its socket once open."""

    class Watched(kind):
        def connect(self) -> None:
            super().connect()
            take(self.sock)

    return Watched


class Services:
    """Threads that call one service."""

    def __init__(
        self,
        url: str,
        threads: int,
        gate: gates.Gate,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Prepare the pool; connections open on demand.

        :param url: base address of the service
        :param threads: calls under way at most
        """
        self._gate = gate
        self._clock = clock
        self._pool = futures.ThreadPoolExecutor(threads, 'service')
        self._url = url
        self._path = urllib3.util.parse_url(url).path or ''
        self._lock = threading.Lock()
        # Calls that are wanted, with their connections once these are open.
        self._wanted: dict[works.Work, socket.socket | None] = {}
        self._current = threading.local()

    def close(self) -> None:
        """Wait for the calls under way."""
        self._pool.shutdown()

    def _connect(self) -> urllib3.HTTPConnectionPool:
        """Make a pool for one call.

        A kept connection may have gone silent, or be closed by the
        service, with or without a word, just as it is used; on the same
        host a new one is cheap.
        """
        pool = urllib3.connection_from_url(self._url, maxsize=1, retries=False)
        pool.ConnectionCls = _watch(pool.ConnectionCls, self._take_socket)
        return pool

    def call(self, link: links.Link, call: link_pb2.Call) -> None:
        """Take in a call for the service."""
        terms = call.terms
        subscriber = works.Subscriber(link, terms.request_id, call.epoch)
        claim = call.claim if call.HasField('claim') else None
        work = works.Work(
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
        self._gate.open(work, claim, subscriber)

    def _start(self, work: works.Work, call: link_pb2.Call) -> None:
        with self._lock:
            self._wanted[work] = None
        self._pool.submit(self._run_safely, work, call)

    def _stop(self, work: works.Work) -> None:
        with self._lock:
            self._shut(self._wanted.pop(work, None))

    def _shut(self, opened: socket.socket | None) -> None:
        """Unblock the thread that waits for an answer nobody wants."""
        if opened is None:
            return
        with contextlib.suppress(OSError):
            opened.shutdown(socket.SHUT_RDWR)

    def _take_socket(self, opened: socket.socket) -> None:
        work = self._current.work
        with self._lock:
            if work in self._wanted:
                self._wanted[work] = opened
            else:
                self._shut(opened)

    def _is_wanted(self, work: works.Work) -> bool:
        with self._lock:
            return work in self._wanted

    def _run_safely(self, work: works.Work, call: link_pb2.Call) -> None:
        try:
            self._run(work, call)
        except Exception:
            logging.exception('call failed')
            code = outcomes.FailCode.INTERNAL
            self._gate.fail(work, code, 'the call failed')

    def _run(self, work: works.Work, call: link_pb2.Call) -> None:
        seconds = work.deadline - self._clock()
        if not self._is_wanted(work):
            return
        if seconds <= 0:
            code = outcomes.FailCode.DEADLINE
            self._gate.fail(work, code, 'the deadline has passed', ran=False)
            return
        headers = _build_headers(call)
        headers['Connection'] = 'close'
        self._current.work = work
        try:
            with self._connect() as pool:
                answer = pool.urlopen(
                    call.method,
                    self._path.rstrip('/') + call.path,
                    body=call.body or None,
                    headers=headers,
                    timeout=urllib3.Timeout(
                        connect=min(CONNECT_SECONDS, seconds),
                        read=seconds + SLACK_SECONDS,
                    ),
                    redirect=False,
                    preload_content=False,
                    decode_content=False,
                )
                self._forward(work, call, answer)
            self._gate.end(work)
        except urllib3.exceptions.HTTPError as error:
            code = outcomes.FailCode.ENDPOINT_FAILED
            detail = type(error).__name__
            self._gate.fail(work, code, detail, ran=_has_run(error))
        finally:
            with self._lock:
                self._wanted.pop(work, None)

    def _forward(
        self,
        work: works.Work,
        call: link_pb2.Call,
        answer: urllib3.BaseHTTPResponse,
    ) -> None:
        part = 0
        reply = link_pb2.Reply(status=answer.status)
        for name, value in _strip(answer.headers.items()):
            reply.headers.add(name=name, value=value)
        for chunk in answer.stream(PART_BYTES, decode_content=False):
            reply.body = chunk
            self._send(work, call, reply, part)
            part += 1
            reply = link_pb2.Reply()
        reply.last = True
        self._send(work, call, reply, part)
        answer.release_conn()

    def _send(
        self,
        work: works.Work,
        call: link_pb2.Call,
        reply: link_pb2.Reply,
        part: int,
    ) -> None:
        reply.request_id = work.request_id
        reply.epoch = call.epoch
        reply.part = part
        self._gate.send(work, link_pb2.Frame(reply=reply))
