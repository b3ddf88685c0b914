"""Steps about the choice of chains against trying all of them."""

import math
import sys

import attrs
import behave
from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import endpointhealth
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import regions
from dunlintide_trials import engineload
from hypothesis import strategies
import pipeline_scene

LAYERS = pipeline_scene.LAYERS
PROFILE = pipeline_scene.PROFILE
# Few enough for all chains to be tried.
FEW = 6
EXAMPLES = 2000
TOKENS = 1000
# More than any engine can hold.
FULL_TOKENS = 10**9


def make_spans(most):
    return strategies.tuples(
        strategies.integers(0, LAYERS - 1), strategies.integers(1, most)
    ).map(lambda pair: (pair[0], min(LAYERS, pair[0] + pair[1])))


def make_rows(rooms, domains='ab', most=LAYERS):
    """Draw engines: layers, domain, kind, requests in flight, room."""
    row = strategies.tuples(
        make_spans(most),
        strategies.sampled_from(domains),
        strategies.sampled_from(sorted(pipeline_scene.CARDS)),
        strategies.integers(0, 40),
        rooms,
    )
    return strategies.lists(row, min_size=3, max_size=FEW)


AMPLE = strategies.sampled_from([0, 100_000])
SCARCE = strategies.integers(1, LAYERS).map(lambda count: count * TOKENS)


class Reference:
    """All chains of a fleet, tried one after the other."""

    def __init__(self, engines, usages, demand, avoids_pipes=True):
        self.engines = [each for each in engines if each.end > each.start]
        self.usages = usages
        self.demand = demand
        self.crossing = chaincosts.make_handoff_cost(
            PROFILE, demand, usages, avoids_pipes
        )
        cuts = {0, LAYERS}
        for each in self.engines:
            cuts |= {each.start, each.end}
        self.cuts = sorted(cuts)
        self.best = math.inf

    def get_use(self, engine):
        return self.usages.get(engine.name) or occupancy.Usage()

    def time(self, engine, begin, end):
        card = PROFILE.accelerators[engine.kind]
        running = self.get_use(engine).sequences
        step = PROFILE.step_ms + PROFILE.sequence_ms * running
        steps = self.demand.answer * step * card.step_factor
        read = self.demand.prompt / PROFILE.read_per_second * 1000.0
        busy = 1.0 + running / chaincosts.SEQUENCES_TO_DOUBLE
        free = max(regions.MIN_FREE, self.count_free(engine))
        scarce = max(1.0, regions.AMPLE_FREE / free)
        whole = (steps + read * card.read_factor) * busy * scarce
        return whole / LAYERS * (end - begin)

    def count_given(self, engine):
        held = engine.end - engine.start
        return (
            PROFILE.get_cache_capacity(engine.kind, held)
            * chaincosts.MEMORY_FRACTION
        )

    def count_free(self, engine):
        """Part of an engine's memory that is free; all if it has none."""
        given = self.count_given(engine)
        if given <= 0.0:
            return 1.0
        free = given - self.get_use(engine).cache
        return min(1.0, max(0.0, free / given))

    def count_room(self, engine):
        given = self.count_given(engine)
        return (given - self.get_use(engine).cache) / self.demand.tokens

    def enter(self, engine, before):
        if before is not None:
            return self.crossing(before.domain, engine.domain)
        slots = PROFILE.slots * chaincosts.SLOT_FRACTION
        if self.get_use(engine).started >= slots:
            return math.inf
        same = engine.domain == self.demand.domain
        return 0.0 if same else chaincosts.REMOTE_ENTRY_PENALTY_MS

    def measure(self, hops):
        cost, before = 0.0, None
        for hop in hops:
            cost += self.enter(hop.endpoint, before)
            cost += self.time(hop.endpoint, hop.start, hop.end)
            before = hop.endpoint
        return cost

    def find(self, begin=0, cost=0.0, used=()):
        """Give the least cost of any chain, infinite if there is none."""
        if cost >= self.best:
            return self.best
        if begin == LAYERS:
            self.best = cost
            return cost
        before = used[-1] if used else None
        for engine in self.engines:
            if engine in used or not engine.start <= begin < engine.end:
                continue
            entered = cost + self.enter(engine, before)
            if entered == math.inf:
                continue
            room = self.count_room(engine)
            for end in self.cuts:
                if begin < end <= engine.end and end - begin <= room:
                    work = self.time(engine, begin, end)
                    self.find(end, entered + work, (*used, engine))
        return self.best


def list_fleets(engines, avoids_pipes):
    """List the engines to try together; the later ones if all before fail.

    Parts end where some range among them does.
    """
    domains = sorted({each.domain for each in engines})
    within = [
        [each for each in engines if each.domain == domain]
        for domain in domains
    ]
    return [within, [engines]] if avoids_pipes else [[engines]]


def weigh_domain(engines, demand, within):
    """What a chain within another failure domain than the caller's weighs.

    :param within: whether each domain was tried by itself
    """
    if within and demand.domain not in {each.domain for each in engines}:
        return chaincosts.OTHER_DOMAIN_FACTOR
    return 1.0


def find_least(engines, usages, demand, avoids_pipes):
    """Give the least weighed cost, and whether a domain by itself has it."""
    tries = list_fleets(engines, avoids_pipes)
    for fleets in tries:
        within = avoids_pipes and fleets is not tries[-1]
        least = min(
            (
                Reference(fleet, usages, demand, avoids_pipes).find()
                * weigh_domain(fleet, demand, within)
                for fleet in fleets
            ),
            default=math.inf,
        )
        if least < math.inf:
            return least, within
    return math.inf, False


