"""Retry amplification while endpoints fail.

In a deployment with three entries, 30% of the sessions fail at the engines
of the first layer range. The attempts are counted by the agents as the
requests that they accepted. The baseline may retry each request twice.
"""

import collections
from concurrent import futures
import pathlib
import tempfile
from typing import Iterator

import attrs

from dunlintide_core import budget
from dunlintide_core import outcomes
from dunlintide_trials import blueprints
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import launcher
from dunlintide_trials import operators

__all__ = ['CASES']

FAIL_RATE = 0.3
AMPLIFICATION_BOUND = 1.1
# Requests that use up the retries that an idle entry has accumulated.
WARM_UP = 300
REQUESTS = 900
CALLERS = 6
TOKENS = 2
# More than the attempts of a request allow, so the budget never denies one.
UNBOUNDED_RATIO = 10.0


@attrs.frozen
class _Measurement:
    """Measurements of one retry ratio.

    :ivar sent: attempts that agents accepted per request
    :ivar complete: fraction of the requests with a complete response
    :ivar outcomes: number of requests by outcome and error code
    """

    sent: float
    complete: float
    outcomes: dict[str, int]


def _fail_sessions(running: deployment.Deployment) -> None:
    for agent in running.plan.agents:
        if agent.endpoint.settings.get('layer_start') == 0:
            standin = agent.endpoint.standin.name
            running.control(standin, fail_rate=FAIL_RATE)


def _count_opened(running: deployment.Deployment) -> int:
    states = [running.read_state(one.name) for one in running.plan.agents]
    return sum(one['gate']['events'].get('opened', 0) for one in states)


def _send_requests(
    running: deployment.Deployment, count: int, label: str
) -> list[client.Answer]:
    entries = len(running.plan.entries)
    teams = list(running.keys)

    def ask_some(number: int) -> list[client.Answer]:
        caller = running.make_caller(number % entries, teams[number])
        answers = [
            caller.complete(
                f'Specials {label} {number} {index}',
                model=running.model,
                max_tokens=TOKENS,
            )
            for index in range(count // CALLERS)
        ]
        caller.close()
        return answers

    with futures.ThreadPoolExecutor(CALLERS) as pool:
        found = list(pool.map(ask_some, range(CALLERS)))
    return [answer for answers in found for answer in answers]


def _measure(ratio: float) -> _Measurement:
    example = launcher.EXAMPLE
    blueprint = blueprints.load_blueprint(example)
    rules = operators.load_rules(example.parent / blueprint.rules)
    for rule in rules['rules']:
        rule['then'].pop('rate', None)
        rule['then'].pop('concurrency', None)
    extras = {'entry': {'limits': {'retry_ratio': ratio}}}
    small = blueprints.shrink(blueprint)
    with tempfile.TemporaryDirectory(prefix='dunlintide-') as folder:
        with launcher.run(
            small, rules, pathlib.Path(folder), extras=extras
        ) as running:
            _fail_sessions(running)
            _send_requests(running, WARM_UP, 'first')
            before = _count_opened(running)
            answers = _send_requests(running, REQUESTS, 'then')
            opened = _count_opened(running) - before
    counts = collections.Counter(
        f'{one.outcome} {one.code}'.strip() for one in answers
    )
    complete = sum(one.outcome == outcomes.Outcome.COMPLETE for one in answers)
    return _Measurement(
        opened / len(answers), complete / len(answers), dict(counts)
    )


def measure_amplification() -> Iterator[figures.Figure]:
    """Measure the added attempts and the success rate of retries."""
    bounded = _measure(budget.DEFAULT_RATIO)
    unbounded = _measure(UNBOUNDED_RATIO)
    note = (
        f'{REQUESTS} requests, {FAIL_RATE:.0%} of sessions fail at the head; '
        'baseline: retries without a budget'
    )
    yield figures.at_most(
        'retry.amplification',
        round(bounded.sent, 4),
        '1',
        AMPLIFICATION_BOUND,
        round(unbounded.sent, 4),
        f'{note}; outcomes {bounded.outcomes}, without {unbounded.outcomes}',
    )
    yield figures.plain(
        'retry.success',
        round(bounded.complete, 4),
        '1',
        round(unbounded.complete, 4),
        note,
    )


CASES = [measure_amplification]
