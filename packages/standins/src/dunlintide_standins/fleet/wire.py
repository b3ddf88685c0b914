"""HTTP on an event loop whose every byte a stand-in can spoil."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
from urllib import parse

import attrs

__all__ = [
    'Channel',
    'Request',
    'listen',
]

# How often an answering side looks whether its caller is gone, in seconds.
_DISCONNECT_POLL_SECONDS = 0.02


@attrs.frozen
class Request:
    """One request as it was received.

    :ivar headers: by lower-case name
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
    """The answering side of one connection.

    :ivar headers: added to the head of each answer
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.closed = False
        self.headers: dict[str, str] = {}

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self,
        status: int,
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> None:
        """Send a whole answer with its length."""
        await self.send(self.build_head(status, headers, len(body)) + body)

    def build_head(
        self, status: int, headers: dict[str, str] | None, length: int | None
    ) -> bytes:
        """Write the head of an answer; no length means chunks."""
        return build_head(status, {**(headers or {}), **self.headers}, length)

    def close(self) -> None:
        """Close behind what was sent."""
        self.closed = True
        self._writer.close()

    def reset(self) -> None:
        """Break the connection."""
        self.closed = True
        self._writer.transport.abort()


def build_head(
    status: int, headers: dict[str, str] | None, length: int | None
) -> bytes:
    """Write a head; no length means chunks."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    if length is None:
        lines.append('Transfer-Encoding: chunked')
    else:
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
    """Cancel an answer when its caller closes the connection."""
    while not reader.at_eof():
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
    """Listen on loopback.

    :param port: 0 for a free one
    """

    async def serve(reader, writer):
        await _serve(handle, reader, writer)

    return await asyncio.start_server(serve, '127.0.0.1', port)
