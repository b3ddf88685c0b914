"""Throughput relative to the max-flow bound, by routing policy.

Figures named ``processes`` come from real processes, all others from the
event model in ``dunlintide_trials.stages``, whose docstring lists its
assumptions. The model runs six random fleets, each with six kinds of
accelerator in each of four layer ranges, three failure domains, links that
differ by a factor of 100, and three entries. Its figures are those of the
worst fleet.
"""

from collections.abc import Callable, Iterator
import random
import time

import attrs

from dunlintide_core import plan as plans
from dunlintide_trials import figures
from dunlintide_trials import randomfleets
from dunlintide_trials import routing
from dunlintide_trials import saturation
from dunlintide_trials import stages

__all__ = ['CASES']

SEEDS = range(1, 7)
ENTRIES = 3
BOUND_TARGET = 0.90
DEGRADED_TARGET = 0.85
# Slow links have no target; the bound only detects regressions.
LINK_GUARD = 0.75
# Sessions relative to the number that fills the batches of all chains.
SESSIONS_FACTOR = 2.0
WARM_UP_SECONDS = 20.0
WINDOW_SECONDS = 10.0
# Rate of arrivals as a fraction of the bound before the fault.
OFFERED = 0.95
REACTION_SECONDS = 5.0
REACTED_SECONDS = 5.0
SLOWDOWN = 10.0

# Twice the callers that fill the batches of the engines of all processes.
STREAMS = 384
PROCESS_WARM_UP_SECONDS = 10.0
PROCESS_OFFERED = 0.9
# Duration of the responses over the slowest chains.
PROCESS_FILL_SECONDS = 25.0

_PROCESSES_NOTE = '12 engines of 6 kinds, a process each'
_MEAN_TOKENS = sum(stages.SESSION_TOKENS) / 2
_MODEL_NOTE = 'event model, worst of 6 fleets'

_Policy = Callable[[randomfleets.RandomFleet, plans.Plan, int], stages.Entry]


def _route(
    fleet: randomfleets.RandomFleet, plan: plans.Plan, seed: int
) -> stages.Entry:
    return routing.Router(
        fleet.stages, fleet.layers, fleet.links, seed
    ).entry()


def _route_unlearnt(
    fleet: randomfleets.RandomFleet, plan: plans.Plan, seed: int
) -> stages.Entry:
    router = routing.Router(
        fleet.stages, fleet.layers, fleet.links, seed, False
    )
    return router.entry()


def _take_turns(
    fleet: randomfleets.RandomFleet, plan: plans.Plan, seed: int
) -> stages.Entry:
    return routing.make_round_robin(fleet.stages, fleet.layers)


def _take_least(
    fleet: randomfleets.RandomFleet, plan: plans.Plan, seed: int
) -> stages.Entry:
    return routing.make_least_outstanding(fleet.stages, fleet.layers, seed)


def _take_shares(
    fleet: randomfleets.RandomFleet, plan: plans.Plan, seed: int
) -> stages.Entry:
    return routing.make_shares_only(plan, seed)


def _plan(fleet: randomfleets.RandomFleet) -> plans.Plan:
    return plans.make_plan(fleet.stages, fleet.layers, fleet.links)


def _count_sessions(plan: plans.Plan) -> int:
    sessions = 0.0
    for chain in plan.chains:
        steps = sum(stages.BATCH / stage.capacity for stage in chain.stages)
        sessions += chain.share * (chain.latency + steps)
    return int(SESSIONS_FACTOR * sessions)


def _build(
    fleet: randomfleets.RandomFleet,
    plan: plans.Plan,
    policy: _Policy,
    has_arrivals: bool,
) -> stages.Model:
    entries = [policy(fleet, plan, seed) for seed in range(ENTRIES)]
    sessions = 0 if has_arrivals else _count_sessions(plan)
    arrivals = OFFERED * plan.bound / _MEAN_TOKENS if has_arrivals else 0.0
    return stages.Model(
        fleet.stages,
        fleet.links,
        entries,
        sessions,
        random.Random(sum(map(ord, policy.__name__))),
        arrivals,
    )


