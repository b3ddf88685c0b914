"""Steps of reserve.feature."""

import asyncio
import itertools
import math
import random
import types

import attrs
import behave

from dunlintide_adapters import callermessages
from dunlintide_core import configuration
from dunlintide_core.pipeline import balance
from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import reserve
from dunlintide_core.pipeline import servicecapacity
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import calls
from dunlintide_daemon.gateway import chainfinder
from dunlintide_daemon.gateway import events
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import requesthandler
from dunlintide_daemon.gateway import reservations
import edge_settings
import pipeline_scene

PROFILE = pipeline_scene.PROFILE
LAYERS = pipeline_scene.LAYERS
# Cards that hold all layers and far more streams than an engine has slots.
AMPLE = attrs.evolve(
    PROFILE,
    slots=4,
    accelerators={'large': profiles.Accelerator('large', 40_000.0, 2.0, 3.0)},
)
_ON = settings.Demand(sharing=settings.Sharing.ON)
_OFF = mechanisms.Mechanism.RESERVE
_SETTINGS = {
    'the defaults': {},
    'sharing on': {'demand': _ON},
    'the reserve off': {'demand': attrs.evolve(_ON, reserve=False)},
    'the mechanism off': {
        'demand': _ON,
        'experiments': settings.Experiments((_OFF,)),
    },
}


def _make_plain(slots, name='e0'):
    return endpoints.Endpoint(name, f'{name}:1', 'web', 'a', slots)


def _choose_call(context, reserved):
    """Send a call to an endpoint with a free slot, and return it."""
    found = balance.choose(
        context.endpoints,
        lambda name: context.use.get(name).sequences,
        'a',
        random.Random(1),
        reserved=reserved,
    )
    return found and (endpoints.Hop(found, 0, 0),)


def _choose_stream(context, reserved):
    table = chaintable.ChainTable.from_engines(AMPLE, context.endpoints)
    demand = pipeline_scene.make_demand()
    return table.choose(demand, context.use.usages, reserved=reserved)


def _fill(context, choose, priority, most=1000):
    """Start requests until none finds capacity, and count them."""
    for count in range(most):
        hops = choose(context, _get_fraction(context, priority))
        if hops is None:
            return count
        context.use.reserve(hops, 1000)
    return most


def _get_fraction(context, priority):
    return context.reserve.get_fraction(
        priority, context.capacity, context.entries, context.now
    )


@behave.given('{slots:d} slots of a service with {entries:d} entries')
def start(context, slots, entries):
    context.reserve = reserve.Reserve()
    context.capacity, context.entries = slots, entries
    context.now = 0.0
    context.use = occupancy.Occupancy()


@behave.given('{count:d} plain endpoints with {slots:d} slots and 4 entries')
def make_plain(context, count, slots):
    names = [f'e{index}' for index in range(count)]
    context.endpoints = [_make_plain(slots, name) for name in names]
    start(context, servicecapacity.count_slots(context.endpoints), 4)


@behave.given('{count:d} engines with 4 first slots and 4 entries')
def make_engines(context, count):
    context.endpoints = [
        pipeline_scene.make_engine(f'e{index}', (0, LAYERS), 'a')
        for index in range(count)
    ]
    streams = servicecapacity.estimate_streams(AMPLE, context.endpoints)
    start(context, streams, 4)


@behave.when(
    '{count:d} requests of priority {priority:d} last {seconds:d} s each,'
    ' within {window:d} s'
)
def arrive(context, count, priority, seconds, window):
    starts = [context.now + index * window / count for index in range(count)]
    context.now += window
    ends = [at + seconds for at in starts if at + seconds <= context.now]
    for at, is_end in sorted(
        itertools.chain(
            ((at, False) for at in starts), ((at, True) for at in ends)
        )
    ):
        if is_end:
            context.reserve.record_end(priority, seconds, at)
        else:
            context.reserve.record_start(priority, at)


@behave.when('no request arrives for {seconds:g} s')
def wait(context, seconds):
    context.now += seconds


@behave.then('{part:g} is reserved from priority {priority:d}')
def check_fraction(context, part, priority):
    found = _get_fraction(context, priority)
    assert round(found, 2) == part and found <= 0.2, found


