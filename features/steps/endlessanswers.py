"""Steps for entries between callers and what never ends."""

import contextlib
import itertools
import socket
import threading
import time

import attrs
import behave
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import endless
from dunlintide_standins.fleet import operators
from dunlintide_trials import processes

MB = 1 << 20
SLOTS = 100

_numbers = itertools.count(1)


@behave.given('one service answers with {kind} that never end')
def spoil_service(context, kind):
    # Room for all calls at the other one, also after a pause of the machine.
    context.scene.fleet.slots = SLOTS
    for service in context.scene.list_services():
        context.scene.run(service.write_entry())
    context.scene.wait_for_listing(context.entry)
    context.spoilt = context.scene.list_services()[0]
    context.spoilt.faults.pours = endless.Endless(kind)


@behave.given(
    'one engine with the first layer answers with {kind} that never end'
)
def spoil_engine(context, kind):
    scene = context.scene
    scene.wait_for_layers()
    scene.wait_for_listing(context.entry)
    heads = [each for each in scene.list_engines() if not each.layers[0]]
    assert len(heads) > 1, heads
    context.spoilt = heads[0]
    context.spoilt.faults.pours = endless.Endless(kind)


@behave.given('a second service, "{name}"')
def add_service(context, name):
    scene = context.scene
    configuration = operators.make_configuration(9)
    scene.configure(operators.add_service(configuration, name))
    context.spoilt_services = scene.list_services()
    runner = scene.run(scene.fleet.add(name, 'a'))
    scene.wait_until(
        lambda: any(
            each['name'] == runner.name
            for each in context.entry.read_state()['endpoints']
        ),
        'the entry knows the service',
    )


@behave.given('all services but it answer with {kind} that never end')
def spoil_services(context, kind):
    for runner in context.spoilt_services:
        runner.faults.pours = endless.Endless(kind)


@behave.given('all endpoints answer with {kind} that never end')
def spoil_all(context, kind):
    context.scene.wait_for_layers()
    context.scene.wait_for_listing(context.entry)
    for runner in context.scene.fleet.runners:
        runner.faults.pours = endless.Endless(kind)


@behave.given('the store answers with {kind} that never end')
def spoil_store(context, kind):
    context.spoilt = None
    context.scene.wait_for_listing(context.entry)
    context.scene.store.faults.pours = endless.Endless(kind)


@attrs.define
class _Ended:
    """A request and its end.

    :ivar seconds: time until then
    :ivar answer: None without one
    """

    name: str
    path: str
    seconds: float
    answer: callers.Answer | None


def _send_one(context, path, data, name):
    began = time.monotonic()
    answer = None
    with contextlib.suppress(OSError):
        caller = callers.Caller(context.entry.listen)
        with contextlib.closing(caller):
            caller.send(data)
            answer = caller.read_answer()
    seconds = time.monotonic() - began
    context.ended.append(_Ended(name, path, seconds, answer))


@attrs.define
class _Sender:
    """Requests to an entry beside those of the context."""

    entry: object
    ended: list = attrs.field(factory=list)


def _build_call(path):
    return lambda name: callers.build_request(name, path)


def _send_for(context, requests, seconds, rate):
    """Send requests for a while, each on a connection of its own."""
    context.ended, threads = [], []
    began = time.monotonic()
    for number in range(int(seconds * rate)):
        time.sleep(max(0.0, began + number / rate - time.monotonic()))
        for path, build in requests:
            name = f'r-{next(_numbers)}'
            thread = threading.Thread(
                target=_send_one, args=(context, path, build(name), name)
            )
            thread.start()
            threads.append(thread)
    for thread in threads:
        thread.join()


@behave.when(
    'callers send {rate:d} calls a second of "{one}" and of "{other}" for'
    ' {seconds:g} s'
)
def send_calls(context, rate, one, other, seconds):
    requests = [(path, _build_call(path)) for path in (one, other)]
    _send_for(context, requests, seconds, rate)


@behave.when(
    'callers send {rate:d} calls a second of "{one}" and of "{other}" for'
    ' {seconds:g} s, beside {more:d} of "{path}"'
)
def send_calls_beside(context, rate, one, other, seconds, more, path):
    beside = _Sender(context.entry)
    thread = threading.Thread(
        target=_send_for,
        args=(beside, [(path, _build_call(path))], seconds, more),
    )
    thread.start()
    send_calls(context, rate, one, other, seconds)
    thread.join()
    context.beside = beside.ended


@behave.then('at least {count:d} calls have met the endless answers')
def check_met(context, count):
    met = sum(len(each.runs) for each in context.spoilt_services)
    assert met >= count, met


@behave.then(
    '{part:d} of {whole:d} calls of "{path}" are whole within {seconds:g} s'
)
def check_beside(context, part, whole, path, seconds):
    slow = [
        each
        for each in context.beside
        if not _is_whole(each) or each.seconds > seconds
    ]
    count = len(context.beside)
    assert len(slow) * whole <= count * (whole - part), (
        len(slow),
        count,
        max(each.seconds for each in context.beside),
        slow[:3],
    )


@behave.when(
    'callers send {rate:d} streams of {events:d} events a second for'
    ' {seconds:g} s'
)
def send_streams(context, rate, events, seconds):
    requests = [('/copy/x', lambda name: callers.build_stream(name, events))]
    _send_for(context, requests, seconds, rate)


