"""Steps for placement decisions that need no processes."""

import itertools

import attrs
import behave
from dunlintide_core import coverage
from dunlintide_core import leadership
from dunlintide_core import placement
from dunlintide_core import reachability
from dunlintide_core import records
import hypothesis
from hypothesis import strategies

MODEL = 'copy-7b'
TARGET = placement.Target(MODEL, '1', 24)
STEPS_PER_SECOND = 10


def hold(start, end):
    return placement.Holding(MODEL, '1', start, end)


def add_engine(context, name, holding, work=0, max_layers=0):
    engine = placement.Engine(name, holding, work, max_layers)
    context.engines[name] = engine


def list_holders(context, start, end):
    return [
        engine
        for engine in context.engines.values()
        if engine.holding.span == (start, end)
    ]


def decide(context, until):
    """Run the placer every 0.1 s until a time and return its orders."""
    orders = []
    while context.step < round(until * STEPS_PER_SECOND):
        context.step += 1
        engines = context.engines.values()
        now = context.step / STEPS_PER_SECOND
        orders += context.placer.make_orders(now, engines)
    return orders


def decide_on(context, seconds):
    return decide(context, context.step / STEPS_PER_SECOND + seconds)


def carry_out(context, order):
    engine = context.engines[order.agent]
    assert engine.holding.equals(order.expected)
    context.engines[order.agent] = attrs.evolve(engine, holding=order.holding)


@behave.given('a model of 24 layers in ranges of 8, each held twice')
def make_model(context):
    context.engines, context.step = {}, 0
    settings = placement.PlacerSettings(shortage_delay=5.0, max_orders=2)
    context.placer = placement.Placer(TARGET, settings)
    for start, replica in itertools.product((0, 8, 16), (0, 1)):
        add_engine(context, f'{start}-{replica}', hold(start, start + 8))


@behave.given('spare engines with {one:d} and {two:d} requests')
def add_spares(context, one, two):
    for number, work in enumerate((one, two)):
        add_engine(context, f'spare-{number}', placement.Holding(), work)


@behave.given('{count:d} spare engines that hold at most {most:d} layers each')
def add_small_spares(context, count, most):
    for number in range(count):
        add_engine(
            context, f'spare-{number}', placement.Holding(), 0, max_layers=most
        )


@behave.given(
    'a further holder of layers {start:d} to {end:d} with {work:d} requests'
)
def add_holder(context, start, end, work):
    add_engine(context, f'{start}-2', hold(start, end), work)


@behave.when('the holders of layers {start:d} to {end:d} vanish at {at:f} s')
def lose_range(context, start, end, at):
    assert not decide(context, at)
    context.lost = list_holders(context, start, end)
    for engine in context.lost:
        del context.engines[engine.agent]


def doubt(context, engines):
    for engine in engines:
        suspected = attrs.evolve(engine, suspected=True)
        context.engines[engine.agent] = suspected


@behave.when(
    'the holders of layers {start:d} to {end:d} are in doubt from {at:f} s'
)
def doubt_range(context, start, end, at):
    assert not decide(context, at)
    doubt(context, list_holders(context, start, end))


@behave.given('every spare engine is in doubt')
def doubt_spares(context):
    doubt(context, list_holders(context, 0, 0))


@behave.given('one holder of layers {start:d} to {end:d} is in doubt')
def doubt_one(context, start, end):
    doubt(context, list_holders(context, start, end)[:1])


@behave.then(
    'in {domains:d} failure domains one missed by {witnesses} is {held}'
)
def check_standing(context, domains, witnesses, held):
    missed = {}
    if witnesses != 'nobody':
        missed = dict(one.split(' of ') for one in witnesses.split(', '))
    needed = reachability.count_needed_domains('ABC'[:domains])
    judged = reachability.assess(records.State.ALIVE, missed, needed)
    assert judged.name.lower() == held, judged


@behave.when('every holder vanishes at {at:f} s')
def lose_all(context, at):
    for start in (0, 8, 16):
        lose_range(context, start, start + 8, at)


@behave.given('a leader with a patience of {seconds:f} s that has just begun')
def begin_leader(context, seconds):
    context.step = 100 * STEPS_PER_SECOND
    settings = placement.PlacerSettings(shortage_delay=seconds, max_orders=2)
    context.placer = placement.Placer(TARGET, settings)


@behave.given('the holders of layers {start:d} to {end:d} have yet to start')
def leave_out(context, start, end):
    context.lost = list_holders(context, start, end)
    for engine in context.lost:
        del context.engines[engine.agent]


@behave.when('they are back at {at:f} s')
def return_holders(context, at):
    assert not decide(context, at)
    for engine in context.lost:
        context.engines[engine.agent] = engine


@behave.then('nothing is ordered until {at:f} s')
@behave.then('nothing more is ordered until {at:f} s')
def check_quiet(context, at):
    assert decide(context, at) == []


