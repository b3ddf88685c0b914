"""Steps for malformed answers to the clients of the product."""

import contextlib
import json
import threading
import time

import behave
import cutheads
from dunlintide_adapters import bodies
from dunlintide_adapters import boundedhttp
from dunlintide_adapters import cacheevents
from dunlintide_adapters import engine
from dunlintide_adapters import leaders
from dunlintide_adapters import store as stores
from dunlintide_adapters import storewatch
from dunlintide_cli import daemons
from dunlintide_core import documents
from dunlintide_core import revisions
from dunlintide_daemon.entry import requests
from dunlintide_standins.fleet import malformed
import result
import urllib3

WAIT_SECONDS = 5.0
# A client that waits for the end of a connection has not seen the fault.
AT_ONCE_SECONDS = 1.0
_FIELDS = {'Content-Type': 'application/json'}


def _listen():
    """Return a server that leaves it to its clients to close."""
    return cutheads.RawServer(keeps_open=True)


def _read_each(context, body, read):
    """Read each malformed answer.

    :param read: returns whether an answer of an address is taken for one
    """
    context.taken, context.slow = [], []
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
    with contextlib.closing(_listen()) as server:
        server.answer = head + body
        assert read(server.address), 'a sound answer'
        for kind in malformed.Malformed:
            server.answer = kind.encode(_FIELDS, body)
            began = time.monotonic()
            if read(server.address):
                context.taken.append(kind.value)
            seconds = time.monotonic() - began
            if seconds > AT_ONCE_SECONDS:
                context.slow.append((kind.value, seconds))


def _read_stream(answer):
    for _ in answer.stream():
        pass


@behave.when('each malformed answer is read {how} by a client on threads')
def read_each(context, how):
    def read(address):
        pool = boundedhttp.build_pool(
            f'http://{address}', how == 'as a stream'
        )
        try:
            answer = pool.request(
                'GET',
                '/',
                timeout=WAIT_SECONDS,
                preload_content=how == 'preloaded',
            )
            if how == 'as a stream':
                _read_stream(answer)
            elif how == 'up to a size':
                bodies.read(answer, 1000, WAIT_SECONDS)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    _read_each(context, b'{}', read)


def _watch(address):
    stop = threading.Event()
    outcomes = []

    def end(outcome):
        outcomes.append(outcome)
        stop.set()

    store = stores.Store.from_url(f'http://{address}')
    timing = storewatch.WatchTiming(silence=WAIT_SECONDS)
    watcher = storewatch.Watcher(store._watch_pool, timing, end)
    watcher.watch('a', 0, lambda event: None, stop)
    return outcomes == ['ok']


def _drain(address):
    return daemons.drain(f'http://{address}').is_ok()


@behave.when('each malformed answer is read as one to {call}')
def read_as(context, call):
    read = {'a watch': _watch, 'an order of a command': _drain}.get(
        call, lambda address: cutheads._read_as(call, address)
    )
    body = cutheads._BODIES.get(call, b'{}')
    if call == 'a watch':
        body = b'{"result": {"created": true, "header": {"revision": "1"}}}\n'
    _read_each(context, body, read)


@behave.then('each read has failed at once')
def check_failed(context):
    assert not context.taken, (len(context.taken), context.taken)
    assert not context.slow, context.slow


def _read_configuration(nested):
    """Return whether a nested value is taken for a part of a configuration."""
    section = b'{"section": "x", "items": [], "y": %b}' % nested
    chunk = revisions.Chunk(revisions.digest_bytes(section), section)
    head = revisions.Head(1, '', (chunk.digest,), 'a' * 64)
    read = (
        documents.decode_configuration(nested),
        revisions.split(nested),
        revisions.join(head, {chunk.digest: section}),
        revisions.decode_head(nested),
    )
    return any(each.is_ok() for each in read)


def _read_leader(nested):
    """Return whether a nested value names a leader."""
    leader = leaders._read_leader(stores.Value('k', nested, 7))
    return leader != leaders.Leader('', '', 7)


def _use_engine(use):
    return lambda address: use(engine.Engine(f'http://{address}')).is_ok()


# Readers of values, and readers of the answer of an address. They return
# whether it is taken.
_VALUE_READERS = {
    'a configuration': _read_configuration,
    'a leader': _read_leader,
    "a caller's prompt": lambda nested: requests.parse_completion(
        nested, chat=False
    ).is_ok(),
}
_ANSWER_READERS = {
    'a watch': _watch,
    'an order of a command': _drain,
    'steps of an engine': _use_engine(lambda each: each.run_steps([], 2.0)),
    'an export': _use_engine(lambda each: each.export_session('s')),
    'blocks of an engine': _use_engine(
        lambda each: cacheevents.EventReader(each).read_blocks()
    ),
}


@behave.when('an answer nested {depth:d} deep is read as one to {call}')
def read_nested(context, depth, call):
    nested = b'{"x": %b%b}\n' % (b'[' * depth, b']' * depth)
    if call in _VALUE_READERS:
        context.is_taken = _VALUE_READERS[call](nested)
        return
    read = _ANSWER_READERS.get(
        call, lambda address: cutheads._read_as(call, address)
    )
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(nested)
    with contextlib.closing(_listen()) as server:
        server.answer = head + nested
        context.is_taken = read(server.address)


@behave.then('it is not taken, and the reader goes on')
def check_nested(context):
    assert not context.is_taken


_ODD = ('"x"', 'null', '[]', '-1', 'NaN', 'Infinity', '1e400', '9' * 400)
_SOUND = {
    engine.EngineLoad: {
        'running': 3,
        'queued': 0,
        'kv_usage': 0.5,
        'kv_tokens': 70_000,
        'step_seconds': 0.01,
        'tokens_per_second': 900,
    },
    engine.EngineHolding: {
        'layer_start': 0,
        'layer_end': 9,
        'layer_count': 80,
        'fence': 1 << 40,
    },
}


@behave.when('an engine tells odd values of its load and its layers')
def tell_odd(context):
    context.taken, context.refused = [], []
    with contextlib.closing(_listen()) as server:
        client = engine.Engine(f'http://{server.address}')

        def read(kind, body):
            head = 'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(body)
            server.answer = (head + body).encode()
            if kind is engine.EngineLoad:
                return client.read_load()
            return client.read_holding()

        for kind, sound in _SOUND.items():
            told = read(kind, json.dumps({**sound, 'more': [1]}))
            if told != result.Ok(kind(**sound)):
                context.refused.append(told)
            for field in sound:
                for value in _ODD:
                    body = json.dumps({**sound, field: '@'})
                    if read(kind, body.replace('"@"', value)).is_ok():
                        context.taken.append((field, value[:9]))


@behave.then('none of them is taken, and sound ones are')
def check_told(context):
    assert not context.refused, context.refused
    assert not context.taken, (len(context.taken), context.taken)
