"""Steps for chain plans, slow stages and links, and prefix affinity."""

import itertools
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from dunlintide_core import affinity
from dunlintide_core import delays
from dunlintide_core import fleet
from dunlintide_core import plan
from dunlintide_core import selection
from dunlintide_trials import routing
from dunlintide_trials import stages

LAYERS = 3

_stop = strategies.builds(
    lambda start, length, capacity, domain: (
        start,
        min(LAYERS, start + length),
        capacity,
        domain,
    ),
    strategies.integers(0, LAYERS - 1),
    strategies.integers(1, LAYERS),
    strategies.integers(1, 9),
    strategies.sampled_from('ab'),
)
_fleets = strategies.lists(_stop, min_size=1, max_size=5)
_crossings = strategies.integers(0, 9)


def _least_cut(stops, crossing):
    """Find the minimum cut over boundaries and domains by brute force."""
    edges = []
    places = set()
    for stop in stops:
        source = ('in', stop.layer_start, stop.failure_domain)
        target = ('out', stop.layer_end, stop.failure_domain)
        if stop.layer_start == 0:
            source = 's'
        if stop.layer_end == LAYERS:
            target = 't'
        edges.append((source, target, stop.capacity))
        places |= {source, target}
    for boundary in range(1, LAYERS):
        for first, second in itertools.product('ab', repeat=2):
            rate = 1e6 if first == second else crossing
            source, target = ('out', boundary, first), ('in', boundary, second)
            places |= {source, target}
            edges.append((source, target, rate))
    inner = sorted(places - {'s', 't'})
    cuts = []
    for chosen in itertools.product((False, True), repeat=len(inner)):
        side = {'s'} | {place for place, kept in zip(inner, chosen) if kept}
        cuts.append(
            sum(rate for a, b, rate in edges if a in side and b not in side)
        )
    return min(cuts)


def _tiles(chain):
    ends = [0] + [stop.layer_end for stop in chain.stages]
    starts = [stop.layer_start for stop in chain.stages] + [LAYERS]
    return starts == ends