def _measure_policy(policy: _Policy, seed: int) -> float:
    fleet = randomfleets.generate(seed)
    plan = _plan(fleet)
    model = _build(fleet, plan, policy, has_arrivals=False)
    end = WARM_UP_SECONDS + WINDOW_SECONDS
    model.run(end)
    return model.rate(WARM_UP_SECONDS, end) / plan.bound


def _saturate(running, entries: tuple[int, ...]) -> float:
    with saturation.Streams(running, entries, STREAMS) as streams:
        time.sleep(PROCESS_WARM_UP_SECONDS)
        rate = streams.measure(WINDOW_SECONDS)
        if failed := streams.count_failed():
            raise RuntimeError(f'streams failed: {dict(failed)}')
        return rate


def _measure_bound_processes() -> Iterator[figures.Figure]:
    """Measure real processes with streams that fill all chains."""
    routings = ('planned', 'planned', 'round-robin', 'round-robin')
    with saturation.run(routings) as running:
        bound = saturation.compute_bound(saturation.list_stages(running))
        planned = _saturate(running, (0, 1))
        round_robin = _saturate(running, (2, 3))
    yield figures.at_least(
        'throughput.bound.processes',
        planned / bound,
        '1',
        BOUND_TARGET,
        round_robin / bound,
        f'{_PROCESSES_NOTE}, {STREAMS} callers; bound {bound:.0f} tokens/s; '
        'baseline: round robin',
    )


def _measure_degraded_processes() -> Iterator[figures.Figure]:
    """Measure real processes from 5 s to 10 s after a stage slows down.

    The steps of the fastest endpoint take ten times as long. Requests
    arrive at a rate that the deployment sustains before that.
    """
    with saturation.run(('planned', 'planned')) as running:
        plan_stages = saturation.list_stages(running)
        before = saturation.compute_bound(plan_stages)
        slow = max(plan_stages, key=lambda stage: stage.capacity)
        after = saturation.compute_bound(
            (
                attrs.evolve(stage, capacity=stage.capacity / SLOWDOWN)
                if stage is slow
                else stage
            )
            for stage in plan_stages
        )
        arrivals = PROCESS_OFFERED * before / saturation.MEAN_TOKENS
        entries = (0, 1)
        with saturation.Streams(
            running, entries, arrivals=arrivals
        ) as streams:
            time.sleep(PROCESS_FILL_SECONDS)
            sound = streams.measure(REACTED_SECONDS)
            engine = slow.agent.removeprefix('agent-')
            running.control(engine, slow_factor=SLOWDOWN)
            time.sleep(REACTION_SECONDS)
            reacted = streams.measure(REACTED_SECONDS)
            failed = streams.count_failed().total()
    yield figures.at_least(
        'throughput.degraded.processes',
        reacted / after,
        '1',
        DEGRADED_TARGET,
        sound / before,
        f'{_PROCESSES_NOTE}, arrivals at {PROCESS_OFFERED} of the bound; '
        f'bound {before:.0f}, then {after:.0f} tokens/s; {failed} failed; '
        'baseline: before the fault, of the old bound',
    )


def measure_bound() -> Iterator[figures.Figure]:
    """Measure routing policies with sessions that fill all chains."""
    yield from _measure_bound_processes()
    reached = {
        policy: min(_measure_policy(policy, seed) for seed in SEEDS)
        for policy in (_route, _take_turns, _take_least, _take_shares)
    }
    round_robin = reached[_take_turns]
    note = f'{_MODEL_NOTE}; baseline: round robin'
    yield figures.at_least(
        'throughput.bound',
        reached[_route],
        '1',
        BOUND_TARGET,
        round_robin,
        note,
    )
    for name, policy in (
        ('least_outstanding', _take_least),
        ('shares_only', _take_shares),
    ):
        yield figures.plain(
            f'throughput.bound.{name}', reached[policy], '1', round_robin, note
        )


