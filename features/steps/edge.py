"""Steps about entries on the platform's store."""

import json
import signal
import subprocess
import threading
import time

import behave
from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import runners
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


@behave.given('a ready entry "{name}" in "{domain}"')
def make_ready_entry(context, name, domain):
    scene = context.scene
    entry = scene.add_entry(name, domain)
    scene.wait_until(entry.is_ready, f'{name} is ready')
    scene.wait_for_layers()
    scene.wait_for_listing(entry)
    if len(scene.entries) == 1:
        context.entry = entry


@behave.given('an entry "{name}" in "{domain}" that just started')
def make_entry(context, name, domain):
    context.scene.add_entry(name, domain)


def _find(context, name):
    for entry in context.scene.entries:
        if entry.name == name:
            return entry
    raise AssertionError(f'no entry {name}')


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
def leave_stream(context, count, name):
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
    assert answer.whole, 'the answer is cut'
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
    assert answer.whole
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


def _spoil(runners, **faults):
    for runner in runners:
        for name, value in faults.items():
            setattr(runner.faults, name, value)


@behave.given('every service loses its next answer')
def lose_next(context):
    _spoil(context.scene.list_services(), lose=1)


@behave.given('one service loses all its answers')
def lose_all(context):
    _spoil(context.scene.list_services()[:1], lose=1000)


@behave.given('every service is full')
def fill(context):
    _spoil(context.scene.list_services(), full=True)


@behave.given('every service sends a second answer behind its next one')
def send_extra(context):
    _spoil(context.scene.list_services(), extra=1)


@behave.given('every service sends its next answer without a length')
def send_unframed(context):
    _spoil(context.scene.list_services(), unframed=1)


@behave.given('every engine cuts its next stream within an event')
def cut_next(context):
    # Only the one that gets it first: the second run must go through.
    state = {'cut': False}

    class Once:
        full = False

        def take(self, name):
            if name == 'cut' and not state['cut']:
                state['cut'] = True
                return True
            return False

        def __getattr__(self, name):
            return None if name == 'stall_after' else 0

    for engine in context.scene.list_engines():
        engine.faults = Once()


@behave.given(
    'an engine with the first layer refuses its next {count:d} streams as'
    ' full'
)
def refuse_streams(context, count):
    # Once a stream was cut, the sends that follow meet full engines.
    state = {'left': count}
    engines = context.scene.list_engines()
    cut = engines[0].faults

    class Full:
        def take(self, name):
            return cut.take(name)

        def __getattr__(self, name):
            if name == 'full':
                began = any(engine.runs for engine in engines)
                if began and state['left'] > 0:
                    state['left'] -= 1
                    return True
                return False
            return None if name == 'stall_after' else 0

    for engine in engines:
        engine.faults = Full()


@behave.when('one engine of its chain stands still')
def stall_one(context):
    fleet = context.scene.fleet
    context.scene.wait_until(
        lambda: any(run.events > 3 for run in fleet.list_runs('s-1')),
        'the stream runs',
    )
    (run,) = fleet.list_runs('s-1')
    fleet.find(run.hops[-1][0]).faults.stall = True


@behave.given('one service reports that it drains')
def drain_one(context):
    scene = context.scene
    context.leaving = scene.list_services()[0]
    scene.run(context.leaving.list_itself('draining'))
    _wait_for_leaving(context)


def _wait_for_leaving(context):
    name = context.leaving.name

    def check():
        rows = context.entry.read_state()['endpoints']
        return any(row['name'] == name and row['draining'] for row in rows)

    context.scene.wait_until(check, 'the entry knows that it leaves')


@behave.then('that service ran none of them')
def check_leaving(context):
    assert not context.leaving.runs


@behave.when('an engine crashes and comes back')
def crash_engine(context):
    scene = context.scene
    context.engine = scene.list_engines()[0]
    scene.run(context.engine.crash(listed=False))
    scene.run(context.engine.start())


@behave.given(
    'a new engine of kind "{kind}" that carries out its first order'
    ' {seconds:d} seconds late'
)
def add_late_engine(context, kind, seconds):
    scene = context.scene
    engine = runners.Runner(scene.fleet, 'llm', 'a', kind)
    engine.faults.lose_orders = 1
    engine.faults.order_delay = float(seconds)
    scene.fleet.runners.append(engine)
    scene.run(engine.start())
    context.engine = engine


@behave.then('it holds layers again within {seconds:d} seconds')
def check_layers(context, seconds):
    context.scene.wait_until(lambda: context.engine.layers, 'it has layers')


@behave.then('it accepted {count:d} order')
def check_orders(context, count):
    # Long enough for the late order to have been carried out.
    time.sleep(2.5)
    assert context.engine.orders == count, context.engine.orders


@behave.when('the operator moves "{prefix}" to another service name "{name}"')
def move_route(context, prefix, name):
    configuration = operators.make_configuration(9)
    context.scene.configure(
        operators.rename_service(configuration, prefix, name)
    )


