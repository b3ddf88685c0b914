"""Steps for the gate through which everything reaches an endpoint."""

import asyncio
import contextlib

import attrs
import behave
from dunlintide_adapters import decisionlog
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import endpoints
from dunlintide_daemon.gateway import endpointgate
from dunlintide_platform import orders
from dunlintide_standins.fleet import wire
import edge_settings

TIMEOUT_SECONDS = 2.0
MAX_ANSWER_BYTES = 1000
REQUEST = (
    b'POST /x HTTP/1.1\r\nHost: x\r\nAttempt-Id: r-1\r\n'
    b'Content-Length: 0\r\n\r\n'
)


class _Log(decisionlog.DecisionLog):
    """Log that keeps its lines instead of writing them."""

    def __init__(self):
        self.rows = []

    def write(self, event, **fields):
        self.rows.append({'event': event, **fields})

    write_always = write


class _Scene:
    """A state, and an endpoint that answers as told.

    :ivar received: paths of the requests that reached the endpoint
    :ivar on_connect: called when a connection is opened
    :ivar reply: status and headers of its answers
    :ivar delay: seconds until it answers
    :ivar pauses: delay of the answer and pause that it asks for, in seconds,
        by path
    """

    def __init__(self):
        self.log = _Log()
        self.state = edge_settings.make_state(self.log)
        self.endpoint = self.make_endpoint('e')
        self.received = []
        self.on_connect = None
        self.reply = (200, {})
        self.delay = 0.0
        self.pauses = {}

    @staticmethod
    def make_endpoint(name, address='', born=None):
        return endpoints.Endpoint(
            endpoints.name_incarnation(name, born),
            address,
            'web',
            'a',
            4,
            identity=name,
            born=born,
        )

    async def _answer(self, request, channel):
        self.received.append(request.path)
        status, headers = self.reply
        delay = self.delay
        if request.path in self.pauses:
            delay, seconds = self.pauses[request.path]
            status, headers = 503, {'Retry-After': f'{seconds:g}'}
        await asyncio.sleep(delay)
        name = request.headers.get('attempt-id')
        if name is not None:
            headers = {**headers, 'Attempt-Id': name}
        await channel.answer(status, b'', headers)

    async def run(self, work):
        """Run work(scene) with the endpoint listening and listed."""
        server = await wire.listen(self._answer)
        port = server.sockets[0].getsockname()[1]
        self.endpoint = attrs.evolve(
            self.endpoint, address=f'127.0.0.1:{port}'
        )
        self.state.apply_endpoint(self.endpoint)
        opened = self.state.pool.open

        async def open_and_call(address, timeout):
            connection = await opened(address, timeout)
            if self.on_connect is not None:
                self.on_connect()
            return connection

        self.state.pool.open = open_and_call
        try:
            await work()
        finally:
            self.state.pool.close()
            server.close()

    async def exchange(self, kind, name='r-1'):
        """Exchange a report, an order or a request."""
        exchange = endpointgate.bind_exchange(self.state, self.endpoint)
        address = self.endpoint.address
        if kind == 'report':
            return await orders.read_report(exchange, self.endpoint)
        if kind == 'order':
            return await orders.send_placement(
                exchange, self.endpoint, 0, 4, 0, 1
            )
        connection = await self.state.pool.acquire(address, TIMEOUT_SECONDS)
        try:
            endpointgate.send(
                self.state, connection, (self.endpoint,), REQUEST, name
            )
            head = await connection.read_head(self.state.now + TIMEOUT_SECONDS)
            deadline = self.state.now + TIMEOUT_SECONDS
            await connection.read_all(deadline, MAX_ANSWER_BYTES)
            return head
        finally:
            self.state.pool.release(address, connection)


@behave.given("an entry's state and an endpoint on loopback")
def make_scene(context):
    context.scene = _Scene()


def _make_cause(scene, cause):
    """Return what makes a cause hold."""
    state = scene.state
    name = scene.endpoint.name

    def fill_slow_start():
        state.backoffs.begin(name, 0.01, state.now - 0.02)
        state.backoffs.record_sent(name, state.now)

    return {
        'a pause begins': lambda: state.backoffs.begin(name, 3.0, state.now),
        'the endpoint leaves': lambda: state.mark_leaving(name, 'test'),
        'the endpoint is gone': lambda: state.remove_endpoint('e'),
        'its slow start is full': fill_slow_start,
    }[cause]


@behave.when('a {kind} is exchanged and {cause} while it connects')
def exchange_held(context, kind, cause):
    scene = context.scene
    scene.on_connect = _make_cause(scene, cause)

    async def work():
        try:
            context.outcome = await scene.exchange(kind)
        except endpointhttp.CallError as error:
            context.outcome = error

    asyncio.run(scene.run(work))


