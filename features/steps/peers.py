"""Steps for the exchange of configuration and membership by gRPC."""

import json
import queue
import time

import behave
import result

from dunlintide_adapters import configstore
from dunlintide_adapters import hostlist
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import peers as peer_calls
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import records
from dunlintide_core import replicas
from dunlintide_core import revisions
from dunlintide_daemon import externalsources
from dunlintide_daemon import peers

_WAIT_SECONDS = 60
_TIMING = replicas.Timing(round=0.1, eager=0.02, reconcile=0.2)


class _Configs:
    """A fake configuration store that delivers queued snapshots."""

    def __init__(self):
        self.changes = queue.Queue()

    def watch(self, on_snapshot, stop, held, poll_seconds, on_read):
        while not stop.wait(0.01):
            while not self.changes.empty():
                on_snapshot(self.changes.get())


def _make_stored(revision):
    document = json.dumps({'rules': [{'name': f'rule-{revision}'}]}).encode()
    chunks = revisions.split(document).unwrap()
    parent = None
    for number in range(revision):
        parent = revisions.make_head(
            parent, chunks, f'change-{number}', 'ann', '', 0.0
        )
    return configstore.Snapshot(parent, document)


def _start(context, name):
    if not hasattr(context, 'states'):
        context.states, context.hosts, context.configs = {}, [], {}
    cell = []
    handlers = links.Handlers(print, print, print)
    server = linkserver.LinkServer('127.0.0.1:0', link_pb2.Hello, handlers)
    peer_calls.add_service(
        server.server, lambda request, most: cell[0].answer(request, most)
    )
    address = f'127.0.0.1:{server.port}'
    me = fleet.Peer(name, fleet.Role.ENTRY, 1, f'domain-{name}', '', address)
    configs = _Configs()
    outside = externalsources.ExternalSources(
        lambda: result.Ok(context.hosts), configs
    )
    state = peers.FleetState(me, outside, _TIMING)
    cell.append(state)
    context.hosts.append(hostlist.Host(name, 'entry', address))
    context.stack.enter_context(state)
    server.start()
    context.stack.callback(server.stop)
    context.states[name], context.configs[name] = state, configs


def _wait_until(condition, what):
    end = time.monotonic() + _WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, what()
        time.sleep(0.02)


def _dump_all(context):
    return [state.dump() for state in context.states.values()]


@behave.given(
    'a process "{name}" that holds revision {number:d} from its ' 'store'
)
def start_with_store(context, name, number):
    _start(context, name)
    context.configs[name].changes.put(_make_stored(number))


@behave.given('processes "{names}" whose store is away')
def start_without_store(context, names):
    for name in names.split(', '):
        _start(context, name)


@behave.when('process "{name}" takes revision {number:d} from its store')
def take_revision(context, name, number):
    context.configs[name].changes.put(_make_stored(number))


@behave.then('all are ready with revision {number:d}')
def check_revision(context, number):
    def ready():
        return all(
            not state.why_not_ready()
            and state.snapshot is not None
            and state.snapshot.head.revision == number
            for state in context.states.values()
        )

    _wait_until(ready, lambda: _dump_all(context))


def _find_states(state):
    return {each.peer.name: each.state for each in state.list_members()}


@behave.then('all know "{names}"')
def check_known(context, names):
    wanted = set(names.split(', '))
    _wait_until(
        lambda: all(
            set(_find_states(state)) == wanted
            for state in context.states.values()
        ),
        lambda: _dump_all(context),
    )


@behave.when('"{name}" departs')
def depart(context, name):
    context.states[name].depart()


@behave.then('all hold "{name}" leaving')
def check_leaving(context, name):
    _wait_until(
        lambda: all(
            _find_states(state).get(name) is records.State.LEAVING
            for state in context.states.values()
        ),
        lambda: _dump_all(context),
    )


@behave.then('"{name}" is not ready for lack of a configuration')
def check_alone(context, name):
    state = context.states[name]
    _wait_until(
        lambda: 'no configuration' in state.why_not_ready(), state.dump
    )
    time.sleep(0.5)
    assert state.snapshot is None and state.why_not_ready()
