"""Steps that simulate load on the choice of layouts and chains."""

import behave
from dunlintide_core.pipeline import bottlenecks
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import endpointhealth
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import layout
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import waits

LAYERS = 80
CARDS = {
    'a100': profiles.Accelerator('a100', 72_000.0, 2.4, 3.2),
    'v100': profiles.Accelerator('v100', 14_400.0, 5.3, 7.9),
    'l4': profiles.Accelerator('l4', 21_600.0, 16.0, 8.2),
}
PROFILE = profiles.EngineProfile(
    layers=LAYERS,
    layer_mb=1750.0,
    token_bytes=656_000,
    step_ms=1.02,
    sequence_ms=0.005,
    context_ms=0.007,
    read_per_second=294_000.0,
    slots=96,
    stride=5,
    activation_bytes=32_800,
    link_mbps=400_000.0,
    pipe_mbps=3_760.0,
    load_seconds=14.0,
    loads_at_once=9,
    usual_prompt=760,
    usual_answer=200,
    accelerators=CARDS,
    delays_ms={('a', 'b'): 0.3},
)
# Age of a stall when the suspects are determined, in seconds.
SILENCE = 0.3
TOKENS = PROFILE.usual_prompt + PROFILE.usual_answer


def make_engine(name, kind, domain='a', start=0, end=0):
    return endpoints.Endpoint(
        name=name,
        address=f'{name}:1',
        service='llm',
        domain=domain,
        slots=PROFILE.slots,
        kind=kind,
        start=start,
        end=end,
    )


def hold(placement):
    engine = placement.endpoint
    return make_engine(
        engine.name,
        engine.kind,
        engine.domain,
        placement.start,
        placement.end,
    )


@behave.given('a failure domain with {a:d} a100, {v:d} v100 and {n:d} l4')
def make_domain(context, a, v, n):
    kinds = ['a100'] * a + ['v100'] * v + ['l4'] * n
    empty = [
        make_engine(f'{kind}-{index}', kind)
        for index, kind in enumerate(kinds)
    ]
    context.engines = list(map(hold, layout.plan_new(PROFILE, (), empty)))


def count_room(engine):
    return PROFILE.get_cache_capacity(engine.kind, engine.end - engine.start)


def make_demand(domain='a'):
    return chains.Demand(
        PROFILE.usual_prompt, PROFILE.usual_answer, TOKENS, domain
    )


def choose(context, domain='a'):
    table = chaintable.ChainTable.from_engines(PROFILE, context.engines)
    return table.choose(make_demand(domain), context.occupancy.usages)


def arrive(context, domain='a'):
    hops = choose(context, domain)
    if hops is not None:
        pipes = chains.list_pipes(hops)
        context.occupancy.reserve(hops, TOKENS, pipes)
    return hops


@behave.given(
    'fast engines of layers {a:d} to {b:d} and {c:d} to {d:d}, and slow ones'
    ' of the rest'
)
def make_overlap(context, a, b, c, d):
    fast = [
        make_engine('fast-low', 'a100', 'a', a, b),
        make_engine('fast-high', 'a100', 'a', c, d),
    ]
    slow = [
        make_engine(f'slow-{index}-{start}', 'l4', 'a', start, end)
        for index, spans in enumerate(
            (((0, 8), (8, 16), (16, 24), (28, 36), (36, 44), (44, 52)),)
            + (((52, 60), (60, 68), (68, 76), (72, 80)),) * 2
        )
        for start, end in spans
    ]
    context.engines = [*fast, *slow]


@behave.when('usual streams arrive in it until one finds no chain')
def fill_domain(context):
    context.occupancy = occupancy.Occupancy()
    context.served = 0
    while arrive(context) is not None:
        context.served += 1


@behave.then('it serves at least {part:f} of what its memory holds')
def check_served(context, part):
    def count_tokens(layer):
        return sum(
            count_room(engine) / (engine.end - engine.start)
            for engine in context.engines
            if engine.start <= layer < engine.end
        )

    most = min(map(count_tokens, range(LAYERS))) / TOKENS
    assert context.served >= part * most, (context.served, most)


@behave.when('any one of its first endpoints is lost')
def lose_first(context):
    context.firsts = [each for each in context.engines if each.start == 0]


@behave.then('at least {part:f} of its places for new streams are left')
def check_places(context, part):
    left = 1.0 - 1.0 / len(context.firsts)
    assert left >= part, context.firsts


def count_held(engines):
    return sum(engine.end - engine.start for engine in engines)


@behave.then('its cards hold {copies:d} copies of the model')
def check_copies(context, copies):
    assert count_held(context.engines) >= copies * LAYERS, context.engines


