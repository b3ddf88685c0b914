"""Steps for readers of what comes until they close, in one process."""

import asyncio
import contextlib
import threading
import time
from unittest import mock

import attrs
import behave
from dunlintide_adapters import callerhttp
from dunlintide_adapters import callermessages
from dunlintide_adapters import endpointhttp
from dunlintide_adapters import engine
from dunlintide_adapters import hostlist
from dunlintide_adapters import store as store_client
from dunlintide_adapters import storewatch
from dunlintide_core.pipeline import endpoints
from dunlintide_daemon.gateway import configurationfetcher
from dunlintide_daemon.gateway import endpointgate
from dunlintide_platform import keys
from dunlintide_platform import store as store_module
from dunlintide_standins.fleet import endless
from dunlintide_standins.fleet import wire
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials import processes
import edge_settings

REPORT = b'GET /report HTTP/1.1\r\n\r\n'
ORDER = b'POST /order HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}'
TICK_SECONDS = 0.01
MB = 1 << 20
CALLER_LIMITS = callermessages.RequestLimits(8000, 100_000, 5.0, 5.0)


@attrs.define
class _Stall:
    """Longest time for which an event loop stood still, in seconds."""

    seconds: float = 0.0

    async def watch(self):
        while True:
            slept = time.monotonic()
            await asyncio.sleep(TICK_SECONDS)
            late = time.monotonic() - slept - TICK_SECONDS
            self.seconds = max(self.seconds, late)


def _make_path(path, address, state, seconds):
    """Return what reads from an address, as a coroutine function."""
    endpoint = endpoints.Endpoint('e', address, 's', 'a', 4)
    state.apply_endpoint(endpoint)
    exchange = endpointgate.bind_exchange(state, endpoint)
    if path == 'a store call':
        return lambda: store_module.Store(address).get('a-key')
    if path == 'another entry':
        fetcher = configurationfetcher.ConfigurationFetcher(
            state, mock.Mock(), mock.Mock(), mock.Mock()
        )
        entry = keys.Entry('other', 'a', '127.0.0.1:9', address)
        return lambda: fetcher._read(entry)
    data = ORDER if path == 'an order' else REPORT
    return lambda: exchange(data, seconds)


async def _measure(path, address, seconds):
    """Return how long a read takes, and whether it fails."""
    state = edge_settings.make_state(edge_settings.SilentLog())
    read = _make_path(path, address, state, seconds)
    began = time.monotonic()
    try:
        outcome = await read()
        has_failed = hasattr(outcome, 'is_err') and outcome.is_err()
    except endpointhttp.CallError:
        has_failed = True
    return time.monotonic() - began, has_failed


def _watch(url):
    """Return whether a watch ends, which it may as it likes."""
    stop = threading.Event()

    watcher = storewatch.Watcher(
        store_client.Store.from_url(url)._watch_pool,
        storewatch.WatchTiming(silence=2.0),
        lambda outcome: stop.set(),
    )
    watcher.watch('a', 0, lambda event: None, stop)
    return True


def _read_on_thread(path, address):
    """Return whether a read by a client that blocks fails."""
    url = f'http://{address}'
    if path == 'a watch':
        return _watch(url)
    read = {
        'the host list': hostlist.HostList.from_url(url).poll,
        'a transaction': lambda: store_client.Store.from_url(url).get('k'),
        'a health check': engine.Engine(url).check_health,
        'the load of an engine': engine.Engine(url).read_load,
    }[path]
    return read().is_err()


@behave.when('{path} on a thread is answered by each of the endless answers')
def read_each_on_thread(context, path):
    async def measure(address):
        began = time.monotonic()
        has_failed = await asyncio.to_thread(_read_on_thread, path, address)
        return time.monotonic() - began, has_failed

    _read_kinds(context, endless.Endless, measure)


@behave.when('{path} is answered by each of the endless answers')
def read_each(context, path):
    _read_kinds(
        context,
        endless.Endless,
        lambda address: _measure(path, address, 4.0),
    )


