"""Watches on the platform's store, reopened after an end or silence."""

import contextlib
import enum
import random
import threading
from typing import Callable, Iterable, Iterator

import attrs
import msgspec
import urllib3

from dunlintide_adapters import gateway
from dunlintide_adapters import storefailures

__all__ = [
    'WatchEvent',
    'WatchKind',
    'WatchTiming',
    'Watcher',
]

_MAX_MESSAGE_BYTES = 8 << 20
_READ_BYTES = 64 << 10
_OK = 'ok'


class WatchKind(enum.StrEnum):
    """Kind of an event of a watch."""

    OPENED = 'opened'
    PUT = 'put'
    DELETE = 'delete'


@attrs.frozen
class WatchEvent:
    """An event of a watch.

    ``OPENED`` is reported for each new connection. Changes before it may
    have been missed, so the receiver has to read the watched keys. The
    revision may be lower than earlier ones if the store was restored.

    :ivar revision: revision of the change; for ``OPENED``, of the store
    """

    kind: WatchKind
    revision: int
    key: str = ''
    value: bytes = b''


@attrs.frozen
class WatchTiming:
    """Time constants of a watch, in seconds.

    :ivar silence: time without data after which a watch is reopened
    :ivar reconnect: longest pause before a watch is reopened
    """

    silence: float = 15.0
    reconnect: float = 1.0


def _make_event(event: gateway.Event) -> WatchEvent:
    pair = event.kv
    kind = WatchKind.DELETE if event.type == 'DELETE' else WatchKind.PUT
    key = pair.key.decode(errors='replace')
    return WatchEvent(kind, pair.mod_revision, key, pair.value)


def _split_lines(chunks: Iterable[bytes]) -> Iterator[bytes]:
    partial = bytearray()
    for chunk in chunks:
        first, *others = chunk.split(b'\n')
        partial += first
        for line in others:
            if partial:
                yield bytes(partial)
            partial = bytearray(line)
        if len(partial) > _MAX_MESSAGE_BYTES:
            raise urllib3.exceptions.ProtocolError('watch message too large')


class Watcher:
    """Keeps watches open and reports their events."""

    def __init__(
        self,
        pool: urllib3.HTTPConnectionPool,
        timing: WatchTiming,
        count: Callable[[str], None],
    ) -> None:
        """Create a watcher; ``watch`` opens connections.

        :param pool: connections used for watches only
        :param count: called with the outcome of each connection
        """
        self._pool = pool
        self._timing = timing
        self._count = count
        self._lock = threading.Lock()
        self._streams: set[urllib3.BaseHTTPResponse] = set()

    def watch(
        self,
        prefix: str,
        start_revision: int,
        on_event: Callable[[WatchEvent], None],
        stop: threading.Event,
    ) -> None:
        """Report changes below a prefix until ``stop`` is set.

        Blocks; see ``Store.watch``.
        """
        while not stop.is_set():
            outcome = self._watch_once(prefix, start_revision, on_event, stop)
            self._count(outcome)
            start_revision = 0
            if outcome != storefailures.FailureKind.TIMEOUT:
                max_pause = self._timing.reconnect
                stop.wait(max_pause * random.uniform(0.1, 1.0))

    def interrupt(self) -> None:
        """Close open watches; each is reopened unless it was stopped."""
        with self._lock:
            streams = list(self._streams)
        for stream in streams:
            # The stream may have ended meanwhile.
            with contextlib.suppress(OSError, ValueError, RuntimeError):
                stream.shutdown()

    def _watch_once(
        self,
        prefix: str,
        start_revision: int,
        on_event: Callable[[WatchEvent], None],
        stop: threading.Event,
    ) -> str:
        try:
            with self._open(prefix, start_revision) as stream:
                if stream.status != 200:
                    return storefailures.FailureKind.REFUSED
                if not stop.is_set():
                    self._read(stream, on_event, stop)
        except (
            urllib3.exceptions.HTTPError,
            msgspec.MsgspecError,
            RecursionError,
        ) as error:
            return storefailures.classify_error(error, False).kind
        return _OK

    @contextlib.contextmanager
    def _open(
        self, prefix: str, start_revision: int
    ) -> Iterator[urllib3.BaseHTTPResponse]:
        stream = self._pool.request(
            'POST',
            '/v3/watch',
            body=gateway.build_watch(prefix, start_revision),
            preload_content=False,
            pool_timeout=self._timing.silence,
            timeout=urllib3.Timeout(
                connect=self._pool.timeout.connect_timeout,
                read=self._timing.silence,
            ),
        )
        with self._lock:
            self._streams.add(stream)
        try:
            yield stream
        finally:
            with self._lock:
                self._streams.discard(stream)
            # The response is not read to its end, so the connection cannot
            # be reused.
            stream.close()
            stream.release_conn()

    def _read(
        self,
        stream: urllib3.BaseHTTPResponse,
        on_event: Callable[[WatchEvent], None],
        stop: threading.Event,
    ) -> None:
        for line in _split_lines(stream.stream(_READ_BYTES)):
            message = gateway.decode(line, gateway.WatchMessage).result
            if stop.is_set() or message.canceled:
                return
            if message.created:
                revision = message.header.revision
                on_event(WatchEvent(WatchKind.OPENED, revision))
            for event in message.events:
                on_event(_make_event(event))
