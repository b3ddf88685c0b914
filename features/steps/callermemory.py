"""Steps for the bytes that callers and endpoints make a process hold."""

import asyncio
import pathlib
import time

import attrs
import behave
from dunlintide_adapters import callerhttp
from dunlintide_adapters import callermessages
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import bytebudget
from dunlintide_trials import processes

MB = 1 << 20
BODY = bytes(4 * MB)
LIMIT_BYTES = 64 * MB
HEADER_SECONDS = 1.5
HEAD_SLACK_BYTES = 100
IDLE_SECONDS = 1.0
LIMITS = callermessages.RequestLimits(8000, len(BODY), HEADER_SECONDS, 20.0)
SERVE_SECONDS = 0.3
WAIT_SECONDS = 20.0


def _note_memory(context):
    # What earlier scenarios took at most would hide what this one takes.
    pathlib.Path('/proc/self/clear_refs').write_text('5')
    context.memory = processes.read_peak_memory('self')


async def _listen(seconds, **more):
    async def handle(request, reply):
        await asyncio.sleep(seconds)
        reply.send(callermessages.Head(200), b'%d' % len(request.body))

    server = callerhttp.CallerServer(handle, LIMITS, lambda *_: None, **more)
    return server, await server.listen('127.0.0.1', 0)


def _build_head(path='/large', size=len(BODY)):
    return b'POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n' % (
        path.encode(),
        size,
    )