def compare(rows, avoids_pipes):
    engines, usages = pipeline_scene.make_fleet(rows)
    demand = pipeline_scene.make_demand(tokens=TOKENS)
    table = chaintable.ChainTable.from_engines(PROFILE, engines)
    hops = table.choose(demand, usages, avoids_pipes=avoids_pipes)
    least, within = find_least(engines, usages, demand, avoids_pipes)
    if hops is None:
        assert least == math.inf, (least, rows)
        return
    assert endpoints.covers_exactly(hops, LAYERS), hops
    reference = Reference(engines, usages, demand, avoids_pipes)
    chosen = [hop.endpoint for hop in hops]
    cost = reference.measure(hops)
    cost *= weigh_domain(chosen, demand, within)
    assert math.isclose(cost, least, rel_tol=1e-9), (
        hops,
        least,
    )


def repeat(rows, avoids_pipes=True):
    def check(rows):
        compare(rows, avoids_pipes)

    pipeline_scene.repeat(check, rows, examples=EXAMPLES)


@behave.then('no chain of any fleet is cheaper than the one that is chosen')
def check_any(context):
    repeat(make_rows(AMPLE))


@behave.then('none is where engines have room for a few layers only')
def check_scarce(context):
    repeat(make_rows(SCARCE))


@behave.then(
    "none is where one engine is fast in the midst of a slow one's layers"
)
def check_midst(context):
    def check(middle, running, rows):
        slow = ((0, LAYERS), 'a', 'small', running, 100_000)
        fast = (middle, 'a', 'large', 0, 100_000)
        compare([slow, fast, *rows], True)

    pipeline_scene.repeat(
        check,
        make_spans(LAYERS),
        strategies.integers(0, 40),
        strategies.lists(
            strategies.tuples(
                make_spans(6),
                strategies.just('a'),
                strategies.sampled_from(sorted(pipeline_scene.CARDS)),
                strategies.integers(0, 40),
                AMPLE,
            ),
            max_size=4,
        ),
        examples=EXAMPLES,
    )


@behave.then('none is where chains may cross pipes freely')
def check_free(context):
    repeat(make_rows(AMPLE, 'abc'), avoids_pipes=False)


def repeat_without_some(check):
    """Check choices of fleets in which some engines are out of use.

    :param check: gets the engines, their use, the names of these, the demand
        and the choice
    """

    def choose(rows, chosen):
        engines, usages = pipeline_scene.make_fleet(rows)
        names = {each.name for each in engines if int(each.name[1:]) in chosen}
        demand = pipeline_scene.make_demand(tokens=TOKENS)
        table = chaintable.ChainTable.from_engines(PROFILE, engines)
        found = table.choose(demand, usages, names)
        check(engines, usages, names, demand, found)

    pipeline_scene.repeat(
        choose,
        pipeline_scene.ENGINES,
        strategies.sets(strategies.integers(0, 6)),
    )


@behave.then(
    'a choice without some engines is the one when these have no room'
)
def check_unusable(context):
    def check(engines, usages, names, demand, found):
        full = dict(usages)
        for name in names:
            usage = usages.get(name) or occupancy.Usage()
            full[name] = attrs.evolve(usage, cache=FULL_TOKENS)
        table = chaintable.ChainTable.from_engines(PROFILE, engines)
        expected = table.choose(demand, full)
        assert (found is None) == (expected is None), (found, expected)
        if found is None:
            return
        reference = Reference(engines, usages, demand)
        assert math.isclose(
            reference.measure(found), reference.measure(expected)
        )
        assert not names & {hop.endpoint.name for hop in found}

    repeat_without_some(check)


@behave.then('there is one if the fleet without them has one')
def check_left(context):
    def check(engines, usages, names, demand, found):
        # It may also end parts where engines out of use begin or end.
        left = [each for each in engines if each.name not in names]
        table = chaintable.ChainTable.from_engines(PROFILE, left)
        if table.choose(demand, usages) is not None:
            assert found is not None, left

    repeat_without_some(check)


@behave.given('{count:d} engines in {domains:d} failure domains')
def make_engines(context, count, domains):
    context.load = engineload.EngineLoad.from_size(count, domains)


@behave.when('all memory is taken')
def take_all(context):
    context.load.fill_caches()


@behave.when('one domain after the other holds what the next one lacks')
def fragment(context):
    context.load.fragment()


def count_lines(work):
    """Count the lines of code that run, whatever else the machine does."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        count += event == 'line'
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        work()
    finally:
        sys.settrace(before)
    return count


@behave.then('a choice runs no more than {most:d} lines of code')
def check_lines(context, most):
    spent = count_lines(context.load.choose)
    assert spent <= most, spent


@behave.given('the beliefs of an entry that uses {count:d} engines')
def make_beliefs(context, count):
    context.belief = endpointhealth.EndpointHealth()
    context.names = [f'e{index}' for index in range(count)]
    context.belief.report_progress(context.names, 0.0)


@behave.when('{out:d} of them are left out and {full:d} refuses')
def trouble(context, out, full):
    context.troubled = set(context.names[: out + full])
    for name in context.names[:out]:
        context.belief.eject(name, 1.0)
    for name in context.names[out : out + full]:
        context.belief.record_refusal(name, 1.0)


@behave.then(
    'these {count:d} are unusable and no more than them are looked at'
)
def check_troubled(context, count):
    found = context.belief.list_unusable(1.1)
    assert found == context.troubled, found
    assert len(context.belief._flagged) == count


@behave.then('none is once their times are over')
def check_recovered(context):
    context.belief.report_progress(context.names, 5.0)
    assert not context.belief.list_unusable(5.0)
    assert not context.belief._flagged