@behave.when('a transaction is answered with {part} that come byte by byte')
def read_slow(context, part):
    kind = endless.Endless(part)

    async def trickle(request, channel):
        await channel.send(kind.begin(''))
        while True:
            for byte in kind.repeat(0)[:1000]:
                await channel.send(bytes((byte,)))
                await asyncio.sleep(0.05)

    async def run():
        server = await wire.listen(trickle)
        address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        timing = store_client.StoreTiming(read=0.2)
        client = store_client.Store.from_url(f'http://{address}', None, timing)
        began = time.monotonic()
        context.reply = await asyncio.to_thread(client.get, 'k')
        context.seconds = time.monotonic() - began
        server.close()

    asyncio.run(run())


@behave.then('it has failed within {seconds:g} s, of reads of {read:g} s')
def check_slow(context, seconds, read):
    assert context.reply.is_err(), context.reply
    assert context.seconds <= seconds, context.seconds


def _read_kinds(context, kinds, measure):
    """Read what an address answers for each kind.

    :param measure: returns how long it takes and whether it fails
    """
    loop = scenes.Loop()
    context.memory = processes.read_peak_memory('self')
    context.ended, context.stall = {}, _Stall()

    async def run(kind):
        async def handle(request, channel):
            await endless.pour(channel, kind, request)

        server = await asyncio.wrap_future(
            asyncio.run_coroutine_threadsafe(wire.listen(handle), loop.loop)
        )
        address = '127.0.0.1:%d' % server.sockets[0].getsockname()[1]
        watch = asyncio.create_task(context.stall.watch())
        context.ended[kind] = await measure(address)
        watch.cancel()
        loop.loop.call_soon_threadsafe(server.close)

    with contextlib.ExitStack() as stack:
        stack.callback(loop.close)
        for kind in kinds:
            asyncio.run(run(kind))


@behave.then(
    'each has failed within {seconds:g} s, of {allowed:g} s that it might take'
)
def check_failed(context, seconds, allowed):
    slow = {
        kind: ended
        for kind, ended in context.ended.items()
        if ended[0] > seconds
        # Whole answers and foreign ones are told apart by those who ask.
        or not ended[1]
        and kind
        not in (
            endless.Endless.BEHIND,
            endless.Endless.FOREIGN,
        )
    }
    assert not slow, slow


@behave.then('no event loop stood still for over {seconds:g} s')
def check_stall(context, seconds):
    assert context.stall.seconds <= seconds, context.stall


@behave.then('the process has grown by at most {size:d} MB')
def check_growth(context, size):
    grown = (processes.read_peak_memory('self') - context.memory) / MB
    assert grown <= size, grown


# Callers that pour.


def _pour_request(kind):
    """Return the beginning of a request and what follows without end."""
    head = b'POST / HTTP/1.1\r\nHost: x\r\n'
    chunked = head + b'Transfer-Encoding: chunked\r\n\r\n'
    return {
        'one header': (head + b'X-Filler: ', b'x' * 1000),
        'header lines': (head, b'X-Filler: x\r\n' * 100),
        'a target': (b'GET /', b'x' * 1000),
        'a chunk extension': (chunked + b'5;', b'x' * 1000),
        'trailers': (chunked + b'0\r\n', b'X-Filler: x\r\n' * 100),
        'small chunks': (chunked, b'1\r\nx\r\n' * 100),
    }[kind]


@behave.when('a caller sends {kind} without end')
def pour_request(context, kind):
    context.memory = processes.read_peak_memory('self')
    begin, unit = _pour_request(kind)

    async def handle(request, reply):
        reply.send(callermessages.Head(200))

    async def run():
        server = callerhttp.CallerServer(
            handle, CALLER_LIMITS, lambda what, error: None
        )
        port = await server.listen('127.0.0.1', 0)
        reader, writer = await asyncio.open_connection('127.0.0.1', port)
        began = time.monotonic()

        async def pour():
            writer.write(begin)
            while True:
                writer.write(unit)
                await writer.drain()

        task = asyncio.create_task(pour())
        try:
            async with asyncio.timeout(3.0):
                context.status = (await reader.readline()).split()[1:2]
        finally:
            context.seconds = time.monotonic() - began
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            writer.close()
            server.close()

    asyncio.run(run())


@behave.then('it is refused with {status:d} within {seconds:g} s')
def check_refused(context, status, seconds):
    assert context.status == [str(status).encode()], context.status
    assert context.seconds <= seconds, context.seconds
