"""WSGI middleware that limits the number of concurrent requests."""

import collections
import functools
import http
import threading
from typing import Callable, Iterable

import attrs

from dunlintide_adapters import httppages
from dunlintide_core import thresholds

__all__ = [
    'JOIN_GROUP',
    'RequestLimiter',
]

# Environment key of a function that assigns the request to a group, and
# returns whether the group may run another request now.
JOIN_GROUP = 'dunlintide.join'

_MAX_CHUNK_BYTES = 64 << 10


class _Body:
    """Body of an answer, split into chunks of bounded size.

    waitress buffers a chunk of any size once its output buffer is below the
    high watermark, so large chunks would exceed it.
    """

    def __init__(
        self, chunks: Iterable[bytes], release: Callable[[], None]
    ) -> None:
        self._chunks = chunks
        self._release = release

    def __iter__(self):
        for chunk in self._chunks:
            if len(chunk) <= _MAX_CHUNK_BYTES:
                yield chunk
                continue
            for start in range(0, len(chunk), _MAX_CHUNK_BYTES):
                yield chunk[start : start + _MAX_CHUNK_BYTES]

    def __len__(self) -> int:
        # When this is 1, waitress derives Content-Length from the first
        # chunk; it ignores any other value.
        chunks = self._chunks
        if isinstance(chunks, (list, tuple)) and len(chunks) == 1:
            return 1 if len(chunks[0]) <= _MAX_CHUNK_BYTES else 0
        return 0

    def close(self) -> None:
        try:
            close = getattr(self._chunks, 'close', None)
            if close is not None:
                close()
        finally:
            self._release()


@attrs.define(eq=False)
class _RunningRequest:
    """A running request and its group, empty before it joins one."""

    group: str = ''


class RequestLimiter:
    """Refuses requests above a concurrency limit with status 503.

    A group of requests can use at most a multiple of the free slots, so that
    no group takes all threads.
    """

    def __init__(
        self,
        app: Callable,
        limit: int,
        render: Callable[[int, str], httppages.ErrorPage],
    ) -> None:
        self.in_flight = 0
        self._app = app
        self._limit = limit
        self._render = render
        self._lock = threading.Lock()
        self._groups: collections.Counter[str] = collections.Counter()

    def _acquire(self) -> bool:
        with self._lock:
            if self.in_flight >= self._limit:
                return False
            self.in_flight += 1
            return True

    def _join_group(self, request: _RunningRequest, group: str) -> bool:
        with self._lock:
            free = self._limit - self.in_flight
            # The request already holds a slot, which counts as free here.
            if not thresholds.admits(self._groups[group], free + 1):
                return False
            request.group = group
            self._groups[group] += 1
            return True

    def _release_slot(self, request: _RunningRequest) -> None:
        with self._lock:
            self.in_flight -= 1
            if not request.group:
                return
            self._groups[request.group] -= 1
            if not self._groups[request.group]:
                del self._groups[request.group]

    def _refuse(self, start_response: Callable) -> list[bytes]:
        status = http.HTTPStatus.SERVICE_UNAVAILABLE
        page = self._render(status, 'too many requests in flight')
        length = ('Content-Length', str(len(page.body)))
        line = httppages.build_status_line(status)
        start_response(line, [*page.headers, length])
        return [page.body]

    def __call__(self, environ: dict, start_response: Callable):
        if not self._acquire():
            return self._refuse(start_response)
        request = _RunningRequest()
        environ[JOIN_GROUP] = functools.partial(self._join_group, request)
        try:
            chunks = self._app(environ, start_response)
        except BaseException:
            self._release_slot(request)
            raise
        return _Body(chunks, functools.partial(self._release_slot, request))
