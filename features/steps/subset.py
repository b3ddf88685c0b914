"""Steps of subset.feature."""

import collections
import time

import attrs
import behave
import result

from dunlintide_adapters import hostlist
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import peercodec
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import membership
from dunlintide_core import records
from dunlintide_core import settings
from dunlintide_daemon.entry import engineview
from dunlintide_daemon.entry import fleet as entry_fleet
from dunlintide_daemon.entry import placement
from dunlintide_daemon.entry import roster

_LAYERS = 8
_WAIT_SECONDS = 30.0


def _make_peer(role, number, address='', start=0):
    endpoint = fleet.Endpoint(
        fleet.EndpointKind.ENGINE,
        model='copy',
        version='1',
        layer_start=start,
        layer_end=start + _LAYERS,
        layer_count=2 * _LAYERS,
    )
    return fleet.Peer(
        f'{role}-{number}',
        role,
        2,
        f'domain-{number % 3}',
        '',
        address,
        endpoint if role is fleet.Role.AGENT else None,
    )


def _start_agent(context, number):
    peers = []

    def say_hello():
        peer = peers[0]
        return link_pb2.Hello(
            name=peer.name,
            role=peer.role,
            incarnation=peer.incarnation,
            failure_domain=peer.failure_domain,
            address=peer.address,
            endpoint=peercodec.encode_endpoint(peer.endpoint),
        )

    def ignore(*_):
        pass

    def take(link, frames):
        orders = [f.order for f in frames if f.WhichOneof('body') == 'order']
        context.orders += [(peers[0].name, order) for order in orders]

    handlers = links.Handlers(ignore, take, ignore)
    server = linkserver.LinkServer('127.0.0.1:0', say_hello, handlers)
    start = number // 3 % 2 * _LAYERS
    address = f'127.0.0.1:{server.port}'
    peers.append(_make_peer(fleet.Role.AGENT, number, address, start))
    server.start()
    context.stack.callback(server.stop)
    context.servers[peers[0].name] = server
    return peers[0]


@behave.given(
    '12 agents of two layer ranges and 6 entries in three failure domains'
)
def start_agents(context):
    entries = [
        _make_peer(fleet.Role.ENTRY, number, f'h:{number}')
        for number in range(6)
    ]
    context.view = membership.View(entries[0])
    context.orders, context.servers = [], {}
    agents = [_start_agent(context, number) for number in range(12)]
    context.agents = {agent.name: agent for agent in agents}
    for peer in entries[1:] + agents:
        context.view.merge(0.0, records.Record(peer))


@behave.when('an entry that may have 4 agents follows the membership')
def follow(context):
    def ignore(*_):
        pass

    hello = link_pb2.Hello(name='entry-0', role='entry', incarnation=1)
    context.fleet = entry_fleet.Fleet(
        lambda: hello, entry_fleet.Listeners(ignore, ignore)
    )
    context.stack.callback(context.fleet.stop)

    def list_present(seen):
        if seen == context.view.changes:
            return None
        return context.view.changes, context.view.list_present()

    context.leaving = set()
    context.now = context.later = 0.0
    source = roster.mark_leaving_hosts(
        roster.poll_membership(list_present),
        lambda: result.Ok(
            [
                hostlist.Host(
                    peer.name,
                    peer.role,
                    peer.address,
                    peer.failure_domain,
                    '',
                    'leaving' if peer.name in context.leaving else 'live',
                )
                for peer in context.agents.values()
            ]
        ),
        lambda: context.now,
    )
    context.roster = roster.Roster('entry-0', source, 4, 4)
    _refresh_subset(context)


def _refresh_subset(context):
    # A time far ahead, so that no subset computation is deferred.
    context.now = getattr(context, 'now', 0.0) + 1000.0
    assert context.roster.refresh(context.now)
    context.fleet.update(context.roster.hosts, context.roster.wanted)
    if 'engine_view' in context:
        context.engine_view.update_hosts(context.roster.hosts)


def _list_linked(context):
    return {agent.peer.name for agent in context.fleet.list_usable()}


def _wait_for(condition):
    end = time.monotonic() + _WAIT_SECONDS
    while not condition():
        assert time.monotonic() < end, 'timed out waiting for the condition'
        time.sleep(0.01)