@behave.when('the operator writes a configuration that can\'t be read')
def break_configuration(context):
    context.scene.configure(operators.make_broken_configuration(11))


@behave.when('the operator removes the route "{prefix}"')
def remove_route(context, prefix):
    configuration = operators.make_configuration(9)
    context.scene.configure(operators.remove_routes(configuration, prefix))


@behave.then('the entry\'s log has a line "{event}"')
def check_log(context, event):
    context.scene.wait_until(
        lambda: context.entry.list_events(event), f'a line {event}'
    )


@behave.when('the store forgets its history while one service begins to drain')
def forget_history(context):
    scene = context.scene
    scene.store.faults.silent = True
    context.leaving = scene.list_services()[0]
    scene.run(context.leaving.list_itself('draining'))
    scene.store.compact()
    scene.store.faults.silent = False


@behave.then('the entry knows that it leaves within 3 seconds')
def check_known_leaving(context):
    _wait_for_leaving(context)


@behave.given('the store refuses all calls with {status:d}')
def refuse_calls(context, status):
    context.scene.store.faults.refuse = status
    context.scene.store.faults.silent = False


@behave.when('the store is sound again')
def mend_store(context):
    context.scene.store.faults.refuse = 0


@behave.then('the entry is ready')
def check_ready(context):
    assert context.entry.is_ready()


@behave.then('the entry is not ready')
def check_unready(context):
    context.scene.wait_until(
        lambda: not context.entry.is_ready(), 'it is not ready'
    )


@behave.then('entry "{name}" is not ready and answers a call with 503')
def check_unknowing(context, name):
    entry = _find(context, name)

    def check():
        try:
            answer = entry.call('c-1', '/lists/x')
        except OSError:
            return False
        assert answer.status == 503, answer.status
        assert float(answer.headers['retry-after']) > 0
        return True

    context.scene.wait_until(check, 'it answers')
    assert not entry.is_ready()


@behave.then('entry "{name}" is ready within 5 seconds')
def check_entry_ready(context, name):
    context.scene.wait_until(_find(context, name).is_ready, 'it is ready')


@behave.given('the store is cut off from entry "{name}"')
def cut_store(context, name):
    # Its settings name a port where nobody listens.
    entry = _find(context, name)
    scene = context.scene
    scene.wait_until(
        lambda: len(entry.read_state()['entries']) == 2
        and len(context.entry.read_state()['entries']) == 2,
        'the entries know each other',
    )
    (port,) = scene.pick_ports(1)
    entry.settings['store'] = f'127.0.0.1:{port}'
    entry.write_settings()
    scene.wait_until(
        lambda: entry.list_events('store lost'), 'it lost the store'
    )


@behave.then(
    'entry "{name}" answers a call of "{path}" with {status:d} within 5'
    ' seconds'
)
def check_entry_status(context, name, path, status):
    entry = _find(context, name)
    context.scene.wait_until(
        lambda: entry.call('c-9', path).status == status, f'{status}'
    )


@behave.when('the entry gets SIGTERM')
def terminate(context):
    fleet = context.scene.fleet
    context.scene.wait_until(
        lambda: any(run.events for run in fleet.list_runs('s-1')),
        'the stream runs',
    )
    context.entry.process.send_signal(signal.SIGTERM)


@behave.then('the entry ends within 6 seconds')
def check_end(context):
    assert context.entry.process.wait(6) == 0
    (row,) = context.entry.list_events('stopped')
    assert row['cut'] == 0, row


@behave.when('the settings file becomes "{text}"')
def break_settings(context, text):
    context.entry.write_settings(text)


@behave.then('the metrics count {count:d} complete call')
def check_metrics(context, count):
    text = context.entry.ask(context.entry.metrics, '/metrics').body.decode()
    name = 'dunlintide_edge_requests_total'
    line = f'{name}{{kind="call",outcome="complete"}} {float(count)}'
    assert line in text, text[:2000]


@behave.then('the state dump shows the rules and no key')
def check_dump(context):
    state = context.entry.read_state()
    rules = state['document']['rules']
    assert [rule['name'] for rule in rules][0] == 'public', rules
    assert operators.KEY not in json.dumps(state)


@behave.given('the store loses the answers of the next {count:d} writes')
def lose_answers(context, count):
    context.scene.store.faults.lose = count


@behave.then('one entry leads within 8 seconds')
def check_leader(context):
    scene = context.scene
    threading.Event().wait(0.1)
    scene.wait_until(
        lambda: scene.store.get('dunlintide/leader'), 'a leader is written'
    )


@behave.then(
    'the command line explains that "{rule}" decides a call of "{path}"'
)
def explain_rule(context, rule, path):
    command = ['dunlintide', 'rules', 'explain', '--member', 'diner']
    command += ['--host', operators.HOST, '--path', path]
    command += ['--admin', f'http://{context.entry.admin}']
    done = subprocess.run(command, capture_output=True, text=True)
    assert done.returncode == 0, done.stderr
    assert f'"{rule}" decides' in done.stdout, done.stdout