@behave.when('calls of priority {priority:d} arrive until none finds a slot')
def fill_slots(context, priority):
    context.started = _fill(context, _choose_call, priority)


@behave.when(
    'streams of priority {priority:d} arrive until none finds an engine'
)
def fill_engines(context, priority):
    context.started = _fill(context, _choose_stream, priority)


@behave.then('{count:d} of them run')
def check_started(context, count):
    assert context.started == count, context.started


@behave.then('{count:d} calls of priority 0 find a slot')
def check_calls(context, count):
    found = _fill(context, _choose_call, 0)
    assert found == count, found


@behave.then('{count:d} streams of priority 0 find an engine')
def check_streams(context, count):
    found = _fill(context, _choose_stream, 0)
    assert found == count, found


@behave.then(
    'a reserve of 0.2 keeps no call from an idle endpoint with 1 slot'
)
def check_idle_endpoint(context):
    for count in range(1, 7):
        context.use = occupancy.Occupancy()
        context.endpoints = [
            _make_plain(1, f'e{index}') for index in range(count)
        ]
        idle = {each.name for each in context.endpoints}
        while idle:
            hops = _choose_call(context, 0.2)
            assert hops is not None, idle
            context.use.reserve(hops, 0)
            idle.discard(hops[0].endpoint.name)


def _compare_fleets(check):
    """Check choices on random fleets, without and with a reserve."""

    def compare(rows):
        engines, usages = pipeline_scene.make_fleet(rows)
        table = chaintable.ChainTable.from_engines(PROFILE, engines)
        check(table, pipeline_scene.make_demand(), usages)

    pipeline_scene.repeat(compare, pipeline_scene.ENGINES)


@behave.then('it changes no choice on any fleet of idle engines')
def check_idle_engines(context):
    def check(table, demand, usages):
        assert table.choose(demand, {}, reserved=0.2) == table.choose(
            demand, {}
        )

    _compare_fleets(check)


@behave.then('a choice with a reserve of 0.0 is the usual one on any fleet')
def check_unreserved(context):
    def check(table, demand, usages):
        assert table.choose(demand, usages, reserved=0.0) == table.choose(
            demand, usages
        )

    _compare_fleets(check)


@behave.then(
    'one with a reserve of 0.2 leaves that part of each busy engine free'
)
def check_reserved(context):
    def check(table, demand, usages):
        for hop in table.choose(demand, usages, reserved=0.2) or ():
            engine, use = hop.endpoint, usages[hop.endpoint.name]
            given = chaincosts.MEMORY_FRACTION * PROFILE.get_cache_capacity(
                engine.kind, engine.end - engine.start
            )
            taken = use.cache + demand.tokens * (hop.end - hop.start)
            most = given * 0.8 if use.sequences else given
            assert taken <= most + 1e-6, (taken, most)

    _compare_fleets(check)


@behave.then(
    '{first:d} engines with the first half of the layers and {second:d} with'
    ' the second run {streams:d} streams'
)
def check_capacity(context, first, second, streams):
    half = LAYERS // 2
    spans = [(0, half)] * first + [(half, LAYERS)] * second
    engines = [
        pipeline_scene.make_engine(f'e{index}', span, 'a')
        for index, span in enumerate(spans)
    ]
    profile = attrs.evolve(PROFILE, slots=96)
    found = servicecapacity.estimate_streams(profile, engines)
    assert math.floor(found) == streams, found


@behave.given('an entry with {setting} that saw urgent calls')
def make_entry(context, setting):
    state = context.state = edge_settings.make_state(**_SETTINGS[setting])
    state.endpoints['e0'] = _make_plain(10)
    exchange = types.SimpleNamespace(service='web', priority=0)
    for _ in range(100):
        reservations.record_arrival(state, exchange)


def _make_exchange(priority, runs=0):
    return types.SimpleNamespace(
        service='web',
        priority=priority,
        runs=runs,
        terms=types.SimpleNamespace(stream=True),
        excluded_endpoints=[],
        caller_request=types.SimpleNamespace(
            name='r', prompt=800, answer=200, hint=None
        ),
    )