async def _read_answer(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    return int(head.split()[1]), head.lower()


@behave.when(
    '{count:d} callers send a body of 4 MB each in turn and keep their'
    ' connection'
)
def send_in_turn(context, count):
    _note_memory(context)
    context.answers = []

    async def run():
        server, port = await _listen(0.0)
        kept = []
        for _ in range(count):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            kept.append(writer)
            writer.write(_build_head())
            for start in range(0, len(BODY), MB):
                writer.write(BODY[start : start + MB])
                await writer.drain()
            context.answers.append(await _read_answer(reader))
        for writer in kept:
            writer.close()
        server.close()

    asyncio.run(run())


@behave.then('all are served and the process has grown by at most {size:d} MB')
def check_turns(context, size):
    assert {status for status, _ in context.answers} == {200}
    context.execute_steps(f'Then the process has grown by at most {size} MB')


async def _send_large(port, how):
    """Send a large body and return the status and head of the answer."""
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    rest = memoryview(BODY)
    if how == 'in chunks':
        head = b'POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked'
        writer.write(head + b'\r\n\r\n%x\r\n' % len(BODY))
    else:
        writer.write(_build_head())
    if how == 'but a last byte':
        rest = rest[:-1]

    async def pour():
        for start in range(0, len(rest), 16 << 10):
            writer.write(rest[start : start + (16 << 10)])
            await writer.drain()
        if how == 'in chunks':
            writer.write(b'\r\n0\r\n\r\n')

    pouring = asyncio.create_task(pour())
    try:
        return await _read_answer(reader)
    finally:
        pouring.cancel()
        await asyncio.gather(pouring, return_exceptions=True)
        writer.close()


async def _send_small(port):
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    writer.write(_build_head('/small', 100) + bytes(100))
    status, _ = await _read_answer(reader)
    writer.close()
    return status


@behave.when(
    '{count:d} callers send bodies of 4 MB {how} and others small ones'
)
def send_at_once(context, count, how):
    _note_memory(context)

    async def run():
        server, port = await _listen(SERVE_SECONDS)
        context.budget = getattr(server, 'budget', None)
        large = [
            asyncio.create_task(_send_large(port, how)) for _ in range(count)
        ]
        small = []
        for _ in range(20):
            await asyncio.sleep(0.1)
            small.append(asyncio.create_task(_send_small(port)))
        async with asyncio.timeout(WAIT_SECONDS):
            context.answers = await asyncio.gather(*large)
            context.small = await asyncio.gather(*small)
        await asyncio.sleep(0.1)
        server.close()

    asyncio.run(run())


@behave.then('each large one is served or refused with a Retry-After')
def check_large(context):
    for status, head in context.answers:
        # A caller that stops halfway gets 408 at the end of its time.
        assert status in (200, 408, 503), head
        assert (status == 503) == (b'retry-after: ' in head), head
    assert any(status != 503 for status, _ in context.answers)


@behave.then('the small ones are served')
def check_small(context):
    assert context.small == [200] * len(context.small), context.small


@behave.then('the budget is whole again')
def check_budget(context):
    budget = context.budget
    assert (budget.held, budget.large_held, budget.waiting_bytes) == (0, 0, 0)


@behave.when(
    'a caller sends {count:d} small requests and a large one at once and there'
    ' is no room'
)
def send_ahead(context, count):
    async def run():
        budget = bytebudget.Budget(LIMIT_BYTES, time.monotonic)
        while budget.reserve(bytebudget.Account(), len(BODY)):
            pass
        server, port = await _listen(SERVE_SECONDS, budget=budget)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.write((_build_head('/small', 4) + b'body') * count)
        writer.write(_build_head())
        try:
            async with asyncio.timeout(WAIT_SECONDS):
                answers = (await reader.read()).lower().split(b'http/1.1 ')
        except OSError:
            answers = [b'']
        context.answers = [(int(each[:3]), each) for each in answers[1:]]
        writer.close()
        server.close()

    asyncio.run(run())


@behave.then('it gets status {expected} in order')
def check_order(context, expected):
    statuses = ', '.join(str(status) for status, _ in context.answers)
    assert statuses == expected, context.answers
    assert b'retry-after: ' in context.answers[-1][1], context.answers


async def _listen_large(seconds, size):
    """Listen with answers of a size that name the path."""

    async def handle(request, reply):
        await asyncio.sleep(seconds)
        target = request.target.encode()
        reply.send(callermessages.Head(200), target.ljust(size, b'.'))

    limits = attrs.evolve(LIMITS, idle_seconds=IDLE_SECONDS)
    server = callerhttp.CallerServer(handle, limits, lambda *_: None)
    return server, await server.listen('127.0.0.1', 0)


def _build_get(number):
    return b'GET /%d HTTP/1.1\r\nHost: x\r\n\r\n' % number


@behave.when(
    '{callers:d} callers send {count:d} requests ahead, get answers of'
    ' {size:d} KB and read none'
)
def leave_unread(context, callers, count, size):
    _note_memory(context)

    async def run():
        server, port = await _listen_large(0.0, size << 10)
        context.budget = getattr(server, 'budget', None)

        async def send():
            _, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.transport.pause_reading()
            for number in range(count):
                writer.write(_build_get(number))
                await asyncio.sleep(0.002)
            return writer

        writers = await asyncio.gather(*(send() for _ in range(callers)))
        await asyncio.sleep(2 * IDLE_SECONDS)
        context.connections = len(server.connections)
        for writer in writers:
            writer.transport.abort()
        server.close()

    asyncio.run(run())


@behave.then('no connection is left once none was read for the idle timeout')
def check_connections(context):
    assert context.connections == 0, context.connections


@behave.when(
    'a caller sends {count:d} requests ahead, gets answers of {size:d} KB and'
    ' reads late'
)
def read_late(context, count, size):
    async def run():
        server, port = await _listen_large(0.0, size << 10)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        writer.transport.pause_reading()
        writer.write(b''.join(map(_build_get, range(count))))
        await asyncio.sleep(IDLE_SECONDS / 2)
        writer.transport.resume_reading()
        context.answers = []
        async with asyncio.timeout(WAIT_SECONDS):
            for _ in range(count):
                await _read_answer(reader)
                body = await reader.readexactly(size << 10)
                context.answers.append(body.rstrip(b'.'))
        writer.close()
        server.close()

    asyncio.run(run())


@behave.then('it gets {count:d} whole answers in order')
def check_answers(context, count):
    assert context.answers == [b'/%d' % number for number in range(count)]


@behave.when(
    '{callers:d} callers send a head of {size:d} bytes without its end and'
    ' there is room for {room:d}'
)
def send_heads(context, callers, size, room):
    async def run():
        budget = bytebudget.Budget(LIMIT_BYTES, time.monotonic)
        # Small requests may use all of the budget.
        taken = bytebudget.Account()
        budget.force(taken, LIMIT_BYTES - room * (size + HEAD_SLACK_BYTES))
        server, port = await _listen(0.0, budget=budget)
        context.budget = budget

        async def send():
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            filler = b'X-Filler: %b\r\n' % (b'x' * 100)
            head = b'GET / HTTP/1.1\r\n' + filler * (size // len(filler))
            writer.write(head)
            answer = await _read_answer(reader)
            writer.close()
            return answer

        async with asyncio.timeout(WAIT_SECONDS):
            context.answers = await asyncio.gather(
                *(send() for _ in range(callers))
            )
        budget.release(taken)
        server.close()

    asyncio.run(run())


@behave.then(
    '{count:d} are refused with a Retry-After and the others when their time'
    ' is over'
)
def check_heads(context, count):
    refused = [head for status, head in context.answers if status == 503]
    assert all(b'retry-after: ' in head for head in refused)
    assert len(refused) == count, context.answers
    late = [status for status, _ in context.answers if status != 503]
    assert set(late) == {408}, context.answers


@behave.when(
    'a body of {size:d} MB in parts is sent to an endpoint that does not read'
)
def send_unread(context, size):
    parts = [bytes(64 << 10) for _ in range(size * 16)]
    # Resident before the peak is noted.
    assert all(map(len, parts))
    _note_memory(context)

    async def run():
        ended = asyncio.Event()

        async def hang(reader, writer):
            await ended.wait()
            writer.close()

        server = await asyncio.start_server(hang, '127.0.0.1', 0, limit=1)
        port = server.sockets[0].getsockname()[1]
        connection = await endpointhttp.Pool().open(f'127.0.0.1:{port}', 1.0)
        connection.send(b'POST / HTTP/1.1\r\n\r\n', rest=parts)
        await asyncio.sleep(0.3)
        assert not connection.is_reusable
        connection.close()
        ended.set()
        server.close()

    asyncio.run(run())
