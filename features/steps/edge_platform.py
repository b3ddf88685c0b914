"""Steps for an entry's configuration, settings and store."""

import asyncio
import contextlib
import json
import signal
import subprocess
import threading
import time

import behave
from dunlintide_adapters import endpointhttp
from dunlintide_core.pipeline import endpoints
from dunlintide_platform import orders
from dunlintide_standins.fleet import operators
import edge_lookups


@behave.when('the operator moves "{prefix}" to another service name "{name}"')
def move_route(context, prefix, name):
    configuration = operators.make_configuration(9)
    context.scene.configure(
        operators.set_route_service(configuration, prefix, name)
    )


def _read_version(context):
    return context.entry.read_state()['configuration']['revision']


@behave.when('the operator writes version {version:d} {how} list of teams')
def change_teams(context, version, how):
    configuration = operators.make_configuration(version)
    if how == 'without a':
        del configuration['tenants']
    else:
        configuration['tenants'] = []
    context.scene.configure(configuration)
    context.scene.wait_until(
        lambda: _read_version(context) == version,
        f'version {version} is in force',
    )


@behave.when('an engine ends and another one takes its address')
def replace_engine(context):
    runner = context.runner = context.scene.list_engines()[0]
    context.gone = endpoints.Endpoint(
        name=runner.name,
        address=runner.address,
        service=runner.service,
        domain=runner.domain,
        slots=1,
    )
    context.scene.run(runner.crash(keep_entry=False))
    context.scene.run(runner.start())


@behave.then('an order and a report for the first one get status 421 there')
def check_misdirected(context):
    async def exchange(data, timeout):
        loop = asyncio.get_running_loop()
        pool = endpointhttp.Pool()
        connection = await pool.open(context.gone.address, timeout)
        with contextlib.closing(connection):
            connection.send(data)
            head = await connection.read_head(loop.time() + timeout)
            body = await connection.read_all(loop.time() + timeout, 1 << 20)
            statuses.append(head.status)
            return head, body

    async def ask():
        # More than any engine can hold; the fence is above all others.
        await orders.send_placement(
            exchange, context.gone, 0, operators.LAYERS, 0, 1 << 30
        )
        read = await orders.read_report(exchange, context.gone)
        assert read.is_err()

    statuses = []
    context.scene.run(ask())
    assert statuses == [421, 421], statuses


@behave.then('the other one has been ordered nothing by them')
def check_orders(context):
    assert not context.runner.overloaded


@behave.when('the entry is started again')
def restart_entry(context):
    context.entry.stop()
    context.entry.start()
    context.scene.wait_for_ready(context.entry)


@behave.when('the operator writes a configuration that can\'t be read')
def break_configuration(context):
    context.scene.configure(operators.make_invalid_configuration(11))


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
    scene.run(context.leaving.write_entry('draining'))
    scene.store.compact()
    scene.store.faults.silent = False


@behave.then('the entry knows that it leaves within 3 seconds')
def check_known_leaving(context):
    edge_lookups.wait_for_leaving(context)


@behave.given('the store has turned the entry away for {seconds:f} s')
def refuse_calls_and_wait(context, seconds):
    refuse_calls(context, 503)
    time.sleep(seconds)


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
def check_unconfigured(context, name):
    entry = edge_lookups.find_entry(context, name)

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
    context.scene.wait_until(
        edge_lookups.find_entry(context, name).is_ready, 'it is ready'
    )


@behave.given('the store is cut off from entry "{name}"')
def cut_store(context, name):
    # The entry's settings name a port on which no process listens.
    entry = edge_lookups.find_entry(context, name)
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
    entry = edge_lookups.find_entry(context, name)
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
