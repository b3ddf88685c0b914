"""A WSGI application that runs a bounded number of requests at once."""

import collections
import functools
import http
import threading
from typing import Callable, Iterable

import attrs

from dunlintide_adapters import httppages
from dunlintide_core import thresholds

__all__ = [
    'JOIN',
    'Gate',
]

# Key of a function in the environment of a request: it counts the request
# to a group and tells whether the group may run another one now.
JOIN = 'dunlintide.join'

_PIECE_BYTES = 64 << 10


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


class Gate:
    """Runs at most so many requests at once and refuses the others.

    A group of requests may hold a multiple of what is free, so that none
    takes all threads.
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
        line = httppages.build_status_line(status)
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
