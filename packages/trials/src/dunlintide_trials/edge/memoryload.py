"""Callers that make an entry hold what they may, on an event loop."""

import asyncio
import contextlib
import itertools
import random
import time
from typing import AsyncIterator, Awaitable, Callable

import attrs

from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import stopload

__all__ = [
    'BODY_BYTES',
    'Crowd',
    'HEAD_BYTES',
    'SMALL_SERVICE',
    'WAYS',
    'Way',
    'ask_once',
    'ask_repeatable',
    'call_small',
    'send_ahead',
    'send_chunks',
    'stop_halfway',
]

# Largest body of a caller, in bytes.
BODY_BYTES = 4 << 20
# Body that an endpoint sends, and padding of each of its events, in bytes.
ANSWER_BYTES = 8 << 20
EVENT_BYTES = 60 << 10
STREAM_EVENTS = 100
# Largest head of a request, in bytes.
HEAD_BYTES = 16384
# Time from which callers neither send nor read, in seconds.
IDLE_SECONDS = 2.0
# Longest time for which a caller waits for an answer, in seconds.
ANSWER_SECONDS = 30.0
CONNECT_SECONDS = 5.0
# Bytes that are sent before other callers have their turn.
BLOCK_BYTES = 64 << 10
# Service of its own for small calls, as large ones hold the others' slots.
SMALL_SERVICE = 'small'
# Pause between two small calls, in seconds.
PAUSE_SECONDS = 0.05

_BODY = bytes(BODY_BYTES)
_numbers = itertools.count(1)


@attrs.frozen
class Crowd:
    """Callers that come to one entry at once.

    :ivar entry: name of the entry
    :ivar address: where it listens
    :ivar key: API key of the callers
    :ivar count: number of callers
    :ivar work: seconds that an endpoint takes for a call
    :ivar sent: gets each request once it is sent whole
    """

    entry: str
    address: str
    key: str
    count: int
    work: float
    sent: list[stopload.Sent]

    def make(self, path: str) -> stopload.Sent:
        """Make a request that is not sent yet."""
        name = f'm-{next(_numbers)}'
        return stopload.Sent(name, self.entry, path, ANSWER_SECONDS)

    def build(self, request: stopload.Sent, **headers: str) -> bytes:
        """Return the head of a request with a body of the largest size."""
        fields = {
            'Content_Length': str(BODY_BYTES),
            'Work_Ms': str(int(self.work * 1000)),
            **headers,
        }
        return callers.build_request(
            request.name, request.path, key=self.key, **fields
        )


# Lets one caller of a crowd hold what it may.
Way = Callable[[Crowd, random.Random], Awaitable[None]]


