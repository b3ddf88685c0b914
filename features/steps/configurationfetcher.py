"""Steps for reading a configuration from another entry."""

import asyncio
import functools
import json
import zlib

import attrs
import behave
from dunlintide_adapters import callerhttp
from dunlintide_adapters import callermessages
from dunlintide_daemon.gateway import admin
from dunlintide_daemon.gateway import configurationfetcher
from dunlintide_daemon.gateway import configurationloader
from dunlintide_daemon.gateway import gossip
from dunlintide_platform import keys
from dunlintide_platform import storevalues
from dunlintide_standins.fleet import operators
import edge_settings

LIMITS = callermessages.RequestLimits(1 << 14, 1 << 14, 1.0, 5.0)
# How long a version is waited for, in seconds.
WAIT_SECONDS = 4.0


def _encode(version, routes=0):
    made = operators.add_routes(operators.make_configuration(version), routes)
    return json.dumps(made).encode()


def _pack(value):
    packer = zlib.compressobj(wbits=admin.ZLIB_WBITS)
    return packer.compress(value) + packer.flush()


async def _make_state(version, routes=0, revision=None):
    state = edge_settings.make_state(edge_settings.SilentLog())
    loader = configurationloader.ConfigurationLoader(state)
    value = _encode(version, routes)
    (await loader.load(value, 'store', revision)).unwrap()
    return state, loader


@attrs.define
class _Source:
    """An entry that is asked.

    :ivar version: version that it tells
    :ivar prepare: coroutine function that returns the handler of its port
    """

    version: int
    prepare: object


def _send(reply, body, headers=()):
    reply.send(callermessages.Head(200, headers), body)


@behave.given(
    'an entry that has {routes:d} routes, as version {version:d} of revision'
    ' {number:d}'
)
def make_entry(context, routes, version, number):
    context.size = len(_encode(version, routes))

    async def prepare(_):
        revision = storevalues.Revision(0, number)
        state, _ = await _make_state(version, routes, revision)
        return admin.Admin(state).handle

    context.sources = [_Source(version, prepare)]


@behave.given(
    'an entry of a former build that has {routes:d} routes, as version'
    ' {version:d}'
)
def make_former(context, routes, version):
    async def handle(_, reply):
        _send(reply, _encode(version, routes))

    async def prepare(_):
        return handle

    context.sources = [_Source(version, prepare)]


@behave.given(
    'an entry that has version {newer:d} while it sends version {version:d}'
)
def make_quick(context, newer, version):
    async def prepare(reader):
        sent = []

        async def handle(_, reply):
            _send(reply, _encode(newer if sent else version))
            sent.append(version)
            reader.gossip.sources.record('e0', 'a', newer)

        return handle

    context.sources = [_Source(version, prepare)]


async def _refuse(_, reply):
    reply.send(callermessages.Head(503))


async def _be_silent(_, reply):
    await asyncio.sleep(WAIT_SECONDS)


async def _stop_midway(_, reply):
    reply.start(callermessages.Head(200, length=1000))
    reply.write(b'{')
    await asyncio.sleep(WAIT_SECONDS)


async def _spoil(_, reply):
    headers = [('Content-Encoding', admin.ENCODING)]
    _send(reply, _pack(_encode(8))[:-9], headers)


async def _send_older(_, reply):
    _send(reply, _encode(6))


FAULTS = {
    'is busy': _refuse,
    'is silent': _be_silent,
    'sends a part and stops': _stop_midway,
    "sends what can't be unpacked": _spoil,
    'sends an older version': _send_older,
}


@behave.given('an entry that {fault}, and one that has version {version:d}')
def make_faulty(context, fault, version):
    async def prepare_faulty(_):
        return FAULTS[fault]

    async def prepare(_):
        state, _ = await _make_state(version)
        return admin.Admin(state).handle

    # The one with the fault tells more, so it is asked first.
    context.sources = [
        _Source(version + 1, prepare_faulty),
        _Source(version, prepare),
    ]


class _Reader:
    """An entry that reads from others."""

    def __init__(self, state, loader):
        self.state = state
        self.skipped = []
        self.gossip = gossip.Gossip(state)
        self.fetcher = configurationfetcher.ConfigurationFetcher(
            state, self.gossip, loader, self.skipped.append
        )


@behave.when('another entry with version {version:d} hears of {whom}')
def hear(context, version, whom):
    asyncio.run(_play(context, version))


async def _play(context, version):
    state, loader = await _make_state(version)
    reader = context.reader = _Reader(state, loader)
    received = []
    servers = []
    for number, source in enumerate(context.sources):
        handle = await source.prepare(reader)
        server = callerhttp.CallerServer(
            handle, LIMITS, lambda what, error: None
        )
        servers.append(server)
        port = await server.listen('127.0.0.1', 0)
        address = f'127.0.0.1:{port}'
        entry = keys.Entry(f'e{number}', 'a', address, address)
        reader.gossip.set_entry(entry)
        reader.gossip.sources.record(entry.name, 'a', source.version)
    state.log.write = functools.partial(_note, received)
    loop = asyncio.get_running_loop()
    began = loop.time()
    context.in_force = {}
    state.change_listeners.append(
        lambda: context.in_force.setdefault(state.version, loop.time() - began)
    )
    task = asyncio.ensure_future(reader.fetcher.run())
    wanted = max(each.version for each in context.sources)
    while loop.time() - began < WAIT_SECONDS / 2 and state.version < wanted:
        await asyncio.sleep(0.01)
    task.cancel()
    for server in servers:
        server.close()
    state.pool.close()
    context.received = received


def _note(sizes, event, **fields):
    if event == 'configuration fetched':
        sizes.append(fields['bytes'])


@behave.then('it has version {version:d} within {seconds:g} s')
def check_version(context, version, seconds):
    took = context.in_force.get(version)
    assert took is not None and took <= seconds, context.in_force


@behave.then("less than a tenth of the configuration's bytes were on the way")
def check_bytes(context):
    assert context.received[0] < context.size / 10, context.received


@behave.then('the store is read behind revision {number:d} only')
def check_skipped(context, number):
    expected = [storevalues.Revision(0, number)]
    assert context.reader.skipped == expected, context.reader.skipped
