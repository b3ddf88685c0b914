"""Steps for the bytes that outsiders make an entry hold."""

import asyncio
import contextlib
import functools
import itertools
import pathlib
import random
import time

import attrs
import behave
from dunlintide_adapters import callerhttp
from dunlintide_adapters import callermessages
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import bytebudget
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import memoryload
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials.edge import stopload
from dunlintide_trials import ports
from dunlintide_trials import processes
import hypothesis
from hypothesis import strategies

MB = 1 << 20
BODY = bytes(4 * MB)
LIMIT_BYTES = 64 * MB
HEADER_SECONDS = 1.5
HEAD_SLACK_BYTES = 100
GRACE_SECONDS = 3.0
CALL_SECONDS = 0.3
CALLERS_PER_WAY = 6
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


# An entry.


@behave.given('an entry with {memory:d} MB')
def start_entry(context, memory):
    scene = scenes.Scene(ports.pick_ports, context.make_folder())
    context.stack.callback(scene.close)
    limits = {'max_body_bytes': len(BODY)}
    scene.configure(
        operators.set_limits(operators.make_configuration(), **limits)
    )
    for _ in range(2):
        scene.run(scene.fleet.add('web', 'a'))
    context.scene = scene
    context.entry = scene.add_entry('e0', memory=memory, grace=GRACE_SECONDS)
    scene.wait_for_ready(context.entry)


@behave.when(
    'callers of two teams fill it with small requests that do not end'
)
def fill_entry(context):
    # Larger ones first; the smallest take what these leave.
    for size in (60000, 3000, 100, 1):
        _fill(context, size)


def _fill(context, size):
    """Send bodies of a size but for their last byte until one is refused."""
    for number in itertools.count():
        caller = callers.Caller(context.entry.listen)
        context.stack.callback(caller.close)
        key = (operators.KEY, operators.OTHER_KEY)[number % 2]
        head = 'POST / HTTP/1.1\r\nContent-Length: %d\r\n' % size
        if size > 1:
            head += f'Authorization: Bearer {key}\r\n'
        caller.send(head.encode() + b'\r\n' + bytes(size - 1))
        caller.socket.settimeout(0.001)
        with contextlib.suppress(TimeoutError):
            context.status, context.headers = caller.read_head()
            return


@behave.then('a further small request is refused with a Retry-After')
def check_refused(context):
    assert context.status == 503, context.status
    assert float(context.headers['retry-after']) > 0, context.headers


@behave.then('it is ready and tells its state')
def check_operators(context):
    assert context.entry.is_ready()
    assert context.entry.read_state()['name'] == 'e0'


@behave.when(
    'it is stopped after {delay:g} s while callers come with large bodies in'
    ' all ways'
)
def stop_under_bodies(context, delay):
    entry = context.entry
    context.sent, stops = [], []
    crowd = memoryload.Crowd(
        entry.name,
        entry.listen,
        operators.KEY,
        1,
        CALL_SECONDS,
        context.sent,
    )
    ways = (
        memoryload.ask_once,
        memoryload.ask_repeatable,
        memoryload.send_chunks,
        memoryload.send_ahead,
        memoryload.stop_halfway,
    )

    async def run():
        loop = asyncio.get_running_loop()
        comings = [
            asyncio.create_task(way(crowd, random.Random(number)))
            for number in range(CALLERS_PER_WAY)
            for way in ways
        ]
        await asyncio.sleep(delay)
        await loop.run_in_executor(
            None, stopload.stop_entry, entry, GRACE_SECONDS, stops
        )
        ends = await asyncio.gather(*comings, return_exceptions=True)
        # A connection may end that was not read, and none begins later.
        expected = (OSError, EOFError, TimeoutError, type(None))
        assert all(isinstance(end, expected) for end in ends), ends

    asyncio.run(run())
    assert not stops[0].was_killed


@behave.then('each request that was read whole is answered')
def check_read(context):
    assert context.sent
    lost = [
        each
        for each in context.sent
        if not each.is_whole and context.scene.fleet.list_runs(each.name)
    ]
    assert not lost, lost
    statuses = {each.status for each in context.sent}
    assert {200, 503} <= statuses, statuses


@behave.then('none that was refused has run')
def check_not_run(context):
    for each in context.sent:
        if each.status == 503:
            assert each.retry_after is not None, each
            assert not context.scene.fleet.list_runs(each.name), each


# The budget alone.