@behave.then('it has links to 2 agents of each layer range in 2 {what}')
def check_subset(context, what):
    _wait_for(lambda: _list_linked(context) == context.roster.wanted)
    domains = collections.defaultdict(set)
    for name in context.roster.wanted:
        peer = context.agents[name]
        domains[peer.endpoint.layer_start].add(peer.failure_domain)
    assert len(context.roster.wanted) == 4, context.roster.wanted
    assert [len(each) for each in domains.values()] == [2, 2], domains


@behave.when('an agent outside the subset is requested by its incarnation')
def connect_outside(context):
    outside = context.agents.keys() - context.roster.wanted
    context.outside = min(outside)
    assert context.fleet.find(context.outside, 2) is None
    context.reached = context.fleet.connect(context.outside, 2)


@behave.then('it is linked, and stays so for as long as it has work')
def check_reached(context):
    assert context.reached.peer.name == context.outside
    context.fleet.add_work([context.outside], 1)
    for _ in range(3):
        context.later = time.monotonic() + 10 * entry_fleet.IDLE_SECONDS
        context.fleet.drop_idle(context.later)
    assert context.fleet.find(context.outside, 2) is not None


@behave.when('that work ended long ago')
def end_work(context):
    context.fleet.add_work([context.outside], -1)
    context.fleet.drop_idle(context.later + entry_fleet.IDLE_SECONDS / 2)
    assert context.fleet.find(context.outside, 2) is not None
    context.fleet.drop_idle(context.later + 2 * entry_fleet.IDLE_SECONDS)


@behave.when('its agents are suspected while their links are up')
def suspect(context):
    context.before = set(context.roster.wanted)
    _wait_for(lambda: _list_linked(context) == context.before)
    for name in context.before:
        record = context.view.get(name)
        doubted = attrs.evolve(record, witnesses=('entry-1',))
        context.view.merge(1.0, doubted)
    _refresh_subset(context)


@behave.then('other agents are linked besides, and the old ones are usable')
def check_others(context):
    wanted = set(context.roster.wanted)
    assert not wanted & context.before, wanted
    _wait_for(lambda: _list_linked(context) == wanted | context.before)


@behave.then('requesting an older incarnation of an agent outside gives none')
def connect_older(context):
    outside = min(context.agents.keys() - context.roster.wanted)
    assert context.fleet.connect(outside, 1) is None


@behave.given('a process that knows an engine by its first record')
def know_engine(context):
    engine = _make_peer(fleet.Role.AGENT, 1, 'h:1')
    context.engine = membership.View(engine)
    context.view = membership.View(_make_peer(fleet.Role.ENTRY, 2, 'h:2'))
    context.view.merge(0.0, context.engine.own_record)


@behave.when(
    'a suspicion of the engine comes in short after it took other layers'
)
def change_layers(context):
    endpoint = attrs.evolve(
        context.engine.own_record.peer.endpoint, layer_start=4
    )
    context.engine.update_endpoint(1.0, endpoint)
    record = attrs.evolve(context.engine.own_record, witnesses=('agent-7',))
    context.news = context.view.merge(2.0, records.shorten(record))


@behave.then('the process holds nothing new until the whole record comes')
def check_layers(context):
    assert not context.news
    held = context.view.get('agent-1')
    assert held.version == 0 and held.peer.endpoint.layer_start == 0, held
    assert context.view.merge(3.0, context.engine.own_record)
    held = context.view.get('agent-1')
    assert held.peer.endpoint.layer_start == 4, held


@behave.when("the platform's list says that its agents are leaving")
def list_leaving(context):
    context.before = set(context.roster.wanted)
    _wait_for(lambda: _list_linked(context) == context.before)
    context.leaving = context.before
    _refresh_subset(context)


@behave.then(
    'other agents are linked instead, and the old ones get no new {_}'
)
def check_instead(context, _):
    wanted = set(context.roster.wanted)
    assert not wanted & context.before, wanted
    _wait_for(lambda: _list_linked(context) == wanted)


@behave.when("the platform's list says that they stay")
def list_staying(context):
    context.leaving = set()
    _refresh_subset(context)
    context.fleet.drop_idle(time.monotonic() + 10 * entry_fleet.IDLE_SECONDS)
    context.fleet.drop_idle(time.monotonic() + 20 * entry_fleet.IDLE_SECONDS)


def _take_snapshot(context):
    if 'engine_view' not in context:
        context.engine_view = engineview.EngineView(
            'entry-0', 'domain-0', context.fleet
        )
        context.engine_view.update_hosts(context.roster.hosts)
    return context.engine_view.take_snapshot()