@behave.then('a quarter of its memory or more is kept for requests')
def check_kept(context):
    memory = sum(CARDS[each.kind].memory_mb for each in context.engines)
    taken = count_held(context.engines) * PROFILE.layer_mb
    assert taken <= 0.75 * memory, (taken, memory)


@behave.given(
    'slow cards of "{one}" that hold all layers and fast ones of "{other}"'
    ' that hold half'
)
def make_halves(context, one, other):
    half = LAYERS // 2
    context.occupancy = occupancy.Occupancy()
    context.engines = [
        make_engine('slow-low', 'a100', one, 0, 20),
        make_engine('slow-next', 'a100', one, 20, half),
        *(
            make_engine(f'slow-{start}', 'l4', one, start, start + 5)
            for start in range(half, LAYERS, 5)
        ),
        make_engine('fast-low', 'a100', other, half, 60),
        make_engine('fast-high', 'a100', other, 60, LAYERS),
    ]


@behave.when('{count:d} usual streams arrive in "{one}" or "{other}"')
def arrive_in_turn(context, count, one, other):
    context.chains = [
        arrive(context, domain)
        for domain in (one, other)
        for _ in range(count // 2)
    ]


@behave.then('none of their chains crosses a pipe')
def check_within(context):
    for hops in context.chains:
        assert hops is not None
        assert not chains.list_pipes(hops), hops


@behave.when('the other half of "{domain}" is lost')
def remove_half(context, domain):
    context.engines = [
        each
        for each in context.engines
        if each.domain != domain or each.start < LAYERS // 2
    ]


@behave.then('a stream gets a chain that crosses the pipe')
def check_across(context):
    hops = choose(context)
    assert endpoints.covers_exactly(hops, LAYERS)
    assert chains.list_pipes(hops) == ['a|b'], hops


@behave.given('a chain of {count:d} engines that stands still since {at:f}')
def make_still(context, count, at):
    context.health = endpointhealth.EndpointHealth()
    context.names = [f'e{index}' for index in range(count)]
    context.since = at
    # Three runs use each engine: the stalled one and two others.
    for _ in range(3):
        context.health.record_accepted(context.names, at)
    context.health.report_progress(context.names, at)


@behave.when('other streams moved through {count:d} of them at {at:f}')
def move_some(context, count, at):
    context.health.report_progress(context.names[:count], at)


@behave.then('the run accuses nobody')
def check_nobody(context):
    now = context.since + SILENCE
    health = context.health
    assert not health.find_suspects(context.names, context.since, now, True)


@behave.then('the run accuses the one without progress')
def check_last(context):
    now = context.since + SILENCE
    found = context.health.find_suspects(
        context.names, context.since, now, True
    )
    assert found == context.names[-1:], found


@behave.given(
    'a stream with a target of {target:f} s and pauses of {pause:f} s'
)
def make_stream(context, target, pause):
    context.target = target
    context.pause = pause


@behave.when('it loses its chain at {now:f}')
def lose_chain(context, now):
    context.place = waits.choose_wait(
        now - 3.0, now, context.target, context.pause, True, False
    )


@behave.then('it waits for another one beyond {end:f}, when its caller leaves')
def check_wait(context, end):
    assert context.place.expires > end, context.place


def find_scarce(context, widen):
    usages = {
        name: usage
        for name, usage in context.occupancy.usages.items()
        if name not in widen
    }
    table = chaintable.ChainTable.from_engines(PROFILE, context.engines)
    return bottlenecks.find_bottlenecks(
        table, table.all_domains, make_demand(), usages
    )


def list_holders(context, scarce):
    return [
        engine.name
        for engine in context.engines
        if engine.start <= scarce.start and engine.end >= scarce.end
    ]


@behave.then(
    'layers without room are named, each with the engines that hold it'
)
def check_scarce(context):
    context.scarce = find_scarce(context, ())
    assert context.scarce
    for each in context.scarce:
        assert list(each.holders) == list_holders(context, each), each
        assert each.holders, each
        assert 0 <= each.start < each.end <= LAYERS


@behave.then('none are named once these engines have room')
def check_no_scarce(context):
    widen = {
        name for each in context.scarce for name in list_holders(context, each)
    }
    assert not find_scarce(context, widen)


@behave.then(
    'layers {start:d} to {end:d} of "{domain}" are named as those without room'
)
def check_lacking(context, start, end, domain):
    table = chaintable.ChainTable.from_engines(PROFILE, context.engines)
    region = table.make_region(domain)
    usages = context.occupancy.usages
    found = bottlenecks.find_bottlenecks(
        table, region, make_demand(domain), usages
    )
    assert found == [bottlenecks.Bottleneck(start, end, ())], found
    assert not bottlenecks.find_bottlenecks(
        table, table.all_domains, make_demand(domain), usages
    )
