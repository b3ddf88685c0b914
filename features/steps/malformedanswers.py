"""Steps for answers that are no HTTP, at entries."""

import asyncio
import itertools
import re

import behave
from dunlintide_adapters import endpointhttp
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import malformed
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import runners
import foreignanswers

MANY = 1000
TIMEOUT_SECONDS = 1.0
# Sound requests between malformed answers, so that the budget for retries
# grows and endpoints are not ejected for good.
SOUND_CALLS = 5
EVENTS = 5
_OWN = {'Attempt-Id': 'r-1'}

_numbers = itertools.count(1)


# A connection in this process.


def _frame_sound(is_bodiless):
    head = b'HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nContent-Length: 4\r\n\r\n'
    return head if is_bodiless else head + b'late'


async def _read(connection, transport, data, step):
    """Feed an answer and the end of the connection, and read it."""
    for start in range(0, len(data), step):
        foreignanswers._feed(connection, transport, data[start : start + step])
    if not transport.is_closed:
        connection.eof_received()
    deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
    head = await connection.read_head(deadline)
    return head, await connection.read_all(deadline, 1000)


def _send(connection, is_bodiless):
    connection.send(
        b'', is_bodiless, is_own=lambda head: head.get('attempt-id') == 'r-1'
    )


@behave.when('each malformed answer to {method} arrives {cut}, {place}')
def feed_each(context, method, cut, place):
    is_bodiless = method == 'HEAD'
    context.taken = []

    async def play(kind):
        connection, transport = foreignanswers._open('r-1')
        _send(connection, is_bodiless)
        sound = _frame_sound(is_bodiless)
        if place == 'behind a sound answer':
            foreignanswers._feed(connection, transport, sound % b'r-1')
            deadline = asyncio.get_running_loop().time() + TIMEOUT_SECONDS
            await connection.read_all(deadline, 1000)
            assert connection.is_reusable
            _send(connection, is_bodiless)
        data = kind.encode(_OWN, b'' if is_bodiless else b'answer')
        if place == 'behind an answer to another request':
            data = sound % b'r-0' + data
        step = 1 if cut == 'byte by byte' else len(data)
        try:
            answer = await _read(connection, transport, data, step)
            context.taken.append((kind.value, *answer))
        except endpointhttp.CallError as error:
            if error.kind is not endpointhttp.FailureKind.GARBLED:
                context.taken.append((kind.value, error))
        assert not connection.is_reusable

    for kind in malformed.Malformed:
        if is_bodiless and kind in malformed.WITHIN_BODY:
            continue
        asyncio.run(play(kind))


@behave.then('each call has failed, and its connection is not used again')
def check_none_taken(context):
    assert not context.taken, context.taken


@behave.then(
    'an answer with a status of 100 to 599 but 101, or with odd text, is read'
    ' as it is'
)
def check_sound(context):
    lines = [
        b'HTTP/1.1 %d Odd' % status
        for status in range(200, 600)
        if status not in (204, 304)
    ]
    lines += [
        b'HTTP/1.1 %d Early\r\nLink: x\r\n\r\nHTTP/1.1 200 Odd' % status
        for status in (100, 102, 103, 199)
    ]
    lines += [
        b'HTTP/1.1 200 %b\r\nX-Odd:%b' % (text, text)
        for text in (b'', b' ', b'a\tb', b'\x80\xff', b':', b'  a  ')
    ]
    lines += [b'HTTP/1.0 200 OK', b'HTTP/1.1 200', b'\r\nHTTP/1.1 200 OK']
    lines += [b"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~0Z: 1"]

    async def read(line):
        connection, transport = foreignanswers._open('r-1')
        data = line + b'\r\nAttempt-Id: r-1\r\nContent-Length: 2\r\n\r\nok'
        head, body = await _read(connection, transport, data, len(data))
        status = int(re.findall(rb'HTTP/1\.[01] ([0-9]+)', line)[-1])
        assert (head.status, body) == (status, b'ok'), (line, head, body)

    for line in lines:
        asyncio.run(read(line))


# A real entry.


def _share_faults(chosen):
    """Let endpoints share their faults, so that one answer is malformed."""
    faults = runners.Faults()
    for each in chosen:
        each.faults = faults
    return faults


def _ask(context, name, data):
    caller = callers.Caller(context.entry.listen)
    try:
        caller.send(data)
        context.answers[name] = caller.read_answer()
    finally:
        caller.close()