@contextlib.asynccontextmanager
async def _connect(
    address: str,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    host, _, port = address.rpartition(':')
    async with asyncio.timeout(CONNECT_SECONDS):
        reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def _read_chunks(reader: asyncio.StreamReader) -> None:
    while size := int(await reader.readuntil(b'\r\n'), 16):
        await reader.readexactly(size + 2)
    await reader.readexactly(2)


async def _read(reader: asyncio.StreamReader, request: stopload.Sent) -> None:
    """Read the answer to a request, and note its end."""
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
            first, *lines = text.lower().strip().split('\r\n')
            pairs = (line.partition(':')[::2] for line in lines)
            fields = {name: value.strip() for name, value in pairs}
            request.status = int(first.split()[1])
            if 'retry-after' in fields:
                request.retry_after = float(fields['retry-after'])
            if fields.get('transfer-encoding') == 'chunked':
                await _read_chunks(reader)
            else:
                await reader.readexactly(int(fields['content-length']))
        request.is_whole = True
    except (OSError, EOFError, TimeoutError):
        pass
    finally:
        request.ended = time.monotonic()


async def _send(
    writer: asyncio.StreamWriter, head: bytes, body: bytes
) -> None:
    writer.write(head)
    view = memoryview(body)
    for start in range(0, len(view), BLOCK_BYTES):
        writer.write(view[start : start + BLOCK_BYTES])
        await writer.drain()


async def _exchange(
    crowd: Crowd,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    request: stopload.Sent,
    head: bytes,
    body: bytes,
) -> None:
    """Send a request, and read its answer even before it is sent whole."""

    async def send() -> None:
        with contextlib.suppress(OSError):
            await _send(writer, head, body)
            request.sent = time.monotonic()

    sending = asyncio.create_task(send())
    try:
        await _read(reader, request)
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        # One that is refused at its head is never sent whole.
        if request.sent or request.status:
            request.sent = request.sent or request.ended
            crowd.sent.append(request)


async def _ask_at_once(crowd: Crowd, path: str) -> None:
    request = crowd.make(path)
    async with _connect(crowd.address) as (reader, writer):
        head = crowd.build(request)
        await _exchange(crowd, reader, writer, request, head, _BODY)


async def ask_once(crowd: Crowd, rng: random.Random) -> None:
    """Send a large body that may run once."""
    await _ask_at_once(crowd, '/orders/x')


async def ask_repeatable(crowd: Crowd, rng: random.Random) -> None:
    """Send a large body that may run again."""
    await _ask_at_once(crowd, '/lists/x')


async def keep_connection(crowd: Crowd, rng: random.Random) -> None:
    """Send a large body within some time, and keep the connection."""
    await asyncio.sleep(rng.uniform(0.0, IDLE_SECONDS))
    request = crowd.make('/orders/x')
    async with _connect(crowd.address) as (reader, writer):
        head = crowd.build(request, Work_Ms='0')
        await _exchange(crowd, reader, writer, request, head, _BODY)
        await asyncio.sleep(IDLE_SECONDS)


async def send_chunks(crowd: Crowd, rng: random.Random) -> None:
    """Send a large body in chunks, of which the head tells no size."""
    request = crowd.make('/lists/x')
    async with _connect(crowd.address) as (reader, writer):
        head = crowd.build(request).replace(
            b'Content-Length: %d' % BODY_BYTES, b'Transfer-Encoding: chunked'
        )
        body = b'%x\r\n%b\r\n0\r\n\r\n' % (BODY_BYTES, _BODY)
        await _exchange(crowd, reader, writer, request, head, body)


async def stop_halfway(crowd: Crowd, rng: random.Random) -> None:
    """Send all of a large body but a part of it, and wait."""
    request = crowd.make('/orders/x')
    most = rng.choice((1, BODY_BYTES // 2, BODY_BYTES - 1))
    async with _connect(crowd.address) as (reader, writer):
        with contextlib.suppress(OSError):
            await _send(writer, crowd.build(request), _BODY[:most])
        await _read(reader, request)


async def send_part_of_head(crowd: Crowd, rng: random.Random) -> None:
    """Send a large head without its end, and wait."""
    request = crowd.make('/orders/x')
    async with _connect(crowd.address) as (reader, writer):
        head = crowd.build(request, X_Filler='x' * (HEAD_BYTES - 1000))
        writer.write(head[:-2])
        await _read(reader, request)


async def send_ahead(crowd: Crowd, rng: random.Random) -> None:
    """Send small requests before and behind a large one, at once."""
    asked = [crowd.make('/orders/x') for _ in range(4)]
    async with _connect(crowd.address) as (reader, writer):
        for place, request in enumerate(asked):
            body = _BODY if place == 2 else b'small'
            size = str(len(body))
            head = crowd.build(request, Content_Length=size)
            try:
                async with asyncio.timeout(ANSWER_SECONDS):
                    await _send(writer, head, body)
            except (OSError, TimeoutError):
                break
            request.sent = time.monotonic()
        for place, request in enumerate(asked):
            # Behind a refusal the connection closes.
            if place and not asked[place - 1].is_whole:
                break
            await _read(reader, request)
            if request.sent and (place < 2 or request.status):
                crowd.sent.append(request)
            if request.status == 503:
                break


async def leave_unread(crowd: Crowd, rng: random.Random) -> None:
    """Ask for a large answer and read it late."""
    request = crowd.make('/lists/x')
    head = crowd.build(
        request, Content_Length='0', Answer_Bytes=str(ANSWER_BYTES)
    )
    await _read_late(crowd, request, head)


async def leave_stream_unread(crowd: Crowd, rng: random.Random) -> None:
    """Ask for a stream of large events and read it late."""
    request = crowd.make('/copy/x')
    head = callers.build_stream(
        request.name,
        STREAM_EVENTS,
        key=crowd.key,
        body=b'',
        Event_Bytes=str(EVENT_BYTES),
    )
    await _read_late(crowd, request, head)


async def _read_late(
    crowd: Crowd, request: stopload.Sent, head: bytes
) -> None:
    async with _connect(crowd.address) as (reader, writer):
        writer.transport.pause_reading()
        writer.write(head)
        request.sent = time.monotonic()
        await asyncio.sleep(IDLE_SECONDS)
        writer.transport.resume_reading()
        await _read(reader, request)
        crowd.sent.append(request)


WAYS: tuple[Way, ...] = (
    ask_once,
    ask_repeatable,
    keep_connection,
    send_chunks,
    stop_halfway,
    send_part_of_head,
    send_ahead,
    leave_unread,
    leave_stream_unread,
)


async def call_small(crowd: Crowd) -> None:
    """Send small calls, each on a new connection, until cancelled."""
    tasks = set()

    async def call() -> None:
        request = crowd.make(f'/{SMALL_SERVICE}/x')
        head = callers.build_request(
            request.name,
            request.path,
            key=operators.OTHER_KEY,
            Work_Ms='10',
        )
        with contextlib.suppress(OSError, TimeoutError):
            async with _connect(crowd.address) as (reader, writer):
                writer.write(head)
                request.sent = time.monotonic()
                await _read(reader, request)
        crowd.sent.append(request)

    try:
        while True:
            task = asyncio.create_task(call())
            tasks.add(task)
            task.add_done_callback(tasks.discard)
            await asyncio.sleep(PAUSE_SECONDS)
    finally:
        await asyncio.gather(*tasks, return_exceptions=True)