@behave.then(
    'at {at:f} s the spare engine with {work:d} requests is to hold'
    ' layers {start:d} to {end:d}'
)
def check_spare(context, at, work, start, end):
    (order,) = decide(context, at)
    assert order.holding == hold(start, end)
    assert order.layer_count == TARGET.layers
    assert context.engines[order.agent].request_count == work
    carry_out(context, order)


@behave.then(
    'at {at:f} s one holder of layers {start:d} to {end:d} is to hold'
    ' layers {to_start:d} to {to_end:d}'
)
def check_move(context, at, start, end, to_start, to_end):
    (order,) = decide(context, at)
    assert order.expected == hold(start, end)
    assert order.holding == hold(to_start, to_end)
    assert context.engines[order.agent].request_count == 0
    carry_out(context, order)


@behave.then('the last holder of a range never moves')
def check_last(context):
    for start in (8, 16):
        victim = list_holders(context, start, start + 8)[0]
        del context.engines[victim.agent]
    # Each range now has one holder; removing one leaves a range without.
    del context.engines[list_holders(context, 0, 8)[0].agent]
    assert decide_on(context, 60.0) == []


@behave.then(
    'at {at:f} s there are {count:d} orders and not more while they are open'
)
def check_pace(context, at, count):
    context.orders = decide(context, at)
    assert len(context.orders) == count
    assert decide_on(context, 60.0) == []


@behave.then(
    'each order that ends lets one more begin until all {layers:d} layers'
    ' are held'
)
def check_refill(context, layers):
    waiting, done = list(context.orders), 0
    while waiting:
        carry_out(context, waiting.pop(0))
        done += 1
        new = decide_on(context, 10.0)
        assert len(new) <= 1
        waiting += new
    held = [engine.holding.span for engine in context.engines.values()]
    assert coverage.find_reach(held) == layers
    assert done == 6


@behave.then(
    'one that sees {a:d} of {n:d} agents orders and one that sees {b:d} of'
    ' {m:d} does not'
)
def check_sight(context, a, n, b, m):
    assert placement.has_sufficient_view(a, n)
    assert not placement.has_sufficient_view(b, m)
    assert not placement.has_sufficient_view(0, 0)


@behave.then(
    'for any ranges the missing ones complete a chain and none is needless'
)
def check_missing(context):
    edges = strategies.integers(0, 12)
    span = strategies.tuples(edges, edges).filter(lambda s: s[0] < s[1])

    @hypothesis.given(strategies.lists(span, max_size=8))
    def check(held):
        missing = placement.find_missing(12, held)
        assert coverage.find_reach([*held, *missing]) == 12
        for needless in missing:
            rest = [one for one in missing if one != needless]
            assert coverage.find_reach([*held, *rest]) != 12

    check()


@behave.given(
    'a leader whose renewal at {sent:f} s was answered at {answered:f} s'
)
def make_leader(context, sent, answered):
    timing = leadership.LeaseTiming(6.0)
    context.leadership = leadership.Leadership(timing)
    context.leadership.begin(leadership.Term(17, 1, sent - 2.0))
    assert context.leadership.needs_renewal(sent)
    context.leadership.renew(sent)


@behave.then('at {early:f} s it leads and at {late:f} s it has lapsed')
def check_lapse(context, early, late):
    assert context.leadership.get_fence(early) == 17
    assert context.leadership.get_fence(late) is None
    phase = context.leadership.get_phase(late)
    assert phase is leadership.Phase.LAPSED


@behave.then('an answer that comes later than it lapsed makes it lead again')
def check_revival(context):
    # The lease still exists in the store, so no other leader took over.
    assert context.leadership.needs_renewal(110.0)
    context.leadership.renew(110.0)
    assert context.leadership.get_fence(115.0) == 17
    context.leadership.end()
    assert context.leadership.get_fence(115.0) is None


@behave.given('{count:d} entries in {domains:d} failure domains')
def make_entries(context, count, domains):
    context.entries = [
        leadership.Candidate(f'entry-{n}', f'domain-{n % domains}')
        for n in range(count)
    ]


@behave.then(
    'each model has {count:d} candidates in {domains:d} failure domains'
)
def check_candidates(context, count, domains):
    homes = {one.name: one.failure_domain for one in context.entries}
    context.picked = {}
    for model in ('copy-7b', 'promo-3b', 'claims-13b'):
        picked = leadership.pick_candidates(model, context.entries, count)
        assert len({homes[name] for name in picked}) == domains
        context.picked[model] = picked


@behave.then('the loss of an entry changes candidates only where it was one')
def check_stability(context):
    lost = context.picked['copy-7b'][0]
    left = [one for one in context.entries if one.name != lost]
    for model, before in context.picked.items():
        after = leadership.pick_candidates(model, left, 3)
        if lost in before:
            kept = [name for name in before if name != lost]
            assert set(kept) <= set(after) and lost not in after
        else:
            assert after == before
