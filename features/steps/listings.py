"""Steps for endpoints and configuration read from the store."""

import base64
import json
import time

import behave
from dunlintide_adapters import decisionlog
from dunlintide_core.pipeline import endpoints
from dunlintide_daemon.gateway import follower
from dunlintide_daemon.gateway import gossip
from dunlintide_platform import configurations
from dunlintide_platform import listings
from dunlintide_platform import storevalues
import edge_settings
import hypothesis
from hypothesis import strategies
import msgspec

VALID_ROW = {
    'service': 'llm',
    'address': '10.0.0.1:80',
    'zone': 'a',
    'version': 'v1',
    'slots': 6,
    'state': 'ready',
    'cold_left_ms': 0,
    'seq': 1,
    'route_type': 'small',
    'layers': [{'from': 0, 'to': 9, 'version': 1}],
}


class RecordingLog(decisionlog.DecisionLog):
    """A decision log that keeps its lines in memory."""

    def __init__(self):
        super().__init__('one', output=2)
        self.lines = []

    def write(self, event, **fields):
        self.lines.append((event, fields))

    write_always = write


def make_state():
    return edge_settings.make_state(RecordingLog())


def write_row(context, name, value):
    """Deliver a value to the follower in the store's wire form."""
    context.revision += 1
    row = {
        'key': f'servers/{name}',
        'value': value,
        'revision': context.revision,
    }
    (item,) = storevalues.decode_items([row])
    context.follower.apply(item)


def write(context, name, value):
    write_row(context, name, base64.b64encode(value).decode())


def write_entry(context, name, **more):
    write(context, name, json.dumps({**VALID_ROW, **more}).encode())


@behave.given('a follower of a store with a sound endpoint "{name}"')
def make_follower(context, name):
    context.state = make_state()
    context.revision = 0
    context.follower = follower.Follower(
        context.state, None, lambda item: None
    )
    write_entry(context, name)


@behave.given(
    'a follower of a store with an endpoint "{name}" born at {born:d}'
)
def make_follower_of_born(context, name, born):
    make_follower(context, name)
    write_entry(context, name, born=born)


@behave.when('an entry of "{name}" comes whose {field} is {value}')
def write_malformed(context, name, field, value):
    row = dict(VALID_ROW)
    if value == 'missing':
        del row[field]
    elif value == 'a number of 400 digits':
        row[field] = 10**399
    else:
        row[field] = json.loads(value)
    if field == 'born':
        row['layers'] = []
    context.spoiled = name, json.dumps(row).encode()
    write(context, *context.spoiled)


@behave.when('the value {value} comes at the key of "{name}"')
def write_value(context, value, name):
    if value == 'not base64':
        write_row(context, name, '$$$')
    elif value == 'a number':
        write_row(context, name, 5)
    elif value.startswith('0x'):
        write(context, name, bytes.fromhex(value[2:]))
    else:
        write(context, name, value.encode())


@behave.when('a sound entry of "{name}" comes')
def write_sound(context, name):
    write_entry(context, name)


def list_names(context):
    return {each.identity for each in context.state.list_endpoints('llm')}


@behave.then('it names no endpoint, and "{name}" is in use')
def check_refused(context, name):
    assert list_names(context) == {name}, list_names(context)
    assert len(context.state.endpoints) == 1


@behave.then('the refusal is logged once however often it comes')
def check_logged(context):
    for _ in range(3):
        write(context, *context.spoiled)
    lines = [
        fields
        for event, fields in context.state.log.lines
        if event == 'endpoint refused'
    ]
    assert len(lines) == 1, lines
    metric = context.state.counters.refused_items.labels('endpoint')
    assert metric._value.get() == 4


@behave.then('"{name}" is in use')
def check_used(context, name):
    assert name in list_names(context)


@behave.then('"{name}" is not in use')
def check_unused(context, name):
    assert name not in list_names(context)


@behave.then('"{name}" is not in use, but still holds its layers')
def check_held(context, name):
    check_unused(context, name)
    held = context.state.endpoints[name]
    assert (held.start, held.end) == (0, 9)


@behave.then(
    '"{name}" is no engine of a model of {layers:d} layers, and "{other}" is'
    ' one'
)
def check_engine(context, name, layers, other):
    profile = edge_settings.make_profile(layers=layers)
    found = context.state.list_engines('llm', profile)
    assert [each.identity for each in found] == [other]


