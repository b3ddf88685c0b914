"""Asyncio HTTP server that gives stand-ins control of the raw bytes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time
from urllib import parse

import attrs

__all__ = [
    'Channel',
    'Request',
    'build_head',
    'listen',
]

_DISCONNECT_POLL_SECONDS = 0.02


@attrs.frozen
class Request:
    """A request as received.

    :ivar target: path and query
    :ivar headers: headers by lower-case name
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        """Query parameters."""
        text = self.target.partition('?')[2]
        return dict(parse.parse_qsl(text, keep_blank_values=True))


class Channel:
    """Server side of a connection.

    :ivar closed: whether the server closed or reset the connection
    :ivar headers: headers added to each response
    :ivar late_answer: bytes that precede the next response, empty for none
    :ivar head_times: monotonic times at which heads were built, in seconds
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.closed = False
        self.headers: dict[str, str] = {}
        self.late_answer = b''
        self.head_times: list[float] = []

    async def send(self, data: bytes) -> None:
        """Send raw bytes."""
        self._writer.write(data)
        await self._writer.drain()

    def write(self, data: bytes) -> None:
        """Send raw bytes without waiting for the receiver."""
        self._writer.write(data)

    async def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a response with its Content-Length."""
        await self.send(self.build_head(status, headers, len(body)) + body)

    def build_head(
        self,
        status: int,
        headers: dict[str, str] | None,
        length: int | None,
        framed: bool = True,
    ) -> bytes:
        """Build the head of a response; chunked if the length is None.

        :param framed: whether the head tells how the body ends; otherwise it
            ends with the connection
        """
        self.head_times.append(time.monotonic())
        every = {**(headers or {}), **self.headers}
        return build_head(status, every, length, framed)

    def close(self) -> None:
        """Close the connection after the data sent so far."""
        self.closed = True
        self._writer.close()

    def reset(self) -> None:
        """Reset the connection."""
        self.closed = True
        self._writer.transport.abort()


def build_head(
    status: int,
    headers: dict[str, str | tuple[str, ...]] | None,
    length: int | None,
    framed: bool = True,
) -> bytes:
    """Build a response head; chunked if the length is None."""
    lines = [f'HTTP/1.1 {status} Status']
    for name, value in (headers or {}).items():
        # A header with several values is sent once for each of them.
        values = value if isinstance(value, tuple) else (value,)
        lines += [f'{name}: {each}' for each in values]
    if framed and length is None:
        lines.append('Transfer-Encoding: chunked')
    elif framed:
        lines.append(f'Content-Length: {length}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


Handler = Callable[[Request, Channel], Awaitable[None]]


async def _read(reader: asyncio.StreamReader) -> Request | None:
    head = await reader.readuntil(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').rstrip('\r\n').split('\r\n')
    method, target, _ = first.split(' ')
    headers = {}
    for line in rest:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', 0))
    body = await reader.readexactly(size) if size else b''
    return Request(method, target, headers, body)


async def _cancel_on_disconnect(
    reader: asyncio.StreamReader, task: asyncio.Task
) -> None:
    """Cancel a request's task when the caller closes or resets."""
    while not reader.at_eof() and reader.exception() is None:
        await asyncio.sleep(_DISCONNECT_POLL_SECONDS)
    task.cancel()


async def _serve(
    handle: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    channel = Channel(writer)
    try:
        while not channel.closed:
            request = await _read(reader)
            task = asyncio.ensure_future(handle(request, channel))
            watch = asyncio.ensure_future(_cancel_on_disconnect(reader, task))
            try:
                await task
            finally:
                watch.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await watch
    except (
        asyncio.CancelledError,
        asyncio.IncompleteReadError,
        OSError,
        ValueError,
    ):
        pass
    finally:
        writer.close()


async def listen(handle: Handler, port: int = 0) -> asyncio.Server:
    """Listen on the loopback interface.

    :param port: port, 0 for a free one
    """

    async def serve(reader, writer):
        await _serve(handle, reader, writer)

    return await asyncio.start_server(serve, '127.0.0.1', port)
