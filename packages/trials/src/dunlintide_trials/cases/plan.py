"""Time to make a plan and to choose a chain with 600 endpoints."""

from collections.abc import Iterator
import random
import statistics
import time

from dunlintide_core import affinity
from dunlintide_core import fleet
from dunlintide_core import plan as plans
from dunlintide_core import selection
from dunlintide_trials import figures
from dunlintide_trials import randomfleets

__all__ = ['CASES']

# 10 layer ranges x 6 kinds x 10 endpoints, in 7 failure domains.
LAYERS = 10
ENDPOINTS_PER_KIND = 10
DOMAINS = 7
ROUNDS = 5
CHOICES = 20_000
PROMPT_CHARACTERS = 2_000
CHOOSE_TARGET_MICROSECONDS = 30.0
REPLAN_GUARD_MILLISECONDS = 1_000.0


def _generate_fleet() -> randomfleets.RandomFleet:
    return randomfleets.generate(1, LAYERS, ENDPOINTS_PER_KIND, DOMAINS)


def _make_chooser(random_fleet: randomfleets.RandomFleet) -> selection.Chooser:
    chooser = selection.Chooser()
    plan = plans.make_plan(
        random_fleet.stages, random_fleet.layers, random_fleet.links
    )
    chooser.adopt(plan, random_fleet.stages, random_fleet.layers)
    rng = random.Random(2)
    for stage in random_fleet.stages:
        report = fleet.LoadReport(running=rng.randrange(50))
        chooser.report(stage.agent, report, 0.0)
    return chooser


def _time_choices(chooser: selection.Chooser, prompts: list[str]) -> float:
    """Return the median over rounds of the microseconds per request."""
    rng = random.Random(3)
    affinity_map = affinity.AffinityMap()
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for index in range(CHOICES):
            holders: dict[str, float] = {}
            if prompts:
                prompt = prompts[index % len(prompts)]
                blocks = affinity.hash_blocks('salt', prompt)
                holders = affinity_map.find(blocks, 1.0)
            chain = chooser.choose(1.0, rng, holders=holders)
            chooser.begin(chain)
            chooser.end(chain)
            if prompts:
                affinity_map.record(blocks, chain.agents, 1.0)
        elapsed = time.perf_counter() - started
        rounds.append(elapsed / CHOICES * 1e6)
    return statistics.median(rounds)


def measure_choose() -> Iterator[figures.Figure]:
    """Measure the choice and the bookkeeping of one request."""
    random_fleet = _generate_fleet()
    chooser = _make_chooser(random_fleet)
    yield figures.at_most(
        'plan.choose',
        _time_choices(chooser, []),
        'us',
        CHOOSE_TARGET_MICROSECONDS,
        note=f'{len(random_fleet.stages)} endpoints, choose + begin + end',
    )
    prompts = [f'{n:>{PROMPT_CHARACTERS}}' for n in range(100)]
    yield figures.plain(
        'plan.choose.affinity',
        _time_choices(chooser, prompts),
        'us',
        note=f'the same with a prompt of {PROMPT_CHARACTERS} characters',
    )


def measure_replan() -> Iterator[figures.Figure]:
    """Measure the computation of a plan, which runs in the background."""
    random_fleet = _generate_fleet()
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        plan = plans.make_plan(
            random_fleet.stages, random_fleet.layers, random_fleet.links
        )
        rounds.append((time.perf_counter() - started) * 1e3)
    yield figures.at_most(
        'plan.replan',
        statistics.median(rounds),
        'ms',
        REPLAN_GUARD_MILLISECONDS,
        note=f'{len(random_fleet.stages)} endpoints, '
        f'{len(plan.chains)} chains',
    )


CASES = [measure_choose, measure_replan]