@behave.when(
    'each malformed answer meets a call of "{once}" and one of "{many}"'
)
def meet_calls(context, once, many):
    context.scene.fleet.call_seconds = 0.015
    faults = _share_faults(context.scene.list_services())
    context.answers, context.kinds = {}, {}

    def call(path, kind):
        faults.malformed_answers, faults.malformed_kind = 1, kind
        name = f'malformed-{next(_numbers)}'
        context.kinds[name] = path, kind
        _ask(context, name, callers.build_request(name, path))
        faults.malformed_answers = 0
        for _ in range(SOUND_CALLS):
            name = f'sound-{next(_numbers)}'
            _ask(context, name, callers.build_request(name, many))
            assert context.answers[name].status == 200, context.answers[name]

    for kind in malformed.Malformed:
        call(once, kind)
        call(many, kind)


def _list_met(context, path):
    return [
        (
            name,
            kind,
            context.answers[name],
            context.scene.fleet.list_runs(name),
        )
        for name, (asked, kind) in context.kinds.items()
        if asked == path
    ]


@behave.then('each call of "{path}" got 502 and ran once')
def check_once(context, path):
    wrong = [
        (kind.value, answer)
        for _, kind, answer, runs in _list_met(context, path)
        if answer.status != 502
        or 'server-stamp' in answer.headers
        or [run.ended for run in runs] != ['malformed']
    ]
    assert not wrong, wrong


@behave.then('each call of "{path}" got its own answer from another run')
def check_again(context, path):
    wrong = [
        (kind.value, answer, [run.ended for run in runs])
        for name, kind, answer, runs in _list_met(context, path)
        if answer.status != 200
        or answer.body != b'answer to ' + name.encode()
        or [run.ended for run in runs] != ['malformed', 'ok']
    ]
    assert not wrong, wrong


@behave.then('the log tells the fault of each')
def check_log(context):
    told = {
        row['request']: row['reason']
        for row in context.entry.list_events('call not answered')
    }
    wrong = [
        (kind.value, told.get(name))
        for name, (_, kind) in context.kinds.items()
        if context.answers[name].status != 200
        and not re.search('garbled: .', told.get(name, ''))
    ]
    assert not wrong, wrong


@behave.when('each malformed answer meets a stream of {events:d} events')
def meet_streams(context, events):
    scene = context.scene
    scene.wait_for_layers()
    scene.wait_for_listing(context.entry)
    faults = _share_faults(scene.list_engines())
    context.answers, context.events = {}, events
    context.kinds = {}
    for kind in malformed.Malformed:
        faults.malformed_answers, faults.malformed_kind = 1, kind
        for name in (f'malformed-{next(_numbers)}', f'sound-{next(_numbers)}'):
            context.kinds[name] = kind
            _ask(context, name, callers.build_stream(name, events))


@behave.then('each stream has its events once and in order')
def check_streams(context):
    wrong = []
    for name, answer in context.answers.items():
        pieces = re.findall(rb'data: (\S+)', answer.body)
        expected = [
            f'{name}-{number}'.encode()
            for number in range(1, context.events + 1)
        ]
        if pieces != expected or not answer.is_complete:
            wrong.append((context.kinds[name].value, name, answer))
    assert not wrong, (len(wrong), wrong)


@behave.given('streams may not be resumed')
def forbid_resumption(context):
    configuration = operators.make_configuration(9)
    for route in configuration['route_list']:
        route['resumable'] = False
    context.scene.configure(configuration)
    context.scene.wait_until(
        lambda: context.entry.read_state()['configuration']['revision'] == 9,
        'the configuration is in force',
    )


@behave.then('each stream that met one ran once, and got 502 or was cut off')
def check_streams_once(context):
    wrong = []
    for name, kind in context.kinds.items():
        answer = context.answers[name]
        runs = [run.ended for run in context.scene.fleet.list_runs(name)]
        if name.startswith('sound'):
            is_right = answer.status == 200 and answer.is_complete
        elif kind in malformed.WITHIN_BODY and answer.status == 200:
            is_right = not answer.is_complete and runs == ['malformed']
        else:
            is_right = answer.status == 502 and runs == ['malformed']
        if not is_right:
            wrong.append((kind.value, name, answer, runs))
    assert not wrong, (len(wrong), wrong)


@behave.given('one {endpoint} sends {kind} in all answers')
def spoil_endpoint(context, endpoint, kind):
    scene = context.scene
    scene.wait_for_layers()
    scene.wait_for_listing(context.entry)
    chosen = scene.list_services()
    if endpoint.startswith('engine'):
        chosen = [each for each in scene.list_engines() if not each.layers[0]]
        assert len(chosen) > 1, chosen
    context.spoilt = chosen[0]
    context.spoilt.faults.malformed_answers = MANY
    context.spoilt.faults.malformed_kind = malformed.Malformed(kind)


@behave.then('the endpoint got at most {count:d} requests')
def check_count(context, count):
    assert len(context.spoilt.runs) <= count, len(context.spoilt.runs)


# Requests that are no suspects.


