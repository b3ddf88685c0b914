"""Steps for the planning of chains."""

import itertools
import random

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from dunlintide_core import choose
from dunlintide_core import fleet
from dunlintide_core import plan

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
    """Try each cut of the place graph (boundary x failure domain)."""
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
    ends = [0] + [stop.layer_end for stop in chain.stops]
    starts = [stop.layer_start for stop in chain.stops] + [LAYERS]
    return starts == ends


@given('small random fleets of layer ranges')
def given_small_fleets(context):
    def stops(rows):
        return [
            plan.Stop(f'agent-{index}', *row) for index, row in enumerate(rows)
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
            for stop in chain.stops:
                carried[stop] = carried.get(stop, 0) + chain.share
        assert all(
            amount <= stop.capacity + 1e-6 for stop, amount in carried.items()
        )


@given('a planned fleet of two endpoints for each of three ranges')
def given_planned_fleet(context):
    context.stops = [
        plan.Stop(f'{side}{start}', start, start + 1, 100.0)
        for start in range(LAYERS)
        for side in 'xy'
    ]
    context.chooser = choose.Chooser()
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
