"""Steps for answers that belong to no request, or to another one."""

import asyncio
import contextlib
import itertools
import re
import tracemalloc

import behave
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import endpoints
from dunlintide_daemon.gateway import endpointgate
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import endless
from dunlintide_standins.fleet import runners
from dunlintide_standins.fleet import wire
import edge_settings
import hypothesis
from hypothesis import strategies

# More than any scenario sends.
MANY = 1000
TIMEOUT_SECONDS = 1.0

_numbers = itertools.count(1)


@behave.given(
    'every {kind} sends {answer} {delay:g} s after each second request of a'
    ' connection'
)
def send_late(context, kind, answer, delay):
    scene = context.scene
    chosen = scene.list_services()
    if kind == 'engine':
        chosen = scene.list_engines()
        scene.wait_for_layers()
    for runner in chosen:
        runner.faults.late = MANY
        runner.faults.late_answer = runners.LateAnswer(answer)
        runner.faults.late_delay = delay


def _send_all(context, requests):
    """Send requests on one connection, one after the other."""
    context.answers = {}
    caller = callers.Caller(context.entry.listen)
    with contextlib.closing(caller):
        for name, data in requests:
            caller.send(data)
            context.answers[name] = caller.read_answer()


@behave.when(
    'a caller sends {count:d} calls of "{path}" that take {seconds:g} s, one'
    ' after the other'
)
def send_calls(context, count, path, seconds):
    names = [f'call-{next(_numbers)}' for _ in range(count)]
    work = str(int(seconds * 1000))
    _send_all(
        context,
        [
            (name, callers.build_request(name, path, Work_Ms=work))
            for name in names
        ],
    )


@behave.when(
    'a caller sends {count:d} streams of {events:d} events, one after the'
    ' other'
)
def send_streams(context, count, events):
    names = [f'stream-{next(_numbers)}' for _ in range(count)]
    context.events = events
    _send_all(
        context,
        [(name, callers.build_stream(name, events)) for name in names],
    )


def _check_runs(context, name):
    runs = context.scene.fleet.list_runs(name)
    answer = context.answers[name]
    assert len(runs) == 1, (name, [run.runner for run in runs], answer)
    assert answer.status == 200 and answer.is_complete, (name, answer)
    return answer


@behave.then('each call got its own answer and ran once')
def check_calls(context):
    for name in context.answers:
        answer = _check_runs(context, name)
        assert answer.body == b'answer to ' + name.encode(), (name, answer)
        assert answer.headers['attempt-id'] == name, (name, answer)


@behave.then('each stream is whole and ran once')
def check_streams(context):
    for name in context.answers:
        answer = _check_runs(context, name)
        pieces = re.findall(rb'data: (\S+)', answer.body)
        expected = [
            f'{name}-{number}'.encode()
            for number in range(1, context.events + 1)
        ]
        assert pieces == expected, (name, answer)


@behave.then('the entry has counted foreign answers')
def check_counted(context):
    entry = context.entry
    text = entry.ask(entry.metrics, '/metrics').body.decode()
    found = re.findall(r'edge_foreign_answers_total\{.*\} (\S+)', text)
    assert sum(map(float, found)) > 0, found
    assert entry.list_events('foreign answer')


class _Transport:
    """What a connection needs of a transport."""

    def __init__(self):
        self.is_paused = self.is_closed = False

    def write(self, data):
        pass

    def pause_reading(self):
        self.is_paused = True

    def resume_reading(self):
        self.is_paused = False

    def is_closing(self):
        return self.is_closed

    def set_write_buffer_limits(self, high):
        pass

    def get_write_buffer_size(self):
        return 0

    def abort(self):
        self.is_closed = True


def _open(request):
    connection = endpointhttp.Connection()
    transport = _Transport()
    connection.connection_made(transport)
    connection.send(b'', is_own=lambda head: head.get('attempt-id') == request)
    return connection, transport


def _feed(connection, transport, data):
    """Hand over bytes as they are read; return how many were taken."""
    taken = 0
    while taken < len(data):
        if transport.is_closed or transport.is_paused:
            break
        buffer = connection.get_buffer(-1)
        part = data[taken : taken + len(buffer)]
        buffer[: len(part)] = part
        connection.buffer_updated(len(part))
        taken += len(part)
    return taken


def _encode_answer(name, body, is_chunked):
    head = b'HTTP/1.1 200 OK\r\n'
    if name is not None:
        head += b'Attempt-Id: %b\r\n' % name.encode()
    if not is_chunked:
        return head + b'Content-Length: %d\r\n\r\n%b' % (len(body), body)
    chunks = b''.join(
        b'%x\r\n%b\r\n' % (len(part), part)
        for part in (body[:3], body[3:])
        if part
    )
    return head + b'Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % chunks