def _choose_fraction(context, runs=0):
    exchange = _make_exchange(2, runs)
    return reservations.choose_fraction(context.state, exchange)


@behave.then('{part:g} of the slots is reserved from priority 2')
def check_part(context, part):
    assert _choose_fraction(context) == part


@behave.then('nothing is reserved from what is owed a start or under way')
def check_exempt(context):
    assert _choose_fraction(context, runs=1) == 0.0
    shares = context.state.get_queue('web').shares
    while not shares.is_owed(2):
        shares.record_start(0, {0, 2})
    assert _choose_fraction(context) == 0.0


class _Endpoints(dict):
    """Endpoints that count how often all of them are read."""

    reads = 0

    def values(self):
        self.reads += 1
        return super().values()


@behave.then(
    'the endpoints are read for a request of priority 2 and not of priority 0'
)
def check_reads(context):
    listed = context.state.endpoints = _Endpoints(context.state.endpoints)
    reservations.choose_fraction(context.state, _make_exchange(0))
    assert not listed.reads
    reservations.choose_fraction(context.state, _make_exchange(2))
    assert listed.reads


@behave.when('{count:d} of 10 slots of its only endpoint are taken')
def take_slots(context, count):
    hop = endpoints.Hop(context.state.endpoints['e0'], 0, 0)
    for _ in range(count):
        context.state.occupancy.reserve((hop,), 0)


@behave.then('a call of priority 2 finds no slot and one of priority 0 does')
def check_call(context):
    server = calls.CallServer(context.state)
    assert server._choose(_make_exchange(2), ()) is None
    assert server._choose(_make_exchange(0), ()).name == 'e0'


@behave.when('{count:d} of 10 first slots of its only engine are taken')
def take_first_slots(context, count):
    engine = pipeline_scene.make_engine('e1', (0, LAYERS), 'a')
    engine = attrs.evolve(engine, service='web')
    context.state.endpoints['e1'] = engine
    for _ in range(count):
        hop = endpoints.Hop(engine, 0, LAYERS)
        context.state.occupancy.reserve((hop,), 1000)


@behave.then(
    'a stream of priority 2 finds no chain and one of priority 0 does'
)
def check_stream(context):
    finder = chainfinder.ChainFinder(context.state)
    profile = attrs.evolve(AMPLE, slots=10)
    found = [
        finder.choose(
            exchange_module.Stream(
                _make_exchange(priority), profile, events.EventSequence(None)
            )
        )
        for priority in (2, 0)
    ]
    assert found[0] is None and found[1] is not None, found


@behave.given('an entry that serves calls of priority 0')
def make_handler(context):
    state = context.state = edge_settings.make_state(
        log=edge_settings.SilentLog(), demand=_ON
    )
    then = configuration.Then(
        services=(configuration.Share('web'),), priority=0
    )
    rule = configuration.Rule('r', configuration.When(), then)
    state.deployment = deployments.Deployment.from_configuration(
        1,
        configuration.Configuration(rules=(rule,)),
        {},
        deployments.CallerLimits(),
    )
    state.has_listing = True
    state.endpoints['e0'] = _make_plain(1)
    context.handler = requesthandler.RequestHandler(state)


def _handle(context, outcome, count):
    async def serve(exchange):
        return outcome

    async def handle():
        for index in range(count):
            request = callermessages.Request(
                'GET', f'/{index}', [], b'', context.state.now
            )
            await context.handler.handle(request, None)

    context.handler._calls = types.SimpleNamespace(serve=serve)
    asyncio.run(handle())


@behave.when('it serves one at once')
def serve_one(context):
    _handle(context, exchange_module.Outcome.COMPLETE, 1)


@behave.when('it refuses {count:d} others')
def refuse_others(context, count):
    # None is known to be short once the served one is forgotten.
    context.state.reserves.clear()
    _handle(context, exchange_module.Outcome.NOT_RUN, count)


@behave.then('less than {part:g} of one slot is reserved from priority 2')
def check_less(context, part):
    assert 0.0 < _choose_fraction(context) < part, _choose_fraction(context)


@behave.then('more than {part:g} of one slot is reserved from priority 2')
def check_more(context, part):
    assert _choose_fraction(context) > part, _choose_fraction(context)
