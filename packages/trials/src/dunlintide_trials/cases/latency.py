"""Latency that dunlintide adds to a request at 70% load.

The baseline drives a chain directly. Probes of both kinds alternate and
share the engines with background streams, so that both meet the same
batches. All endpoints are equal, as different speeds of chains would hide
the added latency. Values can be negative, because dunlintide chooses
endpoints by load while the baseline uses them in turn.
"""

from concurrent import futures
import itertools
import statistics
import time
from typing import Iterator

from dunlintide_trials import deployment
from dunlintide_trials import direct
from dunlintide_trials import figures
from dunlintide_trials import saturation

__all__ = ['CASES']

RANGES = (('k3', 'k3'),) * 3
LOAD = 0.7
PROBES = 6
PROBE_SECONDS = 30.0
WARM_UP_SECONDS = 15.0
TOKENS = 16
PROMPT = 'specials'
# Bounds on the added latency as fractions of the baseline.
FIRST_TOKEN_SHARE = 0.5
INTER_TOKEN_SHARE = 0.25
_PERCENTILE = 95

_Pairs = list[tuple[direct.Latencies, direct.Latencies]]


def _make_chain(running: deployment.Deployment, number: int) -> direct.Chain:
    by_start: dict[int, list[str]] = {}
    for agent in running.plan.agents:
        start = agent.endpoint.settings['layer_start']
        by_start.setdefault(start, []).append(agent.endpoint.standin.url)
    combinations = list(itertools.product(*by_start.values()))
    urls = combinations[number % len(combinations)]
    return direct.Chain(urls, PROMPT, TOKENS)


def _probe(
    running: deployment.Deployment, number: int, until: float
) -> _Pairs:
    caller = running.make_caller(0, saturation.TEAM)
    pairs = []
    while time.monotonic() < until:
        turn = number + PROBES * len(pairs)
        chain = _make_chain(running, turn)
        plain = chain.run(f'direct-{turn}')
        answer = caller.complete(
            PROMPT, model=saturation.MODEL, max_tokens=TOKENS, stream=True
        )
        if not answer.is_complete:
            raise RuntimeError(f'{answer.outcome}: {answer.error}')
        routed = direct.Latencies.from_token_times(
            answer.started, answer.times
        )
        pairs.append((plain, routed))
    caller.close()
    return pairs


def _measure() -> _Pairs:
    with saturation.run(('planned',), RANGES) as running:
        bound = saturation.compute_bound(saturation.list_stages(running))
        arrivals = LOAD * bound / saturation.MEAN_TOKENS
        with saturation.Streams(running, (0,), arrivals=arrivals):
            time.sleep(WARM_UP_SECONDS)
            until = time.monotonic() + PROBE_SECONDS
            with futures.ThreadPoolExecutor(PROBES) as pool:
                numbers = range(PROBES)
                found = pool.map(
                    lambda number: _probe(running, number, until), numbers
                )
                return [pair for pairs in found for pair in pairs]


def _compare(name: str, share: float) -> Iterator[figures.Figure]:
    pairs = _measure()
    plain, routed = (
        sorted(getattr(times, name) for times in column)
        for column in zip(*pairs)
    )
    before, after = statistics.median(plain), statistics.median(routed)
    last = _PERCENTILE - 1
    tails = (
        statistics.quantiles(column, n=100)[last] for column in (plain, routed)
    )
    note = (
        f'median added at {LOAD:.0%} load, {len(pairs)} pairs; baseline: '
        'direct; p{} {:.1f} direct, {:.1f} through'
    )
    case = {'first': 'first_token', 'between': 'inter_token'}[name]
    yield figures.at_most(
        f'latency.{case}',
        round(after - before, 3),
        'ms',
        round(share * before, 3),
        round(before, 3),
        note.format(_PERCENTILE, *tails),
    )


def measure_first_token() -> Iterator[figures.Figure]:
    """Measure the latency added to the first token."""
    yield from _compare('first', FIRST_TOKEN_SHARE)


def measure_inter_token() -> Iterator[figures.Figure]:
    """Measure the latency added to the mean interval between tokens."""
    yield from _compare('between', INTER_TOKEN_SHARE)


CASES = [measure_first_token, measure_inter_token]
