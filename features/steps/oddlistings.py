"""Steps for odd entries among those of the endpoints."""

import itertools
import json
import socket
import threading
import time

import behave
from dunlintide_standins.fleet import callers

# Time for which requests are sent under each group of odd entries.
GROUP_SECONDS = 0.5
EVENTS = 5
DEPTH = 200_000

_numbers = itertools.count(1)


def _encode(row, **numbers):
    """Encode a value whose numbers are too long for Python to write."""
    text = json.dumps({**row, **{name: f'@{name}@' for name in numbers}})
    for name, number in numbers.items():
        text = text.replace(f'"@{name}@"', number)
    return text.encode()


def _find_closed_port():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        return listener.getsockname()[1]


def _list_groups(row):
    """List groups of odd values.

    :param row: a sound one, of a port that nobody listens on
    """
    numbers = [
        *('9' * digits for digits in (19, 20, 400, 4000, 5000)),
        *('1e308', '1e400', 'NaN', 'Infinity', '-1', '-' + '9' * 400, '0.5'),
    ]
    for field in ('slots', 'seq', 'born', 'cold_left_ms'):
        yield [_encode(row, **{field: number}) for number in numbers]
    if 'layers' in row:
        ranges = [f'{{"from": 0, "to": {each}}}' for each in numbers]
        ranges += [f'{{"from": {each}, "to": {each}}}' for each in numbers]
        yield [_encode(row, layers=f'[{each}]') for each in ranges]
        yield [_encode(row, layers='[' + ','.join(ranges[:1] * 100_000) + ']')]
    nested = '[' * DEPTH
    yield [
        nested.encode(),
        (nested + ']' * DEPTH).encode(),
        _encode(row, version=nested + ']' * DEPTH),
        _encode(row, layers='{"from":' * DEPTH + '0' + '}' * DEPTH),
    ]
    ports = ('-1', '0', '65536', '70000', '9' * 5000, ' 80', '+80', '0x50')
    ports += ('8_0', '80:80', '80\r\n', '\uff18\uff10', '')
    yield [
        json.dumps({**row, 'address': f'127.0.0.1:{port}'}).encode()
        for port in ports
    ]


def _send(entry, data):
    """Send a request, and return its answer or the error."""
    caller = callers.Caller(entry.listen)
    try:
        caller.send(data)
        return caller.read_answer()
    except (OSError, ValueError) as error:
        return error
    finally:
        caller.close()


class _Load(threading.Thread):
    """Sends calls and streams, one after the other."""

    def __init__(self, entry):
        super().__init__()
        self.stopped = threading.Event()
        self.wrong = []
        self.count = 0
        self._entry = entry

    def run(self):
        while not self.stopped.wait(0.02):
            name = f'odd-{next(_numbers)}'
            for path in ('/lists/x', '/orders/x', '/copy/x'):
                expected = b'answer to ' + name.encode()
                data = callers.build_request(name, path)
                if path == '/copy/x':
                    data = callers.build_stream(name, EVENTS)
                    expected = f'{name}-{EVENTS}\n\n'.encode()
                began = time.monotonic()
                answer = _send(self._entry, data)
                seconds = time.monotonic() - began
                self.count += 1
                body = getattr(answer, 'body', b'')
                if not body.endswith(expected) or seconds > 1.0:
                    self.wrong.append((path, seconds, answer))


def _read(scene, key):
    return json.loads(scene.store.get(key))


@behave.when('odd entries of each kind come, under calls and streams')
def write_odd(context):
    scene = context.scene
    scene.wait_for_layers()
    scene.wait_for_listing(context.entry)
    context.load = _Load(context.entry)
    context.groups = []
    context.load.start()
    for runner in (scene.list_services()[0], scene.list_engines()[0]):
        row = {
            **_read(scene, runner.key),
            'address': f'127.0.0.1:{_find_closed_port()}',
        }
        for number, group in enumerate(_list_groups(row)):
            found = len(context.load.wrong)
            for place, data in enumerate(group):
                key = f'servers/i-odd-{runner.service}-{number}-{place}'
                scene.run(scene.store.put(key, data))
            time.sleep(GROUP_SECONDS)
            if len(context.load.wrong) > found:
                context.groups.append((runner.service, number, group[0][:99]))
    context.load.stopped.set()
    context.load.join()


@behave.when(
    'the store is silent while {count:d} odd entries of {size:d} MB come'
)
def write_large(context, count, size):
    scene = context.scene
    scene.store.faults.silent = True
    value = b'[' * (size << 20)
    for number in range(count):
        scene.run(scene.store.put(f'servers/i-odd-{number}', value))
    scene.store.faults.silent = False


@behave.then(
    'each call and each stream has got its own answer within {seconds:g} s'
)
def check_requests(context, seconds):
    load = context.load
    assert not load.wrong, (
        len(load.wrong),
        load.count,
        load.wrong[:2],
        context.groups,
    )
    assert load.count > 100, load.count


@behave.then('the log tells of no failed request')
def check_log(context):
    failed = context.entry.list_events('request failed')
    assert not failed, (len(failed), failed[:2])


@behave.then('an endpoint that comes after them gets calls')
def check_new(context):
    scene = context.scene
    runner = scene.run(scene.fleet.add('web', 'a'))

    def gets_calls():
        name = f'odd-{next(_numbers)}'
        _send(context.entry, callers.build_request(name, '/lists/x'))
        return bool(runner.runs)

    scene.wait_until(gets_calls, 'the new endpoint gets calls')