def _is_whole(ended):
    answer = ended.answer
    return answer and answer.status == 200 and answer.is_complete


def _has_met(context, ended):
    """Return whether a request was sent to the endpoint that pours.

    It need not have read it: bytes behind an answer may still be arriving.
    """
    if context.spoilt is None:
        return False
    entry, name = context.entry, context.spoilt.name
    return any(
        row['request'] == ended.name
        and name in row.get('chain', row.get('endpoint'))
        for event in ('call sent', 'stream sent')
        for row in entry.list_events(event)
    )


def _find_reasons(context, wrong):
    """Return why the entry did not answer some requests, for a message."""
    names = {each.name for each in wrong[:3]}
    reasons = [
        row
        for event in ('call not answered', 'request denied')
        for row in context.entry.list_events(event)
        if row['request'] in names
    ]
    for event in ('endpoint left out', 'last endpoint kept'):
        for row in context.entry.list_events(event):
            reasons.append((event, row['at'], row['endpoint'], row['reason']))
    return reasons


def _check_ends(context, path, result):
    chosen = [each for each in context.ended if each.path == path]
    assert chosen
    broken = [
        each
        for each in chosen
        if not _is_whole(each)
        and not (result == 'whole or cut' and _has_met(context, each))
    ]
    reasons = _find_reasons(context, broken)
    assert not broken, (len(broken), len(chosen), broken[:3], reasons)


@behave.then('each call of "{path}" ends {result}')
def check_calls(context, path, result):
    _check_ends(context, path, result)


@behave.then('each stream ends {result}')
def check_streams(context, result):
    _check_ends(context, '/copy/x', result)


@behave.then(
    'the calls of "{path}" that meet it end as unknown, the others are whole'
)
def check_once(context, path):
    wrong = []
    for each in context.ended:
        if each.path != path or _is_whole(each):
            continue
        answer = each.answer
        is_cut = answer is None or not answer.is_complete
        if not _has_met(context, each) or not (
            is_cut or answer.status in (502, 504)
        ):
            wrong.append(each)
    reasons = _find_reasons(context, wrong)
    assert not wrong, (len(wrong), wrong[:3], reasons)


@behave.then('no call took longer than {seconds:g} s')
def check_seconds(context, seconds):
    slowest = max(context.ended, key=lambda each: each.seconds)
    assert slowest.seconds <= seconds, slowest


@behave.then('it serves {seconds:g} s after the endpoints have recovered')
def check_recovered(context, seconds):
    for runner in context.scene.fleet.runners:
        runner.faults.pours = None

    def serves():
        context.ended = []
        for path in ('/lists/x', '/orders/x'):
            name = f'r-{next(_numbers)}'
            data = callers.build_request(name, path)
            _send_one(context, path, data, name)
        name = f'r-{next(_numbers)}'
        _send_one(context, '/copy/x', callers.build_stream(name, 5), name)
        return all(map(_is_whole, context.ended))

    assert processes.wait_for(serves, seconds), context.ended


@behave.then('the service got at most {count:d} calls')
def check_count(context, count):
    assert len(context.spoilt.runs) <= count, len(context.spoilt.runs)


@behave.then('the entry has taken at most {size:d} MB')
def check_entry_memory(context, size):
    taken = processes.read_peak_memory(context.entry.process.pid) / MB
    assert taken <= size, taken


# Large answers that end.


@behave.given('services whose answers have {size:d} MB, {framing}')
def answer_large(context, size, framing):
    async def answer(request, channel, run):
        run.ended = 'ok'
        headers = {'Attempt-Id': run.request, 'Server-Stamp': '1'}
        is_chunked = framing == 'in chunks'
        length = size * MB if framing == 'with a length' else None
        framed = framing != 'without a length'
        await channel.send(channel.build_head(200, headers, length, framed))
        block = b'y' * MB
        if is_chunked:
            block = b'%x\r\n%b\r\n' % (MB, block)
        for _ in range(size):
            await channel.send(block)
        if is_chunked:
            await channel.send(b'0\r\n\r\n')
        elif not framed:
            channel.close()

    context.size = size * MB
    for service in context.scene.list_services():
        service._call = answer


def _read_slowly(context, path, rate):
    """Send a call and count the bytes of its answer's body."""
    host, _, port = context.entry.listen.rpartition(':')
    data = callers.build_request(f'l-{next(_numbers)}', path)
    count = size = 0
    tail = b''
    connection = socket.create_connection((host, int(port)))
    with contextlib.closing(connection):
        connection.settimeout(10.0)
        connection.sendall(data)
        began = time.monotonic()
        with contextlib.suppress(OSError):
            while tail != b'\r\n0\r\n\r\n' and count < context.size:
                part = connection.recv(MB // 4)
                if not part:
                    break
                size += len(part)
                count += part.count(b'y')
                tail = (tail + part[-7:])[-7:]
                due = began + size / rate
                time.sleep(max(0.0, due - time.monotonic()))
    context.sizes.append(count)


@behave.when(
    '{count:d} callers that read {rate:g} MB a second send a call of "{path}"'
    ' each'
)
def read_slowly(context, count, rate, path):
    context.sizes = []
    threads = [
        threading.Thread(target=_read_slowly, args=(context, path, rate * MB))
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@behave.then('each of them gets all of its answer')
def check_sizes(context):
    assert all(size == context.size for size in context.sizes), context.sizes