@behave.when('a request is sent on a chain whose last endpoint pauses')
def send_on_chain(context):
    scene = context.scene
    state = scene.state

    async def work():
        last = scene.make_endpoint('l', '127.0.0.1:1')
        state.apply_endpoint(last)
        state.backoffs.begin('l', 3.0, state.now)
        connection = await state.pool.acquire(
            scene.endpoint.address, TIMEOUT_SECONDS
        )
        chain = (scene.endpoint, last)
        try:
            endpointgate.send(state, connection, chain, REQUEST, 'r-1')
        except endpointhttp.CallError as error:
            context.outcome = error
        await asyncio.sleep(0.05)
        connection.close()

    asyncio.run(scene.run(work))
    assert context.outcome.kind is endpointhttp.FailureKind.WITHHELD


@behave.then('nothing of it reached the endpoint')
def check_nothing(context):
    assert not context.scene.received, context.scene.received


@behave.then('it counts as withheld for "{reason}", and as not sent')
def check_withheld(context, reason):
    (row,) = [
        row
        for row in context.scene.log.rows
        if row['event'] == 'send withheld'
    ]
    assert row['reason'] == reason, row
    outcome = context.outcome
    if isinstance(outcome, orders.OrderOutcome):
        assert outcome is orders.OrderOutcome.UNSENT
    elif isinstance(outcome, endpointhttp.CallError):
        assert outcome.kind is endpointhttp.FailureKind.WITHHELD
        assert not outcome.sent
    else:
        assert outcome.err_value.withheld


def _parse_headers(text):
    pairs = [part.partition(': ') for part in text.split(', ')]
    return {name: value for name, _, value in pairs}


@behave.when('a {kind} is answered {status:d} with "{headers}"')
def exchange_answered(context, kind, status, headers):
    scene = context.scene
    scene.reply = status, _parse_headers(headers)
    asyncio.run(scene.run(lambda: scene.exchange(kind)))
    assert scene.received


@behave.when('the reader of a request leaves before "{headers}" arrives')
def leave_early(context, headers):
    scene = context.scene
    scene.reply = 503, _parse_headers(headers)
    scene.delay = 0.1

    async def work():
        connection = await scene.state.pool.acquire(
            scene.endpoint.address, TIMEOUT_SECONDS
        )
        endpointgate.send(
            scene.state, connection, (scene.endpoint,), REQUEST, 'r-1'
        )
        with contextlib.suppress(endpointhttp.CallError):
            await connection.read_head(scene.state.now + 0.01)
        await asyncio.sleep(0.3)
        connection.close()

    asyncio.run(scene.run(work))


@behave.when('answers ask for 3 s, 1 s and 2 s')
def ask_several(context):
    scene = context.scene
    state = scene.state
    # The answers overtake each other.
    scene.pauses = {'/a': (0.1, 3), '/b': (0.05, 1), '/c': (0.15, 2)}

    async def send(path):
        connection = await state.pool.acquire(
            scene.endpoint.address, TIMEOUT_SECONDS
        )
        data = REQUEST.replace(b'/x', path.encode())
        data = data.replace(b'r-1', path.encode())
        endpointgate.send(state, connection, (scene.endpoint,), data, path)
        await connection.read_head(state.now + TIMEOUT_SECONDS)
        connection.close()

    async def work():
        await asyncio.gather(*map(send, scene.pauses))
        context.left = state.backoffs.get_left('e', state.now)

    asyncio.run(scene.run(work))


@behave.then('{seconds:g} s of the pause are left')
def check_left(context, seconds):
    assert seconds - 0.5 < context.left <= seconds, context.left


@behave.when(
    'a pause of {seconds:g} s is asked for and the endpoint starts again'
)
def restart_in_pause(context, seconds):
    scene = context.scene
    state = scene.state
    first = scene.make_endpoint('e', '127.0.0.1:1', born=1)

    async def work():
        state.apply_endpoint(first)
        state.backoffs.begin(first.name, seconds, state.now)
        assert endpointgate.find_hold(state, first.name)
        context.restarted = scene.make_endpoint('e', '127.0.0.1:1', born=2)
        state.apply_endpoint(context.restarted)

    asyncio.run(work())


@behave.then('the new incarnation gets requests')
def check_new(context):
    state = context.scene.state
    assert endpointgate.find_hold(state, context.restarted.name) is None


@behave.then('the endpoint is {condition}')
def check_condition(context, condition):
    hold = endpointgate.find_hold(
        context.scene.state, context.scene.endpoint.name
    )
    expected = {
        'leaving': endpointgate.Hold.LEAVING,
        'in a pause': endpointgate.Hold.BACKOFF,
        'in use': None,
    }[condition]
    assert hold is expected, hold