@behave.given('two more services in "{domain}"')
def add_endpoints(context, domain):
    for _ in range(2):
        context.scene.run(context.scene.fleet.add('web', domain))
    context.scene.wait_for_layers()
    context.scene.wait_for_listing(context.entry)


def _build_same(request):
    name = f'same-{next(_numbers)}'
    if request == 'call':
        return name, callers.build_request(name, '/lists/same')
    return name, callers.build_stream(name, EVENTS, ('5c', 'a1', 'b2'))


@behave.when(
    'the same {request} meets malformed answers of {count:d} endpoints'
)
def meet_each(context, request, count):
    scene = context.scene
    chosen = scene.list_services()
    if request == 'stream':
        chosen = [each for each in scene.list_engines() if not each.layers[0]]
    context.answers = {}
    for each in chosen:
        each.faults.malformed_answers = MANY
    for _ in range(5 * count):
        name, data = _build_same(request)
        _ask(context, name, data)
    for each in chosen:
        each.faults.malformed_answers = 0
    met = [len(each.runs) for each in chosen]
    assert sum(map(bool, met)) >= count, met


@behave.then('the same {request} is whole once answers are sound')
def check_same(context, request):
    def is_whole():
        name, data = _build_same(request)
        _ask(context, name, data)
        answer = context.answers[name]
        refusals = context.entry.list_events('request denied')
        refusals += context.entry.list_events('part refused')
        assert answer.status != 503 or not refusals, (answer, refusals)
        return answer.status == 200 and answer.is_complete

    context.scene.wait_until(is_whole, 'the request is whole')


# Odd values in headers.

_ODD_NUMBERS = ('9' * 19, '9' * 400, '9' * 5000, '-9', '1e308', 'NaN', '')
_ODD_HEADERS = [
    (name, form % value)
    for name, form in (
        ('Keep-Alive', 'timeout=%s'),
        ('Server-Limit', '%s'),
        ('Server-Leaving', '%s'),
        ('Retry-After', '%s'),
        ('Weight-Versions', '%s'),
        ('At-Server', '%s'),
    )
    for value in _ODD_NUMBERS
]


@behave.when('the answers to calls carry odd values in headers')
def carry_odd_values(context):
    context.answers = {}
    odd = {}

    async def answer(request, channel, run):
        run.ended = 'ok'
        headers = {'Attempt-Id': run.request, 'Server-Stamp': '1', **odd}
        await channel.answer(
            200, b'answer to ' + run.request.encode(), headers
        )

    for service in context.scene.list_services():
        service._call = answer
    for name, value in _ODD_HEADERS:
        odd.clear()
        odd[name] = value
        for path in ('/orders/x', '/lists/x'):
            request = f'odd-{next(_numbers)}'
            _ask(context, request, callers.build_request(request, path))
            context.answers[request] = name, value, context.answers[request]


@behave.then('each of these calls got its own answer')
def check_odd(context):
    wrong = [
        (header, value[:9], len(value), answer.status)
        for name, (header, value, answer) in context.answers.items()
        if answer.status != 200 or answer.body != b'answer to ' + name.encode()
    ]
    assert not wrong, (len(wrong), wrong)


@behave.when(
    'calls and streams carry odd numbers in headers, each before a sound one'
)
def send_odd_values(context):
    context.scene.wait_for_layers()
    context.scene.wait_for_listing(context.entry)
    context.answers, context.odd = {}, {}
    fields = ('Deadline_Ms', 'Token_Count', 'Length_Hint', 'Last_Event_Id')
    for field, number, build in itertools.product(
        fields, _ODD_NUMBERS, (_build_call, _build_stream)
    ):
        name = f'odd-{next(_numbers)}'
        value = f'9,{number}' if field == 'Token_Count' else number
        _ask(context, name, build(name, **{field: value}))
        answer = context.answers.pop(name)
        context.odd[name] = field, number[:9], len(number), answer.status
        name = f'sound-{next(_numbers)}'
        _ask(context, name, build(name))


def _build_call(name, **more):
    return callers.build_request(name, '/lists/x', **more)


def _build_stream(name, **more):
    data = callers.build_stream(name, EVENTS)
    for field, value in more.items():
        header = field.replace('_', '-')
        line = f'{header}: {value}\r\n'.encode()
        data = re.sub(rb'(?m)^%b:.*\r\n' % header.encode(), b'', data)
        data = data.replace(b'\r\n', b'\r\nEvents: 5\r\n' + line, 1)
    return data


@behave.then('none of them got 500')
def check_no_error(context):
    wrong = [each for each in context.odd.values() if each[-1] == 500]
    assert not wrong, (len(wrong), wrong)


@behave.then('each sound one is whole')
def check_sound_ones(context):
    wrong = [
        (name, answer)
        for name, answer in context.answers.items()
        if answer.status != 200 or not answer.is_complete
    ]
    assert not wrong, (len(wrong), wrong[:3])