def _find_busiest_stage(plan: plans.Plan) -> str:
    carried: dict[str, float] = {}
    for chain in plan.chains:
        for agent in chain.agents:
            carried[agent] = carried.get(agent, 0.0) + chain.share
    return max(carried, key=carried.get)


def _find_busiest_link(plan: plans.Plan) -> tuple[str, str]:
    carried: dict[tuple[str, str], float] = {}
    for chain in plan.chains:
        for source, target in zip(chain.stages, chain.stages[1:]):
            pair = source.failure_domain, target.failure_domain
            if pair[0] != pair[1]:
                carried[pair] = carried.get(pair, 0.0) + chain.share
    return max(carried, key=carried.get)


def _slow_stage(
    fleet: randomfleets.RandomFleet, model: stages.Model
) -> plans.Plan:
    agent = _find_busiest_stage(_plan(fleet))
    model.stages[agent].speed = 1.0 / SLOWDOWN
    plan_stages = [
        (
            attrs.evolve(stage, capacity=stage.capacity / SLOWDOWN)
            if stage.agent == agent
            else stage
        )
        for stage in fleet.stages
    ]
    return plans.make_plan(plan_stages, fleet.layers, fleet.links)


def _slow_link(
    fleet: randomfleets.RandomFleet, model: stages.Model
) -> plans.Plan:
    pair = _find_busiest_link(_plan(fleet))
    model.slowdowns[pair] = SLOWDOWN
    quality = fleet.links.domains[pair]
    slowed = attrs.evolve(
        quality, tokens_per_second=quality.tokens_per_second / SLOWDOWN
    )
    links = plans.Links(domains={**fleet.links.domains, pair: slowed})
    return plans.make_plan(fleet.stages, fleet.layers, links)


def _measure_degraded(
    policy: _Policy,
    slow: Callable[[randomfleets.RandomFleet, stages.Model], plans.Plan],
    has_arrivals: bool,
    seed: int,
) -> float:
    fleet = randomfleets.generate(seed)
    model = _build(fleet, _plan(fleet), policy, has_arrivals)
    model.run(WARM_UP_SECONDS)
    degraded = slow(fleet, model)
    start = WARM_UP_SECONDS + REACTION_SECONDS
    end = start + REACTED_SECONDS
    model.run(end)
    return model.rate(start, end) / degraded.bound


def measure_degraded() -> Iterator[figures.Figure]:
    """Measure from 5 s to 10 s after the busiest stage or link slows down.

    Besides Poisson arrivals a fixed number of callers is measured, as
    those that wait for the slow stage send no other requests.
    """

    yield from _measure_degraded_processes()

    def worst(policy: _Policy, slow, has_arrivals: bool) -> float:
        return min(
            _measure_degraded(policy, slow, has_arrivals, seed)
            for seed in SEEDS
        )

    note = (
        f'{_MODEL_NOTE}, Poisson arrivals; baseline: shares stay as declared'
    )
    yield figures.at_least(
        'throughput.degraded',
        worst(_route, _slow_stage, True),
        '1',
        DEGRADED_TARGET,
        worst(_route_unlearnt, _slow_stage, True),
        note,
    )
    yield figures.at_least(
        'throughput.degraded.link',
        worst(_route, _slow_link, True),
        '1',
        LINK_GUARD,
        worst(_route_unlearnt, _slow_link, True),
        note,
    )
    yield figures.plain(
        'throughput.degraded.fixed_callers',
        worst(_route, _slow_stage, False),
        '1',
        worst(_route_unlearnt, _slow_stage, False),
        f'{_MODEL_NOTE}, callers wait for stuck answers; same baseline',
    )


CASES = [measure_bound, measure_degraded]
