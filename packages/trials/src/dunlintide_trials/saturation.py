"""Deployment of real processes under many streams of completions.

Engines are stand-ins whose steps sleep. A full batch of ``BATCH`` tokens
delivers the declared capacity, and ``FIXED_FRACTION`` of its time is
independent of the batch size. The capacities are low enough that the
machine is not the bottleneck.
"""

import collections
import contextlib
import pathlib
import random
import tempfile
import threading
import time
from typing import Any, Iterable, Iterator

import attrs

from dunlintide_core import plan as plans
from dunlintide_trials import blueprints
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import launcher

__all__ = [
    'FAST',
    'MEAN_TOKENS',
    'TEAM',
    'MODEL',
    'Streams',
    'compute_bound',
    'list_stages',
    'run',
]

BATCH = 16
FIXED_FRACTION = 0.25
# Tokens/s of an endpoint by kind of accelerator. The sums over each of the
# three layer ranges are nearly equal.
KINDS = {'k1': 600, 'k2': 400, 'k3': 250, 'k4': 150, 'k5': 90, 'k6': 50}
# A kind so fast that the machine's work outweighs the engine's sleep.
FAST = 'fast'
KINDS_WITH_FAST = KINDS | {FAST: 2000}
RANGES = (
    ('k1', 'k3', 'k5', 'k6'),
    ('k2', 'k2', 'k4', 'k6'),
    ('k1', 'k4', 'k4', 'k5'),
)
LAYERS_EACH = 8
LAYERS = LAYERS_EACH * len(RANGES)
MODEL = 'bench'
TEAM = 'bench'
TOKENS = (16, 96)
MEAN_TOKENS = sum(TOKENS) / 2
# Streams over a slow chain need up to a minute and are abandoned after this.
DRAIN_SECONDS = 5.0
_PAUSE_SECONDS = 0.2


def _make_stage(number: int, kind: str) -> blueprints.Stage:
    capacity = KINDS_WITH_FAST[kind]
    return blueprints.Stage(
        layer_start=number * LAYERS_EACH,
        layer_end=(number + 1) * LAYERS_EACH,
        replicas=1,
        accelerator=kind,
        tokens_per_second=capacity,
        step_seconds=FIXED_FRACTION * BATCH / capacity,
        token_seconds=(1.0 - FIXED_FRACTION) / capacity,
        step_tokens=BATCH,
    )


def _make_blueprint(
    entries: int, ranges: Iterable[Iterable[str]]
) -> blueprints.Blueprint:
    stages = tuple(
        _make_stage(number, kind)
        for number, kinds in enumerate(ranges)
        for kind in kinds
    )
    return blueprints.Blueprint(
        name='saturation',
        region='here',
        failure_domains=('east', 'west', 'north'),
        entries=entries,
        rules='',
        pipelines=(blueprints.Pipeline(MODEL, LAYERS, stages),),
        services=(),
    )


_RULES = {
    'members': [{'name': TEAM, 'key_hashes': []}],
    'models': [{'name': MODEL, 'layers': LAYERS}],
    'rules': [{'name': 'all', 'when': {}, 'then': {'deadline_seconds': 120}}],
}


@contextlib.contextmanager
def run(
    routings: Iterable[str],
    ranges: Iterable[Iterable[str]] = RANGES,
) -> Iterator[deployment.Deployment]:
    """Start the deployment and stop it on leaving the context.

    :param routings: the ``routing`` setting of each entry
    :param ranges: kinds of the endpoints of each layer range
    """
    routings = tuple(routings)
    with tempfile.TemporaryDirectory(prefix='dunlintide-') as folder:
        with launcher.run(
            _make_blueprint(len(routings), ranges),
            _RULES,
            pathlib.Path(folder),
            routings=routings,
        ) as running:
            try:
                yield running
            finally:
                # A graceful stop would wait for the abandoned streams.
                for role in (deployment.ENTRY, deployment.AGENT):
                    for process in running.list_processes(role):
                        process.kill()


