"""Baseline that drives the engines of a chain without dunlintide.

A single loop sends the same steps over HTTP to one engine after another,
with no process in between.
"""

import time
from typing import Iterable

import attrs
import urllib3

from dunlintide_trials import deployment

__all__ = ['Chain', 'Latencies']

_MS = 1000.0


@attrs.frozen
class Latencies:
    """Latencies of one request, in milliseconds.

    :ivar first: time to the first token
    :ivar between: mean time between tokens
    """

    first: float
    between: float

    @classmethod
    def from_token_times(
        cls, start: float, token_times: list[float]
    ) -> 'Latencies':
        """Compute the latencies from monotonic times.

        :param start: time of the request in seconds
        :param moments: time of each token in seconds
        """
        span = (token_times[-1] - token_times[0]) / (len(token_times) - 1)
        return cls((token_times[0] - start) * _MS, span * _MS)


class Chain:
    """Client that sends each step directly to the engines of a chain."""

    def __init__(self, urls: Iterable[str], prompt: str, tokens: int) -> None:
        """Set the request.

        :param urls: URLs of the engines in the order of their layers
        :param prompt: prompt of each request
        :param tokens: number of tokens that each request generates
        """
        self._urls = list(urls)
        self._prompt = prompt
        self._tokens = tokens
        self._http = urllib3.PoolManager(retries=False)

    @classmethod
    def from_first_engines(
        cls, running: deployment.Deployment, prompt: str, tokens: int
    ) -> 'Chain':
        """Build a chain from the first engine of each layer range."""
        found: dict[int, str] = {}
        for agent in running.plan.agents:
            endpoint = agent.endpoint
            if endpoint.kind == deployment.ENGINE:
                start = endpoint.settings['layer_start']
                found.setdefault(start, endpoint.standin.url)
        pipeline = running.plan.blueprint.pipelines[0]
        starts = sorted({stage.layer_start for stage in pipeline.stages})
        return cls((found[start] for start in starts), prompt, tokens)

    def _step(self, url: str, step: dict) -> dict:
        answer = self._http.request(
            'POST', f'{url}/v1/steps', json={'steps': [step]}
        )
        return answer.json()['results'][0]

    def _run_stages(self, session: str, position: int, span: dict) -> dict:
        """Run positions through all stages and return the next token.

        :param position: first position of the span
        :param span: prompt or tokens of the step
        """
        result = span
        for index, url in enumerate(self._urls):
            is_last = index == len(self._urls) - 1
            step = {
                'session': session,
                'epoch': 1,
                'member': 'bench',
                'position': position,
                'max_tokens': self._tokens,
                'prompt_tokens': len(self._prompt.split()),
                'last_stage': is_last,
            }
            result = self._step(url, step | span)
            span = {'activations': result.get('activations')}
        return result['token']

    def run(self, session: str) -> Latencies:
        """Run one request to its end.

        :param session: unique id of its session at the engines
        """
        start = time.monotonic()
        token_times = []
        position = 0
        span: dict = {'prompt': self._prompt}
        size = len(self._prompt.split())
        for _ in range(self._tokens):
            token = self._run_stages(session, position, span)
            token_times.append(time.monotonic())
            position += size
            size = 1
            span = {'tokens': [token['id']]}
        for url in self._urls:
            self._http.request('DELETE', f'{url}/v1/sessions/{session}')
        return Latencies.from_token_times(start, token_times)
