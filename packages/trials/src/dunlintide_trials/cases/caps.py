"""Policies for the cap on requests in flight, with and without KV pressure.

A deployment has one stand-in engine, which preempts the newest sessions
when its KV cache is full and recomputes them later, and callers that send
the next request as soon as one ends.
"""

import pathlib
import statistics
import tempfile
import threading
import time
from typing import Any, Iterator

import attrs

from dunlintide_core import settings
from dunlintide_trials import blueprints
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import launcher

__all__ = ['CASES']

MODEL = 'bench'
TEAM = 'bench'
LAYERS = 4
CALLERS = 40
TOKENS = 48
PROMPT_WORDS = 16
# A request grows to 64 positions, so ten requests fit in the small cache.
KV_CACHE_TOKENS = {'pressed': 640, 'ample': 100_000}
MAX_IN_FLIGHT = 64
STEP_SECONDS = 0.04
TOKEN_SECONDS = 0.0005
WARM_UP_SECONDS = 8.0
WINDOW_SECONDS = 10.0
DRAIN_SECONDS = 2.0
MIN_QUANTILE_ANSWERS = 2
# Minimum rate of the budget policy relative to the best policy.
MIN_RELATIVE_RATE = 0.9

_RULES = {
    'members': [{'name': TEAM, 'key_hashes': []}],
    'models': [{'name': MODEL, 'layers': LAYERS}],
    'rules': [{'name': 'all', 'when': {}, 'then': {'deadline_seconds': 60}}],
}


def _make_blueprint(kv_tokens: int) -> blueprints.Blueprint:
    stage = blueprints.Stage(
        layer_start=0,
        layer_end=LAYERS,
        replicas=1,
        tokens_per_second=CALLERS / STEP_SECONDS,
        step_seconds=STEP_SECONDS,
        token_seconds=TOKEN_SECONDS,
        max_in_flight=MAX_IN_FLIGHT,
        kv_tokens=kv_tokens,
        preempts=True,
    )
    return blueprints.Blueprint(
        name='caps',
        region='here',
        failure_domains=('east',),
        entries=1,
        rules='',
        pipelines=(blueprints.Pipeline(MODEL, LAYERS, (stage,)),),
        services=(),
    )


@attrs.frozen
class _Measurement:
    """Measurements of one policy in the window.

    :ivar rate: tokens/s that callers got
    :ivar first_token: 95th percentile of the time to the first token in
        seconds
    :ivar preempted: preemptions per second
    :ivar recomputed: recomputed positions per second
    :ivar failed: number of failed requests
    """

    rate: float
    first_token: float
    preempted: float
    recomputed: float
    failed: int


def _repeat(
    caller: client.Caller,
    number: int,
    answers: list[client.Answer],
    stopped: threading.Event,
) -> None:
    turn = 0
    while not stopped.is_set():
        turn += 1
        answer = client.Answer()
        answers.append(answer)
        words = (f'{number}{turn}{word}' for word in range(PROMPT_WORDS))
        caller.complete(
            ' '.join(words),
            model=MODEL,
            max_tokens=TOKENS,
            stream=True,
            answer=answer,
        )


def _measure_window(
    running: deployment.Deployment, answers: list[client.Answer]
) -> _Measurement:
    engine = running.plan.agents[0].endpoint.standin.name
    time.sleep(WARM_UP_SECONDS)
    before, start = running.control(engine), time.monotonic()
    time.sleep(WINDOW_SECONDS)
    after, end = running.control(engine), time.monotonic()
    received = list(answers)
    tokens = sum(
        start <= one < end for answer in received for one in answer.times
    )
    waits = [
        answer.times[0] - answer.started
        for answer in received
        if answer.times and start <= answer.times[0] < end
    ]
    if len(waits) < MIN_QUANTILE_ANSWERS:
        raise RuntimeError(
            f'{len(waits)} responses began in the window, at least '
            f'{MIN_QUANTILE_ANSWERS} needed'
        )
    return _Measurement(
        tokens / (end - start),
        statistics.quantiles(waits, n=20)[-1],
        (after['preempted'] - before['preempted']) / (end - start),
        (after['recomputed'] - before['recomputed']) / (end - start),
        sum(
            answer.ended > 0 and not answer.is_complete for answer in received
        ),
    )


def _measure(policy: str, kv_tokens: int) -> _Measurement:
    extras: dict[str, Any] = {'agent': {'cap': policy}}
    with tempfile.TemporaryDirectory(prefix='dunlintide-') as folder:
        with launcher.run(
            _make_blueprint(kv_tokens),
            _RULES,
            pathlib.Path(folder),
            extras=extras,
        ) as running:
            stopped = threading.Event()
            answers: list[client.Answer] = []
            threads = [
                threading.Thread(
                    target=_repeat,
                    args=(
                        running.make_caller(0, TEAM),
                        number,
                        answers,
                        stopped,
                    ),
                    daemon=True,
                )
                for number in range(CALLERS)
            ]
            for thread in threads:
                thread.start()
            try:
                return _measure_window(running, answers)
            finally:
                stopped.set()
                end = time.monotonic() + DRAIN_SECONDS
                for thread in threads:
                    thread.join(max(0.0, end - time.monotonic()))
                # A graceful stop would wait for the open streams.
                for role in (deployment.ENTRY, deployment.AGENT):
                    for process in running.list_processes(role):
                        process.kill()


def measure_compare() -> Iterator[figures.Figure]:
    """Compare the policies with a small and with an ample KV cache."""
    for load, kv_tokens in KV_CACHE_TOKENS.items():
        measurements = {
            policy: _measure(policy, kv_tokens)
            for policy in settings.CapPolicy
        }
        fixed = measurements[settings.CapPolicy.FIXED]
        best = max(one.rate for one in measurements.values())
        for policy, one in measurements.items():
            name = f'caps.compare.{load}.{policy}'
            note = (
                f'{CALLERS} callers, {kv_tokens} positions; '
                f'{one.preempted:.1f} preemptions/s, {one.recomputed:.0f} '
                f'positions/s run again, {one.failed} failed; '
                'baseline: fixed'
            )
            if policy is settings.CapPolicy.BUDGET:
                yield figures.at_least(
                    name,
                    one.rate,
                    'tokens/s',
                    MIN_RELATIVE_RATE * best,
                    fixed.rate,
                    note,
                )
            else:
                yield figures.plain(
                    name, one.rate, 'tokens/s', fixed.rate, note
                )
            yield figures.plain(
                f'{name}.first_token',
                one.first_token,
                's',
                fixed.first_token,
                note,
            )


CASES = [measure_compare]