def list_stages(running: deployment.Deployment) -> list[plans.Stage]:
    """List the endpoints as stages for the planner."""
    return [
        plans.Stage(
            agent.name,
            agent.endpoint.settings['layer_start'],
            agent.endpoint.settings['layer_end'],
            agent.endpoint.settings['tokens_per_second'],
            agent.failure_domain,
        )
        for agent in running.plan.agents
    ]


def compute_bound(plan_stages: Iterable[plans.Stage]) -> float:
    """Return the maximum tokens/s of all endpoints together."""
    return plans.make_plan(plan_stages, LAYERS).bound


@attrs.define
class Streams:
    """Load of streamed completions by a fixed number of callers or a rate.

    :ivar running: the deployment
    :ivar entries: numbers of the entries, used in turn
    :ivar count: number of callers that send the next request as soon as
        one ends
    :ivar arrivals: requests per second with Poisson arrivals
    :ivar answers: finished and current responses in the order of their
        requests
    """

    running: deployment.Deployment
    entries: tuple[int, ...]
    count: int = 0
    arrivals: float = 0.0
    answers: list[client.Answer] = attrs.field(factory=list)
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)

    def _send_request(
        self, caller: client.Caller, rng: random.Random, name: str
    ) -> None:
        answer = client.Answer()
        self.answers.append(answer)
        caller.complete(
            # A prompt of one token, as the bound covers decoding only.
            name,
            model=MODEL,
            max_tokens=rng.randint(*TOKENS),
            stream=True,
            answer=answer,
        )
        if answer.error is not None:
            self._stopped.wait(_PAUSE_SECONDS)

    def _run_caller(self, number: int) -> None:
        rng = random.Random(number)
        caller = self._make_caller(number)
        turn = 0
        while not self._stopped.is_set():
            turn += 1
            self._send_request(caller, rng, f'{number}-{turn}')
        caller.close()

    def _make_caller(self, number: int) -> client.Caller:
        entry = self.entries[number % len(self.entries)]
        return self.running.make_caller(entry, TEAM)

    def _run_arrivals(self) -> None:
        rng = random.Random(0)
        callers = [self._make_caller(one) for one in self.entries]
        number = 0
        while not self._stopped.wait(rng.expovariate(self.arrivals)):
            number += 1
            caller = callers[number % len(callers)]
            request_rng = random.Random(number)
            self._start(
                self._send_request, caller, request_rng, f'arrived-{number}'
            )

    def _start(self, target, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self._threads.append(thread)

    def __enter__(self) -> 'Streams':
        for number in range(self.count):
            self._start(self._run_caller, number)
        if self.arrivals:
            self._start(self._run_arrivals)
        return self

    def __exit__(self, *details: Any) -> None:
        """Start no new streams and wait for a short time for their ends."""
        self._stopped.set()
        end = time.monotonic() + DRAIN_SECONDS
        for thread in list(self._threads):
            thread.join(max(0.0, end - time.monotonic()))

    def measure(self, seconds: float) -> float:
        """Measure the tokens/s that arrive in the next seconds."""
        start = time.monotonic()
        time.sleep(seconds)
        return self.rate(start, start + seconds)

    def rate(self, start: float, end: float) -> float:
        """Return the tokens/s that arrived in a past window.

        :param start: monotonic time in seconds
        :param end: monotonic time in seconds, not included
        """
        tokens = sum(
            start <= moment < end
            for answer in list(self.answers)
            for moment in answer.times
        )
        return tokens / (end - start)

    def count_failed(self) -> collections.Counter[tuple[str, str]]:
        """Count the incomplete responses by outcome and error code."""
        return collections.Counter(
            (str(answer.outcome), answer.code)
            for answer in self.answers
            if answer.ended > 0.0 and not answer.is_complete
        )
