"""Connections of clients that block, with answers bounded, whole and valid.

The timeout of a read bounds neither the time nor the size of an answer: bytes
may go on arriving. The HTTP library bounds a line and the number of header
fields, but not the number of interim answers or trailers. It also takes the
end of the connection for the end of a head, and so a part of an answer for a
whole one. Of header lines it drops all behind one that it can't read. So each
line is checked before the library sees it.
"""

import contextlib
import enum
import functools
import http.client
import io
import socket
import time

import urllib3
from urllib3 import connection as connections

from dunlintide_adapters import answersyntax

__all__ = ['build_pool']

# Longest time of an answer, in timeouts of one read. A stream has it for its
# head only.
ANSWER_READS = 4
# Bytes of heads, chunk headers and trailers that an answer may have, beside
# one for so many other bytes: small chunks cost much processor time.
MAX_LINE_BYTES = 64 << 10
BYTES_PER_LINE_BYTE = 16
STREAM_BYTES_PER_LINE_BYTE = 2
_LINE_ENDS = (b'\r\n', b'\n')
_CHUNK_END = b'\r\n'

_CONNECTIONS = {
    'http': connections.HTTPConnection,
    'https': connections.HTTPSConnection,
}


class _Input(io.RawIOBase):
    """Bytes of one answer, up to a time.

    :ivar received: bytes so far
    :ivar expires: monotonic time in seconds, None for no limit
    """

    def __init__(self, raw: io.RawIOBase, connection: socket.socket) -> None:
        self._raw = raw
        self._socket = connection
        self._timeout = connection.gettimeout()
        self.received = 0
        self.expires = None
        if self._timeout is not None:
            self.expires = time.monotonic() + ANSWER_READS * self._timeout

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: memoryview) -> int | None:
        with contextlib.ExitStack() as stack:
            if self.expires is not None:
                left = self.expires - time.monotonic()
                if left <= 0.0:
                    raise TimeoutError('the answer takes too long')
                if left < self._timeout:
                    # Another request may be sent on the connection.
                    stack.callback(self._socket.settimeout, self._timeout)
                    self._socket.settimeout(left)
            size = self._raw.readinto(buffer)
        self.received += size or 0
        return size

    def close(self) -> None:
        self._raw.close()
        super().close()


class _Line(enum.Enum):
    """Line that comes next in an answer; trailers are fields too."""

    STATUS = enum.auto()
    FIELD = enum.auto()
    CHUNK = enum.auto()


class _Reader(io.BufferedReader):
    """Reads the lines of an answer, which are all that is not its body."""

    def __init__(self, raw: _Input, ratio: int) -> None:
        super().__init__(raw)
        self._ratio = ratio
        self._line_bytes = 0
        self._next = _Line.STATUS
        # Bytes of a chunk, with its end, that have not been read.
        self._chunk_left = 0

    def expect_status(self) -> None:
        """Expect another head, behind that of an interim answer."""
        self._next = _Line.STATUS

    def readline(self, size: int | None = -1) -> bytes:
        line = super().readline(size)
        is_longest = size is not None and 0 <= size == len(line)
        if self.raw.received and not (line.endswith(b'\n') or is_longest):
            raise http.client.IncompleteRead(line)
        self._line_bytes += len(line)
        rest = self.raw.received - self._line_bytes
        if self._line_bytes > MAX_LINE_BYTES + rest // self._ratio:
            raise http.client.HTTPException('more besides a body than allowed')
        if line:
            self._check_line(line)
        return line

    def _check_line(self, line: bytes) -> None:
        """Check a line.

        :raises http.client.HTTPException: if it is malformed
        """
        fault = None
        if self._next is _Line.STATUS:
            fault = answersyntax.find_status_line_fault(line)
            self._next = _Line.FIELD
        elif self._next is _Line.CHUNK:
            size = answersyntax.parse_chunk_size(line)
            if size is None:
                fault = 'an invalid chunk size'
            elif size:
                self._chunk_left = size + len(_CHUNK_END)
            else:
                self._next = _Line.FIELD
        elif line in _LINE_ENDS:
            self._next = _Line.CHUNK
        else:
            fault = answersyntax.find_field_fault(line)
        if fault is not None:
            raise http.client.HTTPException(fault)

    def read(self, size: int | None = -1) -> bytes:
        return self._check_chunk_end(super().read(size))

    def read1(self, size: int = -1) -> bytes:
        return self._check_chunk_end(super().read1(size))

    def readinto(self, buffer: memoryview) -> int | None:
        size = super().readinto(buffer)
        self._check_chunk_end(memoryview(buffer)[: size or 0])
        return size

    def _check_chunk_end(self, data: bytes) -> bytes:
        """Check the part of the end of a chunk in what was read of it.

        :raises http.client.HTTPException: if it is malformed
        """
        if self._chunk_left and data:
            self._chunk_left -= len(data)
            past = min(len(data), len(_CHUNK_END) - self._chunk_left)
            if past > 0:
                end = _CHUNK_END[: len(_CHUNK_END) - self._chunk_left]
                if bytes(data[-past:]) != end[-past:]:
                    raise http.client.HTTPException('a chunk without its end')
        return data


class _Answer(http.client.HTTPResponse):
    """An answer whose head, body and trailers have an end."""

    ratio = BYTES_PER_LINE_BYTE

    def __init__(self, connection: socket.socket, *args, **options) -> None:
        super().__init__(connection, *args, **options)
        self.fp = _Reader(_Input(self.fp.detach(), connection), self.ratio)

    def begin(self) -> None:
        """Read the head.

        :raises http.client.HTTPException: if it is malformed
        """
        super().begin()
        fault = answersyntax.find_framing_fault(self.headers.items())
        if fault is not None:
            raise http.client.HTTPException(fault)

    def _read_status(self) -> tuple[str, int, str]:
        """Read the status line behind interim answers of all kinds.

        The library skips 100 only; the answer behind another one would be
        taken for that to the next request.
        """
        while True:
            self.fp.expect_status()
            version, status, reason = super()._read_status()
            if status >= http.HTTPStatus.OK:
                return version, status, reason
            http.client.parse_headers(self.fp)


class _Stream(_Answer):
    """An answer whose body may go on for any time."""

    ratio = STREAM_BYTES_PER_LINE_BYTE

    def begin(self) -> None:
        super().begin()
        if self.fp is not None:
            self.fp.raw.expires = None


@functools.cache
def _bind(scheme: str, is_stream: bool) -> type:
    """Return the class of connections of a pool."""
    base = _CONNECTIONS[scheme]
    answer = _Stream if is_stream else _Answer
    return type(base.__name__, (base,), {'response_class': answer})


def build_pool(
    url: str, is_stream: bool = False, **options
) -> urllib3.HTTPConnectionPool:
    """Return a pool of connections that bound their answers.

    :param url: base URL of the server
    :param is_stream: whether bodies may go on for any time
    :param options: those of the library's pool
    """
    pool = urllib3.connection_from_url(url, retries=False, **options)
    pool.ConnectionCls = _bind(pool.scheme, is_stream)
    return pool
