"""Steps for callers that stop reading or sending."""

import copy

import behave
from dunlintide_standins import relay
from dunlintide_trials import plans
import outcomes_scene

ENTRY = 'entry-0'
PARTIAL_REQUEST = (
    b'POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 99\r\n\r\n{'
)


def connect(context):
    """Connect to an entry and complete one request."""
    connection = context.scene.connect()
    context.stack.callback(connection.close)
    context.scene.ask(connection, 1, stream=False)
    answer = connection.getresponse()
    assert answer.status == 200, answer.read()
    answer.read()
    return connection


def read_revision(scene):
    return scene.running.read_state(ENTRY)['configuration']['revision']


@behave.given('completions have {seconds:d} s')
def limit_time(context, seconds):
    scene = context.scene
    rules = copy.deepcopy(scene.rules)
    for rule in rules['rules']:
        if 'model' in rule['when']:
            rule['then']['deadline_seconds'] = seconds
    before = read_revision(scene)
    scene.running.apply_rules(rules).check()

    def has_changed():
        return read_revision(scene) > before

    outcomes_scene.wait_until(has_changed, 'the rules')


def count_outcomes(context, code):
    state = context.scene.running.read_state(ENTRY)
    return state['outcomes'].get(code, 0)


@behave.when('a caller whose connection has worked falls silent in a stream')
def stop_reading(context):
    connection = connect(context)
    context.settled = count_outcomes(context, 'deadline')
    context.scene.ask(connection, 300, stream=True)
    context.scene.find_chain()
    hop = plans.Hop.CALLER_ENTRY, ENTRY
    context.scene.running.relays[hop].stall(relay.Direction.BOTH)


def holds_none(context):
    return not context.scene.running.read_state(ENTRY)['in_flight']


@behave.then('the entry settles the request as "{code}" and holds none')
def check_settled(context, code):
    outcomes_scene.wait_until(lambda: holds_none(context), 'none is held')
    assert count_outcomes(context, code) == context.settled + 1


@behave.when('a caller whose connection has worked sends half a request')
def send_half(context):
    context.connection = connect(context)
    context.connection.sock.sendall(PARTIAL_REQUEST)


@behave.then('the entry closes that connection and holds no request')
def check_closed(context):
    assert context.connection.sock.recv(1) == b''
    assert holds_none(context)
