"""Real processes under many streams, against the bound of a plan.

Engines are stand-ins whose steps sleep, so that the declared capacity is
what a full batch delivers: up to ``BATCH`` tokens a step, a quarter of
whose time is fixed. The capacities keep the machine far from its limit.
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
    'find_bound',
    'list_stops',
    'run',
]

BATCH = 16
FIXED_PART = 0.25
# Tokens/s of each endpoint, by kind of accelerator; the sums of the three
# layer ranges are close to each other.
KINDS = {'k1': 600, 'k2': 400, 'k3': 250, 'k4': 150, 'k5': 90, 'k6': 50}
# One that leaves the machine more to do than the engine's sleep.
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
# A slow chain takes a minute for its last answers; they are given up.
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
        step_seconds=FIXED_PART * BATCH / capacity,
        token_seconds=(1.0 - FIXED_PART) / capacity,
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
    """Start the deployment, with an entry for each routing.

    :param ranges: kinds of the endpoints that hold each third of the
        layers
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
                # Streams that were given up would hold up a planned stop.
                for role in (deployment.ENTRY, deployment.AGENT):
                    for process in running.list_processes(role):
                        process.kill()


def list_stops(running: deployment.Deployment) -> list[plans.Stage]:
    """Give the endpoints as a planner sees them."""
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


def find_bound(stops: Iterable[plans.Stage]) -> float:
    """Give the tokens/s that endpoints can carry together."""
    return plans.make_plan(stops, LAYERS).bound


@attrs.define
class Streams:
    """Callers that stream completions: a fixed number, or by arrivals.

    :ivar entries: numbers of the entries that they ask in turn
    :ivar count: callers that ask again once they are answered
    :ivar arrivals: requests a second of Poisson arrivals
    :ivar answers: what they got or are getting, in the order of starts
    """

    running: deployment.Deployment
    entries: tuple[int, ...]
    count: int = 0
    arrivals: float = 0.0
    answers: list[client.Answer] = attrs.field(factory=list)
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _threads: list[threading.Thread] = attrs.field(factory=list)

    def _ask(
        self, caller: client.Caller, rng: random.Random, name: str
    ) -> None:
        answer = client.Answer()
        self.answers.append(answer)
        caller.complete(
            # One position: the bound is for decoding only.
            name,
            model=MODEL,
            max_tokens=rng.randint(*TOKENS),
            stream=True,
            answer=answer,
        )
        if answer.error is not None:
            self._stopped.wait(_PAUSE_SECONDS)

    def _repeat(self, number: int) -> None:
        rng = random.Random(number)
        caller = self._make_caller(number)
        turn = 0
        while not self._stopped.is_set():
            turn += 1
            self._ask(caller, rng, f'{number}-{turn}')
        caller.close()

    def _make_caller(self, number: int) -> client.Caller:
        entry = self.entries[number % len(self.entries)]
        return self.running.make_caller(entry, TEAM)

    def _arrive(self) -> None:
        rng = random.Random(0)
        callers = [self._make_caller(one) for one in self.entries]
        number = 0
        while not self._stopped.wait(rng.expovariate(self.arrivals)):
            number += 1
            caller = callers[number % len(callers)]
            own = random.Random(number)
            self._start(self._ask, caller, own, f'arrived-{number}')

    def _start(self, target, *arguments) -> None:
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        thread.start()
        self._threads.append(thread)

    def __enter__(self) -> 'Streams':
        for number in range(self.count):
            self._start(self._repeat, number)
        if self.arrivals:
            self._start(self._arrive)
        return self

    def __exit__(self, *details: Any) -> None:
        """Begin no new stream and wait a little for the ends."""
        self._stopped.set()
        end = time.monotonic() + DRAIN_SECONDS
        for thread in list(self._threads):
            thread.join(max(0.0, end - time.monotonic()))

    def measure(self, seconds: float) -> float:
        """Give the tokens/s that come in the next seconds."""
        start = time.monotonic()
        time.sleep(seconds)
        return self.rate(start, start + seconds)

    def rate(self, start: float, end: float) -> float:
        """Give the tokens/s that came in a window of the past.

        :param start: monotonic time in seconds
        :param end: the same
        """
        tokens = sum(
            start <= moment < end
            for answer in list(self.answers)
            for moment in answer.times
        )
        return tokens / (end - start)

    def count_failed(self) -> collections.Counter[tuple[str, str]]:
        """Count answers that ended and were not complete, by why."""
        return collections.Counter(
            (str(answer.outcome), answer.code)
            for answer in self.answers
            if answer.ended > 0.0 and not answer.is_complete
        )