@given('small random fleets of layer ranges')
def given_small_fleets(context):
    def stops(rows):
        return [
            plan.Stage(f'agent-{index}', *row)
            for index, row in enumerate(rows)
        ]

    context.cases = []

    @hypothesis.settings(
        max_examples=150, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(_fleets, _crossings)
    def collect(rows, crossing):
        context.cases.append((stops(rows), crossing))

    collect()


@when('each is planned')
def when_each_is_planned(context):
    context.plans = []
    for stops, crossing in context.cases:
        far = plan.LinkQuality(0.01, crossing)
        links = plan.Links(domains={('a', 'b'): far, ('b', 'a'): far})
        context.plans.append(plan.make_plan(stops, LAYERS, links))


@then("each plan's bound equals the least cut found by trying all cuts")
def then_bound_is_least_cut(context):
    for (stops, crossing), made in zip(context.cases, context.plans):
        expected = _least_cut(stops, crossing)
        assert abs(made.bound - expected) < 1e-6, (stops, crossing, made)
    assert any(made.bound for made in context.plans)


@then('its chains tile the layers and their shares sum to the bound')
def then_chains_tile(context):
    for made in context.plans:
        assert all(_tiles(chain) for chain in made.chains), made
        total = sum(chain.share for chain in made.chains)
        assert abs(total - made.bound) < 1e-6, made


@then('no endpoint carries more than its capacity')
def then_within_capacity(context):
    for made in context.plans:
        carried = {}
        for chain in made.chains:
            for stop in chain.stages:
                carried[stop] = carried.get(stop, 0) + chain.share
        assert all(
            amount <= stop.capacity + 1e-6 for stop, amount in carried.items()
        )


@given('a planned fleet of two endpoints for each of three ranges')
def given_planned_fleet(context):
    context.stops = [
        plan.Stage(f'{side}{start}', start, start + 1, 100.0)
        for start in range(LAYERS)
        for side in 'xy'
    ]
    context.chooser = selection.Chooser()
    made = plan.make_plan(context.stops, LAYERS)
    context.chooser.adopt(made, context.stops, LAYERS)
    context.rng = random.Random(5)
    context.watched = 'x1'


@when('an agent dies')
def when_agent_dies(context):
    context.chooser.exclude({context.watched})


@when('the plan is lost')
def when_plan_is_lost(context):
    context.chooser.adopt(plan.EMPTY, context.stops, LAYERS)
    context.chooser.exclude({context.watched})


def _choices(context, now=0.0):
    return [context.chooser.choose(now, context.rng) for _ in range(200)]


@then('200 choices tile the layers without it')
def then_choices_avoid_it(context):
    for chain in _choices(context):
        assert _tiles(chain), chain
        assert context.watched not in chain.agents, chain


@then('a request that avoids the last other endpoint of its range is refused')
def then_no_choice_left(context):
    chosen = context.chooser.choose(0.0, context.rng, avoid={'y1'})
    assert chosen is None, chosen


def _visits(context, now):
    chosen = _choices(context, now)
    return sum(context.watched in chain.agents for chain in chosen)


@when('an agent reports 100 requests of other processes')
def when_agent_reports(context):
    report = fleet.LoadReport(running=100)
    context.chooser.report(context.watched, report, 0.0)


@then('fewer than a third of 200 choices visit it')
def then_visited_less(context):
    visits = _visits(context, 0.0)
    assert 0 < visits < 67, visits


@then('after a minute without a report choices visit it evenly again')
def then_visited_again(context):
    visits = _visits(context, 60.0)
    assert 67 < visits < 133, visits


FAULT_AT = 10.0


@given('modelled entries that learn capacities from late reports')
def given_modelled_entries(context):
    context.stops = [
        plan.Stage(f'{start}-{rate}', start, start + 1, float(rate))
        for start in range(LAYERS)
        for rate in (200, 300, 400)
    ]
    links = plan.Links()
    context.routers = [
        routing.Router(context.stops, LAYERS, links, seed) for seed in (1, 2)
    ]
    entries = [router.entry() for router in context.routers]
    context.model = stages.Model(
        context.stops, links, entries, 0, random.Random(3), 14.0, True
    )
    context.model.run(FAULT_AT)


def _planned(context):
    """List per entry the fraction of each stage's capacity it plans."""
    found = []
    for router in context.routers:
        shares = dict.fromkeys((stop.agent for stop in context.stops), 0.0)
        for chain in router.plan.chains:
            for stop in chain.stages:
                shares[stop.agent] += chain.share
        for stop in context.stops:
            shares[stop.agent] /= stop.capacity
        found.append(shares)
    return found


@when('the busiest stage falls to a tenth of its speed')
def when_stage_slows(context):
    context.watched = '1-400'
    assert all(shares[context.watched] > 0.9 for shares in _planned(context))
    context.model.stages[context.watched].speed = 0.1


@then('within 5 s no entry plans more than a fifth of its capacity for it')
def then_share_lost(context):
    context.model.run(FAULT_AT + 5.0)
    for shares in _planned(context):
        assert shares[context.watched] < 0.2, shares


@then("no other stage's share of its capacity is cut to half")
def then_others_keep_theirs(context):
    # The remaining ranges have 900 tokens/s, against a bound of 540.
    for router in context.routers:
        factors = router.replanner.capacities.list_factors()
        factors.pop(context.watched)
        assert min(factors.values()) > 0.5, factors


@then('within 30 s of its recovery it carries half of its capacity again')
def then_share_recovered(context):
    context.model.stages[context.watched].speed = 1.0
    context.model.run(FAULT_AT + 35.0)
    for shares in _planned(context):
        assert shares[context.watched] > 0.5, shares


@given('token intervals of four chains over two links')
def given_intervals(context):
    heads = [plan.Stage(f'h{n}', 0, 1, 100.0, 'a') for n in range(2)]
    tails = [plan.Stage(f't{n}', 1, 2, 100.0, n) for n in 'bcbc']
    context.chains = [
        plan.Chain((head, tail))
        for head, tail in zip(heads + heads[::-1], tails)
    ]
    context.delays = delays.DelayModel()
    context.time = 0.0
    _observe(context, 1.0, 1.0, 20)


def _observe(context, first, second, rounds):
    for _ in range(rounds):
        context.time += 0.1
        for chain in context.chains:
            domain = chain.stages[1].failure_domain
            times = first if domain == 'b' else second
            context.delays.observe(chain, 0.05 * times, context.time)


@when('all intervals become four times as long')
def when_all_slow(context):
    _observe(context, 4.0, 4.0, 40)


@when('only those over the first link become ten times as long')
def when_one_slow(context):
    _observe(context, 1.0, 1.0, 40)
    _observe(context, 10.0, 1.0, 10)


@then('no link stays suspected')
def then_none_suspected(context):
    # Links may be suspected until half of the recent intervals are long.
    factors = context.delays.list_factors()
    assert not factors, factors


@then('the first link is suspected and the second is not')
def then_first_suspected(context):
    factors = context.delays.list_factors()
    assert factors.get((1, 'a', 'b'), 1.0) < 0.2, factors
    assert (1, 'a', 'c') not in factors, factors
    links = context.delays.apply(plan.Links())
    assert links.between(*context.chains[0].stages).latency > 0.002


@then('one good interval over each of its pairs clears it in the end')
def then_cleared(context):
    _observe(context, 1.0, 1.0, 10)
    assert not context.delays.list_factors(), context.delays.list_factors()


PROMPT = 'Daily special: chicken fried steak. ' * 40


@given('a chain that ran a prompt of a team')
def given_holder(context):
    context.map = affinity.AffinityMap(limit=100)
    context.held = context.chooser.choose(0.0, context.rng)
    blocks = affinity.hash_blocks('salt-diner', PROMPT)
    assert blocks
    context.map.record(blocks, context.held.agents, 0.0)


def _hash(context, salt='salt-diner'):
    return affinity.hash_blocks(salt, PROMPT)


def _find(context, salt='salt-diner'):
    return context.map.find(_hash(context, salt), 1.0)


def _returns(context):
    """Count the choices out of 100 that take the prompt's chain."""
    chosen = [
        context.chooser.choose(1.0, context.rng, holders=_find(context))
        for _ in range(100)
    ]
    return sum(chain.agents == context.held.agents for chain in chosen)


@then("the team's next request with that prompt takes that chain")
def then_affinity(context):
    assert _returns(context) == 100


@then("another team's request with that prompt finds no holder")
def then_not_shared(context):
    assert _find(context) and not _find(context, 'salt-feed')


@then("the chain is not kept once its load is three times another's")
def then_load_wins(context):
    others = [
        stop for stop in context.stops if stop.agent not in context.held.agents
    ]
    for _ in range(10):
        context.chooser.begin(plan.Chain(tuple(others)))
    for _ in range(30):
        context.chooser.begin(context.held)
    assert _returns(context) < 50


@then('an agent with a gap in its cache events alone is no holder any more')
def then_gap(context):
    before = set(_find(context))
    assert before >= set(context.held.agents)
    lost = context.held.agents[1]
    context.map.invalidate(lost, 0.5)
    assert set(_find(context)) == before - {lost}
    context.map.remove(context.held.agents[0], _hash(context)[-1:])
    shares = _find(context)
    assert shares[context.held.agents[0]] < shares[context.held.agents[2]]


@then('of two chains the one is taken that saves more of the prefill')
def then_more_saved(context):
    first = [stop.agent for stop in context.stops if not stop.layer_start]
    for agent in first:
        context.map.record(_hash(context), [agent], 0.9)
    assert _returns(context) == 100


@then('1000 other prompts leave no more than 100 blocks remembered')
def then_bounded(context):
    for index in range(1000):
        blocks = affinity.hash_blocks(f'salt-{index}', PROMPT)
        context.map.record(blocks, context.held.agents, 1.0)
    assert 0 < len(context.map) <= 100
