"""Latency that dunlintide adds to a request on an idle deployment.

The baseline sends the same steps to the same engines over HTTP from a
single loop, one after another, with no process in between.
"""

import statistics
from typing import Iterator

from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import direct
from dunlintide_trials import figures
from dunlintide_trials import launcher

__all__ = ['CASES']

REQUESTS = 40
WARMUP = 5
TOKENS = 32
PROMPT = 'Write the dinner specials of a diner on the interstate'
# Bounds on the added latency as fractions of the baseline, as a busy machine
# slows both.
FIRST_TOKEN_SHARE = 2.0
INTER_TOKEN_SHARE = 1.0


def _ask(caller: client.Caller, model: str) -> direct.Latencies:
    answer = caller.complete(
        PROMPT, model=model, max_tokens=TOKENS, stream=True
    )
    if not answer.is_complete:
        raise RuntimeError(f'{answer.outcome}: {answer.error}')
    return direct.Latencies.from_token_times(answer.started, answer.times)


def _compare(running: deployment.Deployment) -> tuple[list, list]:
    """Alternate direct and routed requests, so that both meet equal noise.

    :returns: latencies of the direct and of the routed requests
    """
    chain = direct.Chain.from_first_engines(running, PROMPT, TOKENS)
    caller = running.make_caller(0, next(iter(running.keys)))
    plain, routed = [], []
    for number in range(WARMUP + REQUESTS):
        plain.append(chain.run(f'direct-{number}'))
        routed.append(_ask(caller, running.model))
    caller.close()
    return plain[WARMUP:], routed[WARMUP:]


def measure_first_token() -> Iterator[figures.Figure]:
    """Measure the latency added to the first token."""
    with launcher.run_small() as running:
        plain, routed = _compare(running)
    before = statistics.median(one.first for one in plain)
    after = statistics.median(one.first for one in routed)
    yield figures.at_most(
        'overhead.first_token',
        round(after - before, 3),
        'ms',
        round(before * FIRST_TOKEN_SHARE, 3),
        round(before, 3),
        f'median of {REQUESTS}, added to the baseline; one request at a time',
    )


def measure_inter_token() -> Iterator[figures.Figure]:
    """Measure the latency added to the mean interval between tokens."""
    with launcher.run_small() as running:
        plain, routed = _compare(running)
    before = statistics.median(one.between for one in plain)
    after = statistics.median(one.between for one in routed)
    yield figures.at_most(
        'overhead.inter_token',
        round(after - before, 3),
        'ms',
        round(before * INTER_TOKEN_SHARE, 3),
        round(before, 3),
        f'median of {REQUESTS}, added to the baseline; one request at a time',
    )


CASES = [measure_first_token, measure_inter_token]