@behave.when('a team has reserved all large bodies that it may')
def fill_share(context):
    context.budget = bytebudget.Budget(LIMIT_BYTES, lambda: 0.0)
    size = bytebudget.SMALL_BYTES + 1
    while context.budget.reserve(bytebudget.Account('one'), size):
        pass


@behave.when('more answers of a team are unread than it may hold')
def fill_unread(context):
    context.budget = bytebudget.Budget(LIMIT_BYTES, lambda: 0.0)
    context.given_up = []
    for number in range(LIMIT_BYTES // MB):
        context.budget.hold_unread(
            bytebudget.Account('one'),
            MB,
            functools.partial(context.given_up.append, number),
        )


@behave.when(
    'two teams hold all large requests and unread answers that they may'
)
def fill_both(context):
    budget = context.budget = bytebudget.Budget(LIMIT_BYTES, lambda: 0.0)
    for team in ('one', 'two'):
        for _ in range(LIMIT_BYTES // MB):
            budget.reserve(bytebudget.Account(team), MB)
            budget.hold_unread(bytebudget.Account(team), MB, lambda: None)
    assert budget.large_held and budget.unread_held


@behave.then('small requests of a third team are granted')
def check_small_room(context):
    for _ in range(LIMIT_BYTES // 4 // bytebudget.SMALL_BYTES):
        account = bytebudget.Account('three')
        assert context.budget.hold(account, bytebudget.SMALL_BYTES)


@behave.then('those that have waited longest are given up')
def check_given_up(context):
    assert context.given_up == list(range(len(context.given_up)))
    left = LIMIT_BYTES // MB - len(context.given_up)
    assert context.budget.held == context.budget.unread_held == left * MB
    assert left * MB == LIMIT_BYTES * bytebudget.OWNER_FRACTION


@behave.then(
    'small requests of that team and large ones of another are granted'
)
def check_share(context):
    budget = context.budget
    for _ in range(100):
        assert budget.hold(bytebudget.Account('one'), 8 << 10)
    for _ in range(3):
        assert budget.reserve(bytebudget.Account('two'), len(BODY))
        assert budget.hold(bytebudget.Account('two'), 8 << 10)


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ('hold', 'reserve', 'force', 'unread', 'release')
        ),
        strategies.integers(0, 7),
        strategies.integers(1, 500),
    ),
    max_size=60,
)


def _play(steps):
    """Yield the budget and all accounts after each step."""
    clock = itertools.count()
    budget = bytebudget.Budget(1000, lambda: float(next(clock)))
    accounts = [
        bytebudget.Account('' if index < 2 else f'o{index % 3}')
        for index in range(8)
    ]
    waiting, forced, unread = {}, set(), {}
    for kind, index, size in steps:
        account = accounts[index]
        if kind == 'release':
            waiting.pop(index, None)
            forced.discard(index)
            unread.pop(index, None)
            budget.release(account)
        elif index in waiting:
            continue
        elif kind == 'unread':
            unread[index] = size
            budget.hold_unread(account, size, lambda i=index: unread.pop(i))
        elif index in unread:
            continue
        elif kind == 'force':
            forced.add(index)
            budget.force(account, size)
        elif size < account.held:
            continue
        elif kind == 'hold':
            budget.hold(account, size)
        elif not budget.reserve(account, size):
            if budget.can_wait(account, size):
                waiting[index] = size
                budget.wait(account, size, lambda i=index: waiting.pop(i))
        yield budget, accounts, waiting, forced | unread.keys(), unread


@behave.then(
    'whatever is held, forced and released, sums agree and limits hold'
)
def check_sums(context):
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(_STEPS)
    def check(steps):
        for budget, accounts, _, forced, unread in _play(steps):
            assert budget.held == sum(each.held for each in accounts)
            large = [each.held for each in accounts if each.is_large]
            assert budget.large_held == sum(large)
            assert budget.unread_held == sum(unread.values())
            assert budget.unread_held <= budget.large_limit
            if not forced - unread.keys():
                both = budget.large_held + budget.unread_held
                assert both <= budget.large_limit
            if not forced:
                assert budget.held <= budget.limit
                assert budget.large_held <= budget.large_limit

    check()


@behave.then('nothing waits while there is room for it')
def check_waits(context):
    @hypothesis.settings(max_examples=300, deadline=None)
    @hypothesis.given(_STEPS)
    def check(steps):
        for budget, _, waiting, _, _ in _play(steps):
            if waiting and not budget.held:
                raise AssertionError((waiting, budget.held))
        assert budget.waiting_bytes == sum(waiting.values()) if steps else True

    check()