def _count_suspected(context):
    engines = _take_snapshot(context).engines
    return len(engines), sum(one.suspected for one in engines)


@behave.then('it sees 12 engines for placement, none suspected, over 4 links')
def check_seen(context):
    _wait_for(lambda: _list_linked(context) == context.roster.wanted)
    assert _count_suspected(context) == (12, 0)
    assert _take_snapshot(context).has_sufficient_view
    assert len(context.fleet.describe()['dialled']) == 4


@behave.when('the only spare engine is outside its subset and gets an order')
def order_outside(context):
    context.outside = min(context.agents.keys() - context.roster.wanted)
    keeper = placement.Placement(
        settings.Settings(
            role=fleet.Role.ENTRY,
            name='entry-0',
            failure_domain='domain-0',
            admin_listen='127.0.0.1:0',
            link_listen='127.0.0.1:0',
            store_url='http://127.0.0.1:1',
            host_list_url='http://127.0.0.1:1',
        ),
        None,
        context.fleet,
        None,
    )
    keeper.update_hosts(context.roster.hosts)
    order = link_pb2.Order(order_id='one')
    assert keeper._fleet_access.send(context.outside, order)


@behave.then(
    'the order comes there, over a link that is closed once it is {_}'
)
def check_order(context, _):
    _wait_for(lambda: context.orders)
    (taken,) = context.orders
    assert taken[0] == context.outside and taken[1].order_id == 'one'
    later = time.monotonic() + 0.9 * entry_fleet.IDLE_SECONDS
    context.fleet.touch([context.outside])
    context.fleet.drop_idle(later)
    assert context.fleet.find(context.outside, 2) is not None
    context.fleet.drop_idle(later + entry_fleet.IDLE_SECONDS)
    _wait_for(lambda: _list_linked(context) == context.roster.wanted)


@behave.when('each of its links breaks and cannot be made again')
def break_links(context):
    _wait_for(lambda: _list_linked(context) == context.roster.wanted)
    for name in context.roster.wanted:
        context.servers[name].stop()
    _wait_for(lambda: not _list_linked(context))


@behave.then(
    'it sees {count:d} engines for placement, {suspected:d} of them suspected'
)
def check_suspected(context, count, suspected):
    assert _count_suspected(context) == (count, suspected)


@behave.when('a process of {whose} failure domain suspects the same agents')
def add_suspicion(context, whose):
    witness = 'entry-3' if whose == 'its' else 'entry-1'
    assert context.view.get(witness).peer.failure_domain == (
        'domain-0' if whose == 'its' else 'domain-1'
    )
    # The links stay wanted, because the subset is computed only at intervals.
    for name in context.roster.wanted:
        record = context.view.get(name)
        context.view.merge(1.0, attrs.evolve(record, witnesses=(witness,)))
    context.roster._next_computation = float('inf')
    assert context.roster.refresh(context.now)
    context.engine_view.update_hosts(context.roster.hosts)


@behave.when('an agent outside its subset reports that its engine is away')
def report_away(context):
    _wait_for(lambda: _list_linked(context) == context.roster.wanted)
    name = min(context.agents.keys() - context.roster.wanted)
    agent = membership.View(context.agents[name])
    endpoint = attrs.evolve(agent.own_record.peer.endpoint, away=True)
    agent.update_endpoint(1.0, endpoint)
    message = peercodec.encode_peer(agent.own_record.peer)
    told = attrs.evolve(agent.own_record, peer=peercodec.decode_peer(message))
    assert context.view.merge(2.0, told)
    _refresh_subset(context)


@behave.then(
    'of 3 links that it may have besides, the oldest without work {_}'
)
def check_spare(context, _):
    wanted = set(context.roster.wanted)
    outside = sorted(context.agents.keys() - wanted)[:4]
    busy, oldest, *others = outside
    before, entry_fleet.MAX_ON_DEMAND_LINKS = (
        entry_fleet.MAX_ON_DEMAND_LINKS,
        3,
    )
    context.stack.callback(setattr, entry_fleet, 'MAX_ON_DEMAND_LINKS', before)
    for name in (busy, oldest, *others):
        # A link counts as in use for the time that opening it may take.
        _wait_for(lambda: time.monotonic() > context.later)
        assert context.fleet.connect(name, None) is not None
        context.fleet.add_work([name], int(name == busy))
        context.later = time.monotonic() + entry_fleet.CONNECT_SECONDS
    _wait_for(lambda: _list_linked(context) == wanted | {busy, *others})