@behave.given('it is accused, refuses, broke runs and leaves')
def record_faults(context):
    state = context.state
    (endpoint,) = state.list_endpoints('llm')
    context.life = endpoint.name
    state.eject([endpoint.name], 'still', 's-1')
    state.health.record_refusal(endpoint.name, state.now)
    state.poison_requests.record_broken_run(
        'request', endpoint.name, state.now
    )
    state.mark_leaving(endpoint.name, 'two')
    context.ended = []
    state.incarnation_listeners.append(context.ended.append)


@behave.then(
    '"{name}" is in use, holds no layers and nothing is held against it'
)
def check_new_incarnation(context, name):
    state = context.state
    (endpoint,) = state.list_endpoints('llm')
    assert endpoint.identity == name
    assert endpoint.start == endpoint.end == 0
    assert not endpoint.draining
    assert not state.health.expects_refusal(endpoint.name, state.now)
    assert not state.health.get_suspicion_seconds(endpoint.name, state.now)
    # The new incarnation counts as a separate endpoint, so the request
    # has now broken runs at two.
    count = state.poison_requests.record_broken_run(
        'request', endpoint.name, state.now
    )
    assert count == 2, count


@behave.then('those who ran on its old life are told')
def check_told(context):
    assert context.ended == [context.life]


@behave.then('"{name}" is in use, born at {born:d}')
def check_born(context, name, born):
    found = context.state.list_endpoints('llm')
    assert [(each.identity, each.born) for each in found] == [(name, born)]


@behave.when('its report says that it was born at {born:d}')
def report_born(context, born):
    (endpoint,) = context.state.list_endpoints('llm')
    context.state.record_incarnation(endpoint, born)


JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=8),
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=6), inner, max_size=3),
    max_leaves=6,
)


def generate_rows(sound):
    """Generate rows from a valid one, with fields dropped or replaced."""
    fields = strategies.sampled_from(sorted(sound) + ['born'])
    changes = strategies.dictionaries(fields, JSON, max_size=3)
    drops = strategies.sets(fields, max_size=2)

    def build(changed, dropped):
        row = {**sound, **changed}
        for field in dropped:
            row.pop(field, None)
        return json.dumps(row).encode()

    return strategies.builds(build, changes, drops)


def check_all(values, check):
    hypothesis.settings(
        max_examples=400, deadline=None, derandomize=True, database=None
    )(hypothesis.given(values)(check))()


@behave.then('any value is refused or names an endpoint that makes sense')
def fuzz_endpoints(context):
    newest = time.time()

    def check(value):
        decoded = listings.decode_endpoint('servers/i-1', value, newest)
        if decoded.is_err():
            return
        found = decoded.ok_value
        listings.check_address(found.address)
        assert 0 <= found.start <= found.end
        assert found.slots >= 1 and found.cold_ms >= 0
        for text in (found.service, found.domain):
            assert isinstance(text, str) and text
        assert isinstance(found.kind, str)
        assert found.name == endpoints.name_incarnation('i-1', found.born)

    values = strategies.binary(max_size=64) | generate_rows(VALID_ROW)
    check_all(values | JSON.map(lambda row: json.dumps(row).encode()), check)


ROUTE = {
    'name': 'r',
    'hostname': 'x.example',
    'prefix': '/x/',
    'route_type': 'idempotent',
    'timeout_ms': 800,
    'service': 'web',
}
CONFIGURATION = {
    'version': 2,
    'services': [{'name': 'web', 'health_path': '/h', 'max_conns': 9}],
    'route_list': [ROUTE],
    'tenants': [{'name': 't', 'api_keys': ['k']}],
    'limits': {'max_header_bytes': 100, 'idle_timeout_ms': 5},
}


@behave.then('any value is refused or is a configuration in force')
def fuzz_configurations(context):
    def check(value):
        decoded = configurations.decode_deployment(value)
        if decoded.is_ok():
            assert make_state().apply_configuration(decoded.ok_value, value)

    routes = generate_rows(ROUTE).map(
        lambda row: json.dumps(
            {**CONFIGURATION, 'route_list': [json.loads(row)]}
        ).encode()
    )
    values = strategies.binary(max_size=64) | generate_rows(CONFIGURATION)
    check_all(values | routes, check)


@behave.then('any datagram is refused or taken in')
def fuzz_datagrams(context):
    def check(data):
        listener = gossip.Gossip(make_state())
        listener.datagram_received(data, ('10.0.0.1', 1))

    fields = strategies.lists(JSON, max_size=7)
    packed = fields.filter(_is_packable).map(_pack)
    check_all(strategies.binary(max_size=64) | packed, check)


def _pack(fields):
    return msgspec.msgpack.encode(fields)


def _is_packable(fields):
    try:
        _pack(fields)
    except OverflowError:
        return False
    return True
