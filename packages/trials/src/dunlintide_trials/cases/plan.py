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
KINDS_EACH = 10
DOMAINS = 7
ROUNDS = 5
CHOICES = 20_000
PROMPT_CHARACTERS = 2_000
CHOOSE_TARGET_MICROSECONDS = 30.0
REPLAN_GUARD_MILLISECONDS = 1_000.0


def _draw() -> randomfleets.Mix:
    return randomfleets.draw(1, LAYERS, KINDS_EACH, DOMAINS)


def _make_chooser(mix: randomfleets.Mix) -> selection.Chooser:
    chooser = selection.Chooser()
    plan = plans.make_plan(mix.stops, mix.layers, mix.links)
    chooser.adopt(plan, mix.stops, mix.layers)
    rng = random.Random(2)
    for stop in mix.stops:
        report = fleet.LoadReport(running=rng.randrange(50))
        chooser.report(stop.agent, report, 0.0)
    return chooser


def _time_choices(chooser: selection.Chooser, prompts: list[str]) -> float:
    """Return the median over rounds of the microseconds per request."""
    rng = random.Random(3)
    held = affinity.AffinityMap()
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        for index in range(CHOICES):
            holders: dict[str, float] = {}
            if prompts:
                prompt = prompts[index % len(prompts)]
                blocks = affinity.hash_blocks('salt', prompt)
                holders = held.find(blocks, 1.0)
            chain = chooser.choose(1.0, rng, holders=holders)
            chooser.begin(chain)
            chooser.end(chain)
            if prompts:
                held.record(blocks, chain.agents, 1.0)
        elapsed = time.perf_counter() - started
        rounds.append(elapsed / CHOICES * 1e6)
    return statistics.median(rounds)


def measure_choose() -> Iterator[figures.Figure]:
    """Measure the choice and the bookkeeping of one request."""
    mix = _draw()
    chooser = _make_chooser(mix)
    yield figures.at_most(
        'plan.choose',
        _time_choices(chooser, []),
        'us',
        CHOOSE_TARGET_MICROSECONDS,
        note=f'{len(mix.stops)} endpoints, choose + begin + end',
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
    mix = _draw()
    rounds = []
    for _ in range(ROUNDS):
        started = time.perf_counter()
        plan = plans.make_plan(mix.stops, mix.layers, mix.links)
        rounds.append((time.perf_counter() - started) * 1e3)
    yield figures.at_most(
        'plan.replan',
        statistics.median(rounds),
        'ms',
        REPLAN_GUARD_MILLISECONDS,
        note=f'{len(mix.stops)} endpoints, {len(plan.chains)} chains',
    )


CASES = [measure_choose, measure_replan]