@behave.then('the answer read is that with the id, whatever comes before it')
def check_own(context):
    answer = strategies.tuples(
        strategies.binary(max_size=50), strategies.booleans()
    )

    @hypothesis.settings(max_examples=200, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(strategies.sampled_from([None, 'r-0']), answer),
            max_size=endpointhttp.MAX_FOREIGN_ANSWERS,
        ),
        answer,
        strategies.lists(strategies.integers(1, 90), max_size=9),
    )
    def check(foreign, own, cuts):
        data = b''.join(_encode_answer(name, *each) for name, each in foreign)
        data += _encode_answer('r-1', *own)

        async def run():
            connection, transport = _open('r-1')
            rest = data
            for cut in cuts:
                _feed(connection, transport, rest[:cut])
                rest = rest[cut:]
            _feed(connection, transport, rest)
            deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
            head = await connection.read_head(deadline)
            body = await connection.read_all(deadline, len(data))
            return head, body, connection.is_reusable

        head, body, is_reusable = asyncio.run(run())
        assert head.get('attempt-id') == 'r-1'
        assert body == own[0], (body, own)
        assert is_reusable is not bool(foreign)

    check()


@behave.when('an answer of {size:d} KB has arrived and was not read')
def leave_unread(context, size):
    async def run():
        connection, transport = _open('r-1')
        _feed(
            connection,
            transport,
            _encode_answer('r-1', b'x' * (size << 10), False),
        )
        unread = connection.is_reusable
        deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
        await connection.read_all(deadline, size << 10)
        return unread, connection.is_reusable, transport.is_paused

    context.reuse = asyncio.run(run())


@behave.then('its connection is not used again, but is once it was read')
def check_reuse(context):
    assert context.reuse == (False, True, False), context.reuse


@behave.then(
    'no endless answer makes a connection hold over {kept:d} KB or go on for'
    ' {most:d} MB unread'
)
def check_kept(context, kept, most):
    @hypothesis.settings(max_examples=100, deadline=None)
    @hypothesis.given(
        strategies.sampled_from(list(endless.Endless)),
        strategies.integers(1, 100_000),
    )
    def check(kind, size):
        async def run():
            connection, transport = _open('r-1')
            data = kind.begin('r-1')
            taken = 0
            for number in range((most << 20) // endless.BLOCK_BYTES):
                data += kind.repeat(number)
                while len(data) >= size:
                    count = _feed(connection, transport, data[:size])
                    taken += count
                    data = data[size:]
                    if count < size:
                        return taken, tracemalloc.get_traced_memory()[1]
            raise AssertionError(f'{kind} goes on after {taken} bytes')

        tracemalloc.start()
        try:
            taken, peak = asyncio.run(run())
        finally:
            tracemalloc.stop()
        # The bytes that are to be sent are held here as well.
        allowed = (kept << 10) + 4 * (size + endless.BLOCK_BYTES)
        assert peak <= allowed, (kind, size, taken, peak)

    check()


@behave.given('a connection that has carried the request "{name}"')
def carry(context, name):
    context.carried = name


@behave.then(
    'the connection is not used for "{same}" again, but for "{other}"'
)
def check_carried(context, same, other):
    async def handle(request, channel):
        headers = {'Attempt-Id': request.headers['attempt-id']}
        await channel.answer(200, b'', headers)

    async def run():
        server = await wire.listen(handle)
        address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        state = edge_settings.make_state(edge_settings.SilentLog())
        endpoint = endpoints.Endpoint('e', address, 's', 'a', 4)
        state.apply_endpoint(endpoint)

        async def connect(name):
            return await endpointgate.connect(
                state, endpoint, name, TIMEOUT_SECONDS
            )

        first = await connect(context.carried)
        data = f'GET / HTTP/1.1\r\nAttempt-Id: {same}\r\n\r\n'.encode()
        endpointgate.send(state, first, (endpoint,), data, same)
        deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
        await first.read_head(deadline)
        await first.read_all(deadline, 100)
        state.pool.release(address, first)
        again = await connect(same)
        nameless = await connect('')
        different = await connect(other)
        for connection in (first, again, nameless):
            connection.close()
        state.pool.close()
        server.close()
        return first, again, nameless, different

    first, again, nameless, different = asyncio.run(run())
    assert isinstance(first, endpointhttp.Connection)
    assert different is first
    assert again is not first
    context.is_new = nameless is not first


@behave.then('a request without an id gets a new connection')
def check_nameless(context):
    assert context.is_new
