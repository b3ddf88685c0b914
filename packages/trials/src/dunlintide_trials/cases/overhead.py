"""What dunlintide adds to a request, against the same chain driven directly.

The baseline sends the same steps to the same engines over HTTP from one
loop, one after the other, with no process in between.
"""

import statistics
import time
from typing import Iterator

import attrs
import urllib3

from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import launcher

__all__ = ['CASES']

REQUESTS = 40
WARMUP = 5
TOKENS = 32
PROMPT = 'Write the dinner specials of a diner on the interstate'
# Bounds on what is added, as shares of the baseline: a busy machine slows
# both, so the ratio holds where a time would not.
FIRST_TOKEN_SHARE = 2.0
INTER_TOKEN_SHARE = 1.0
_MS = 1000.0


@attrs.frozen
class _Times:
    """Times of one request, in milliseconds."""

    first: float
    between: float

    @classmethod
    def from_moments(cls, start: float, moments: list[float]) -> '_Times':
        """Compute them from when the request and its tokens came."""
        span = (moments[-1] - moments[0]) / (len(moments) - 1)
        return cls((moments[0] - start) * _MS, span * _MS)


class _Chain:
    """Drives the engines of a chain without dunlintide."""

    def __init__(self, running: deployment.Deployment) -> None:
        pipeline = running.plan.blueprint.pipelines[0]
        self._urls = [
            self._find_url(running, stage.layer_start)
            for stage in pipeline.stages
        ]
        self._http = urllib3.PoolManager(retries=False)

    @staticmethod
    def _find_url(running: deployment.Deployment, layer_start: int) -> str:
        for agent in running.plan.agents:
            settings = agent.endpoint.settings
            if settings.get('layer_start') == layer_start:
                return agent.endpoint.standin.url
        raise LookupError(f'no engine begins at layer {layer_start}')

    def _step(self, url: str, step: dict) -> dict:
        answer = self._http.request(
            'POST', f'{url}/v1/steps', json={'steps': [step]}
        )
        return answer.json()['results'][0]

    def _run_stages(self, session: str, position: int, span: dict) -> dict:
        """Run a span through all stages; returns the token."""
        result = span
        for index, url in enumerate(self._urls):
            is_last = index == len(self._urls) - 1
            step = {
                'session': session,
                'epoch': 1,
                'member': 'bench',
                'position': position,
                'max_tokens': TOKENS,
                'prompt_tokens': len(PROMPT.split()),
                'last_stage': is_last,
            }
            result = self._step(url, step | span)
            span = {'activations': result.get('activations')}
        return result['token']

    def run(self, session: str) -> _Times:
        """Run one request to its end."""
        start = time.monotonic()
        moments = []
        position = 0
        span: dict = {'prompt': PROMPT}
        size = len(PROMPT.split())
        for _ in range(TOKENS):
            token = self._run_stages(session, position, span)
            moments.append(time.monotonic())
            position += size
            size = 1
            span = {'tokens': [token['id']]}
        for url in self._urls:
            self._http.request('DELETE', f'{url}/v1/sessions/{session}')
        return _Times.from_moments(start, moments)


def _ask(caller: client.Caller, model: str) -> _Times:
    answer = caller.complete(
        PROMPT, model=model, max_tokens=TOKENS, stream=True
    )
    if not answer.is_complete:
        raise RuntimeError(f'{answer.outcome}: {answer.error}')
    return _Times.from_moments(answer.started, answer.times)


def _compare(running: deployment.Deployment) -> tuple[list, list]:
    """Take turns, so that both meet the same noise."""
    chain = _Chain(running)
    caller = running.make_caller(0, next(iter(running.keys)))
    direct, routed = [], []
    for number in range(WARMUP + REQUESTS):
        direct.append(chain.run(f'direct-{number}'))
        routed.append(_ask(caller, running.model))
    caller.close()
    return direct[WARMUP:], routed[WARMUP:]


def measure_first_token() -> Iterator[figures.Figure]:
    """Measure what is added to the time to the first token."""
    with launcher.run_small() as running:
        direct, routed = _compare(running)
    before = statistics.median(one.first for one in direct)
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
    """Measure what is added to the time between two tokens."""
    with launcher.run_small() as running:
        direct, routed = _compare(running)
    before = statistics.median(one.between for one in direct)
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
