"""Generated fleets of engines for the steps of chains and layouts."""

from dunlintide_core.pipeline import chaincosts
from dunlintide_core.pipeline import chains
from dunlintide_core.pipeline import chaintable
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import occupancy
from dunlintide_core.pipeline import profiles
import hypothesis
from hypothesis import strategies

LAYERS = 12
CARDS = {
    'large': profiles.Accelerator('large', 9000.0, 2.0, 3.0),
    'small': profiles.Accelerator('small', 5000.0, 5.0, 7.0),
}
PROFILE = profiles.EngineProfile(
    layers=LAYERS,
    layer_mb=1000.0,
    token_bytes=120_000,
    step_ms=1.0,
    sequence_ms=0.01,
    context_ms=0.01,
    read_per_second=164_000.0,
    slots=16,
    stride=4,
    activation_bytes=59_000,
    link_mbps=400_000.0,
    pipe_mbps=16_000.0,
    load_seconds=14.0,
    loads_at_once=6,
    usual_prompt=775,
    usual_answer=220,
    accelerators=CARDS,
    delays_ms={('a', 'b'): 0.3},
)
SPANS = strategies.tuples(
    strategies.integers(0, LAYERS - 1), strategies.integers(1, LAYERS)
).map(lambda pair: (pair[0], min(LAYERS, pair[0] + pair[1])))
ENGINES = strategies.lists(
    strategies.tuples(
        SPANS,
        strategies.sampled_from('abc'),
        strategies.sampled_from(sorted(CARDS)),
        strategies.integers(0, 40),
        strategies.integers(0, 20_000),
    ),
    max_size=14,
)


def make_engine(name, span, domain, kind='large'):
    return endpoints.Endpoint(
        name=name,
        address=f'{name}:1',
        service='llm',
        domain=domain,
        slots=16,
        kind=kind,
        start=span[0],
        end=span[1],
    )


def make_demand(domain='a', tokens=1000):
    return chains.Demand(800, 200, tokens, domain)


def make_use(engine, running, room):
    """Build a usage that leaves ``room`` of an engine's cache capacity."""
    held = engine.end - engine.start
    given = (
        PROFILE.get_cache_capacity(engine.kind, held)
        * chaincosts.MEMORY_FRACTION
    )
    return occupancy.Usage(running, 0, given - room)


def choose(engines, usages, demand):
    table = chaintable.ChainTable.from_engines(PROFILE, engines)
    return table.choose(demand, usages)


def make_fleet(rows):
    engines = []
    usages = {}
    for index, (span, domain, kind, running, room) in enumerate(rows):
        engine = make_engine(f'e{index}', span, domain, kind)
        engines.append(engine)
        usages[engine.name] = make_use(engine, running, room)
    return engines, usages


def repeat(check, *given, examples=300):
    hypothesis.settings(max_examples=examples, deadline=None)(
        hypothesis.given(*given)(check)
    )()
