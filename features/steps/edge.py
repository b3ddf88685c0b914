"""Steps for streams and calls through entries on the platform's store."""

import socket
import struct

import behave
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import scene as edge_scene


@behave.given(
    'a platform with engines and services in failure domains "{one}" and'
    ' "{other}"'
)
def make_platform(context, one, other):
    context.scene = edge_scene.Scene(context.pick_ports, context.make_folder())
    context.stack.callback(context.scene.close)
    context.scene.configure(operators.make_configuration())
    context.scene.add_runners((one, other))
    context.answers = {}
    context.callers = {}


@behave.given('a ready entry "{name}" in "{domain}" that stops by length')
def add_stopping_entry(context, name, domain):
    add_ready_entry(context, name, domain, demand={'stop_by_length': True})


@behave.given('a ready entry "{name}" in "{domain}"')
def add_ready_entry(context, name, domain, **more):
    scene = context.scene
    entry = scene.add_entry(name, domain, **more)
    scene.wait_for_ready(entry)
    scene.wait_for_layers()
    scene.wait_for_listing(entry)
    for other in scene.entries[:-1]:
        scene.wait_until(
            lambda other=other: name in other.read_state()['entries'],
            f'{name} is known to the others',
        )
    if len(scene.entries) == 1:
        context.entry = entry


@behave.given('an entry "{name}" in "{domain}" that just started')
def make_entry(context, name, domain):
    context.scene.add_entry(name, domain)


@behave.when('a caller streams {count:d} events as "{name}"')
def stream(context, count, name):
    start_stream(context, count, name)


@behave.when('a caller starts to stream {count:d} events as "{name}"')
def start_stream(context, count, name):
    caller = callers.Caller(context.entry.listen)
    caller.send(callers.build_stream(name, count))
    context.callers[name] = caller
    context.stack.callback(caller.close)


@behave.when('a caller that soon leaves streams {count:d} events as "{name}"')
def disconnect_stream(context, count, name):
    start_stream(context, count, name)
    fleet = context.scene.fleet
    context.scene.wait_until(
        lambda: any(run.events > 2 for run in fleet.list_runs(name)),
        'the stream runs',
    )
    context.callers[name].close()


@behave.then('"{name}" got {count:d} events in order, once and whole')
def check_events(context, name, count):
    answer = context.callers[name].read_answer()
    assert answer.status == 200, answer.status
    assert answer.is_complete, 'the answer is cut'
    expected = b''.join(
        b'id: %d\ndata: %s-%d\n\n' % (number, name.encode(), number)
        for number in range(1, count + 1)
    )
    assert answer.body == expected, answer.body[-200:]
    assert 'server-stamp' in answer.headers


@behave.then('every run of "{name}" had a chain that covers each layer once')
def check_chain(context, name):
    runs = context.scene.fleet.list_runs(name)
    assert runs
    for run in runs:
        position = 0
        for _, first, last in run.hops:
            assert first == position, run.hops
            position = last
        assert position == operators.LAYERS, run.hops


@behave.then('"{name}" ran {count:d} time')
@behave.then('"{name}" ran {count:d} times')
def check_runs(context, name, count):
    runs = context.scene.fleet.list_runs(name)
    assert len(runs) == count, [(run.runner, run.ended) for run in runs]


@behave.then('no runner was ordered to hold more than its card takes')
def check_loads(context):
    assert not any(each.overloaded for each in context.scene.fleet.runners)


@behave.when('a caller calls "{path}" as "{name}"')
def call(context, path, name):
    context.answers[name] = context.entry.call(name, path)


@behave.when('a caller that claims team "{team}" calls "{path}" as "{name}"')
def call_as_team(context, team, path, name):
    context.answers[name] = context.entry.call(name, path, Tenant=team)


@behave.when('a caller calls "{path}" {count:d} times')
def call_often(context, path, count):
    context.many = [
        context.entry.call(f'c-{number}', path) for number in range(count)
    ]


@behave.when('one connection calls "{path}" {count:d} times')
def call_on_one(context, path, count):
    caller = callers.Caller(context.entry.listen)
    context.stack.callback(caller.close)
    context.many = []
    for number in range(count):
        caller.send(callers.build_request(f'c-{number}', path))
        context.many.append(caller.read_answer())


@behave.then('each answer belongs to its request')
def check_owners(context):
    for number, answer in enumerate(context.many):
        assert answer.status == 200, answer.status
        assert answer.body == b'answer to c-%d' % number, answer.body


@behave.then('all of them got status {status:d}')
def check_many(context, status):
    found = [answer.status for answer in context.many]
    assert set(found) == {status}, found


@behave.then('a service ran "{name}" once and answered {status:d}')
def check_call(context, name, status):
    answer = context.answers[name]
    assert answer.status == status, answer.status
    assert answer.is_complete
    assert answer.body == b'answer to ' + name.encode()
    assert len(context.scene.fleet.list_runs(name)) == 1


@behave.then('"{name}" got status {status:d}')
def check_status(context, name, status):
    assert context.answers[name].status == status


@behave.then('"{name}" was told {status:d} and when to return')
def check_refusal(context, name, status):
    answer = context.answers[name]
    assert answer.status == status, answer.status
    assert float(answer.headers['retry-after']) > 0
    assert 'server-stamp' not in answer.headers


@behave.then('the run of "{name}" names team "{team}" and holds no key')
def check_team(context, name, team):
    (run,) = context.scene.fleet.list_runs(name)
    assert run.headers['tenant'] == team
    assert 'authorization' not in run.headers
    assert operators.KEY not in str(run.headers)


@behave.then('calling "{path}" with key "{key}" gets status {status:d}')
def check_key(context, path, key, status):
    def check():
        return context.entry.call('k-1', path, key=key).status == status

    context.scene.wait_until(check, f'{path} gets {status}')


@behave.then('calling "{path}" without a key gets status {status:d}')
def check_no_key(context, path, status):
    found = context.entry.call('k-2', path, key=None).status
    assert found == status, found


@behave.then('the entry\'s log says that rule "{rule}" decided "{name}"')
def check_rule(context, rule, name):
    def check():
        ended = context.entry.list_events('request ended')
        return any(
            row['request'] == name and row['rule'] == rule for row in ended
        )

    context.scene.wait_until(check, 'the log line')


@behave.when(
    'the connection of a stream "{name}" at an engine is closed by {end}'
)
def close_stream(context, name, end):
    caller = callers.Caller(context.scene.list_engines()[0].address)
    caller.send(callers.build_stream(name, 500))
    status, _ = caller.read_head()
    assert status == 200, status
    if end == 'RST':
        linger = struct.pack('ii', 1, 0)
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    caller.close()


@behave.then('the run of "{name}" is cancelled within 1 second')
def check_cancelled(context, name):
    (run,) = context.scene.fleet.list_runs(name)
    context.scene.wait_until(lambda: run.ended, 'the run ends')
    assert run.ended == 'cancelled', run.ended
    assert run.events < 100 + 100, run.events


@behave.then('the entry holds no reservation')
def check_reservations(context):
    context.scene.wait_until(
        lambda: not context.entry.read_state()['in_flight'],
        'nothing is reserved',
    )
