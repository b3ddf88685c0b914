"""Effect on a team of another team that floods all entries.

The deployment of real processes has two stages, whose throughput is
limited by the modelled step times of the stand-in engines.
"""

import contextlib
import pathlib
import random
import secrets
import statistics
import tempfile
import threading
import time
from typing import Any, Iterator

import attrs

from dunlintide_trials import blueprints
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import floods
from dunlintide_trials import launcher
from dunlintide_trials import operators

__all__ = ['CASES']

VICTIM = 'victim'
FLOODER = 'flooder'
VICTIM_SHARE = 0.25
FLOOD_FACTOR = 20
MODEL = 'bench'
SLOTS = 16
STAGES = 2
LAYERS_EACH = 4
STEP_SECONDS = 0.06
TOKEN_SECONDS = 0.0005
TOKENS = 8
ENTRIES = 2
ENTRY_THREADS = 64
CONNECTIONS = 160
KEYS = 16
SATURATED_SECONDS = 8.0
ALONE_SECONDS = 15.0
FLOOD_SECONDS = 20.0
WARM_UP_SECONDS = 4.0
DEADLINE_SECONDS = 10
FIRST_TOKEN_BOUND = 1.3
THROUGHPUT_BOUND = 0.95
_MARGIN_SECONDS = 3.0

# Tokens/s of full batches; the stages run in parallel on half the slots.
_BATCH = SLOTS // STAGES
CAPACITY = _BATCH / (STEP_SECONDS + _BATCH * TOKEN_SECONDS)

_KINDS: dict[str, dict[str, Any]] = {
    'huge_prompts': {'prompt_words': 1500},
    'claims': {'claims': True},
    'abandoned': {'read_seconds': 0.1},
}


def _make_stage(number: int) -> blueprints.Stage:
    return blueprints.Stage(
        layer_start=number * LAYERS_EACH,
        layer_end=(number + 1) * LAYERS_EACH,
        replicas=1,
        tokens_per_second=CAPACITY,
        step_seconds=STEP_SECONDS,
        token_seconds=TOKEN_SECONDS,
        max_in_flight=SLOTS,
    )


_BLUEPRINT = blueprints.Blueprint(
    name='fairness',
    region='here',
    failure_domains=('east', 'west'),
    entries=ENTRIES,
    rules='',
    pipelines=(
        blueprints.Pipeline(
            MODEL,
            STAGES * LAYERS_EACH,
            tuple(_make_stage(number) for number in range(STAGES)),
        ),
    ),
    services=(),
)


def _make_rules(keys: list[str]) -> dict[str, Any]:
    hashes = [operators.hash_key(key) for key in keys]
    terms = {'deadline_seconds': DEADLINE_SECONDS}
    weights = {VICTIM: VICTIM_SHARE, FLOODER: 1.0 - VICTIM_SHARE}
    return {
        'members': [
            {'name': VICTIM, 'key_hashes': []},
            {'name': FLOODER, 'key_hashes': hashes},
        ],
        'models': [{'name': MODEL, 'layers': STAGES * LAYERS_EACH}],
        'rules': [
            {
                'name': team,
                'when': {'member': team},
                'then': terms | {'weight': weight},
            }
            for team, weight in weights.items()
        ],
    }


@attrs.define
class _Victim:
    """A team that sends requests at its fair share to all entries.

    :ivar running: the deployment
    :ivar share: requested tokens per second
    """

    running: deployment.Deployment
    share: float

    def run(self, seconds: float) -> list[client.Answer]:
        """Send requests for some seconds.

        :returns: responses in the order of the requests
        """
        rng = random.Random(0)
        callers = [
            self.running.make_caller(entry, VICTIM) for entry in range(ENTRIES)
        ]
        pause = TOKENS / self.share
        end = time.monotonic() + seconds
        answers: list[client.Answer] = []
        threads = []
        while time.monotonic() < end:
            answer = client.Answer()
            answers.append(answer)
            thread = threading.Thread(
                target=callers[len(answers) % ENTRIES].complete,
                args=(f'steady {len(answers)} of the victim',),
                kwargs={
                    'model': MODEL,
                    'max_tokens': TOKENS,
                    'stream': True,
                    'answer': answer,
                },
                daemon=True,
            )
            thread.start()
            threads.append(thread)
            time.sleep(pause * rng.uniform(0.8, 1.2))
        for thread in threads:
            thread.join(DEADLINE_SECONDS + _MARGIN_SECONDS)
        return answers


@attrs.frozen
class _Measurement:
    """Measurements of the victim in a window.

    :ivar first_token: 95th percentile of the time to the first token in
        seconds; a response without a token counts as the deadline
    :ivar median: median of the time to the first token in seconds
    :ivar served: fraction of the requests with a complete response
    :ivar asked: number of requests
    :ivar flood: responses to the flood by error code or outcome
    :ivar rate: tokens per second of all teams
    """

    first_token: float
    median: float
    served: float
    asked: int
    flood: dict[str, int]
    rate: float


def _summarize(
    answers: list[client.Answer], flood: dict[str, int], rate: float
) -> _Measurement:
    waits = [
        (
            answer.times[0] - answer.started
            if answer.times
            else float(DEADLINE_SECONDS)
        )
        for answer in answers
    ]
    return _Measurement(
        statistics.quantiles(waits, n=20)[-1],
        statistics.median(waits),
        sum(answer.is_complete for answer in answers) / len(answers),
        len(answers),
        flood,
        rate,
    )


@contextlib.contextmanager
def _run(queueing: str, keys: list[str]) -> Iterator[deployment.Deployment]:
    extras = {
        'agent': {'queueing': queueing},
        'entry': {'limits': {'threads': ENTRY_THREADS}},
    }
    with tempfile.TemporaryDirectory(prefix='dunlintide-') as folder:
        with launcher.run(
            _BLUEPRINT, _make_rules(keys), pathlib.Path(folder), extras=extras
        ) as running:
            yield running


def _plan_flood(
    running: deployment.Deployment,
    keys: list[str],
    seconds: float,
    **overrides: Any,
) -> floods.Plan:
    plan = floods.Plan(
        urls=tuple(
            running.plan.find_url(entry) for entry in running.plan.entries
        ),
        keys=tuple(keys),
        model=MODEL,
        connections=CONNECTIONS,
        rate=FLOOD_FACTOR * (1.0 - VICTIM_SHARE) * CAPACITY / TOKENS,
        seconds=seconds,
        max_tokens=TOKENS,
    )
    return attrs.evolve(plan, **overrides)


def _count_finished(running: deployment.Deployment) -> int:
    head = running.plan.agents[0].name
    return running.read_state(head)['gate']['in_flight']['finished']


def _measure_capacity(
    running: deployment.Deployment, keys: list[str]
) -> float:
    """Measure the tokens per second of a flood without other load."""
    seconds = WARM_UP_SECONDS + SATURATED_SECONDS
    with floods.Flood.start(_plan_flood(running, keys, seconds)):
        time.sleep(WARM_UP_SECONDS)
        before, began = _count_finished(running), time.monotonic()
        time.sleep(SATURATED_SECONDS - 1.0)
        done = _count_finished(running) - before
        return done * TOKENS / (time.monotonic() - began)


def _measure_flooded(
    running: deployment.Deployment,
    keys: list[str],
    share: float,
    **overrides: Any,
) -> _Measurement:
    seconds = WARM_UP_SECONDS + FLOOD_SECONDS
    plan = _plan_flood(running, keys, seconds, **overrides)
    with floods.Flood.start(plan) as flood:
        time.sleep(WARM_UP_SECONDS)
        before, began = _count_finished(running), time.monotonic()
        answers = _Victim(running, share).run(FLOOD_SECONDS - _MARGIN_SECONDS)
        done = _count_finished(running) - before
        rate = done * TOKENS / (time.monotonic() - began)
    return _summarize(answers, flood.counts, rate)


def measure_flood() -> Iterator[figures.Figure]:
    """Measure a team while another sends 20 times its own share."""
    keys = [secrets.token_urlsafe(16) for _ in range(KEYS)]
    with _run('fair', keys) as running:
        capacity = _measure_capacity(running, keys)
        share = VICTIM_SHARE * capacity
        victim = _Victim(running, share)
        victim.run(WARM_UP_SECONDS)
        alone = _summarize(victim.run(ALONE_SECONDS), {}, 0.0)
        flooded = _measure_flooded(running, keys, share)
    with _run('fifo', keys) as running:
        fifo = _measure_flooded(running, keys, share)
    note = (
        f'{alone.first_token * 1000:.0f} ms alone, {flooded.asked} requests; '
        f'flood over {ENTRIES} entries, {KEYS} keys, {CONNECTIONS} '
        f'connections: {flooded.flood}; '
        'baseline: first come, first served at the agent'
    )
    yield figures.at_most(
        'fairness.flood.first_token',
        round(flooded.first_token / alone.first_token, 3),
        '1',
        FIRST_TOKEN_BOUND,
        round(fifo.first_token / alone.first_token, 3),
        note,
    )
    yield figures.plain(
        'fairness.flood.first_token.median',
        round(flooded.median / alone.median, 3),
        '1',
        round(fifo.median / alone.median, 3),
        f'{alone.median * 1000:.0f} ms alone',
    )
    yield figures.at_least(
        'fairness.flood.throughput',
        round(flooded.served, 3),
        '1',
        THROUGHPUT_BOUND,
        round(fifo.served, 3),
        'complete answers over requests at its share of '
        f'{share:.0f} tokens/s; same baseline',
    )
    yield figures.plain(
        'fairness.flood.used',
        round(flooded.rate / capacity, 3),
        '1',
        round(fifo.rate / capacity, 3),
        f'tokens/s of both over the {capacity:.0f} of a flood alone, which '
        f'are {capacity / CAPACITY:.2f} of full batches',
    )


def measure_kinds() -> Iterator[figures.Figure]:
    """Measure a team during floods of other kinds of requests."""
    keys = [secrets.token_urlsafe(16) for _ in range(KEYS)]
    with _run('fair', keys) as running:
        share = VICTIM_SHARE * _measure_capacity(running, keys)
        alone = _summarize(_Victim(running, share).run(ALONE_SECONDS), {}, 0.0)
        for name, overrides in _KINDS.items():
            seen = _measure_flooded(running, keys, share, **overrides)
            note = f'{seen.asked} requests; flood: {seen.flood}'
            yield figures.at_least(
                f'fairness.kinds.{name}.throughput',
                round(seen.served, 3),
                '1',
                THROUGHPUT_BOUND,
                note=note,
            )
            yield figures.plain(
                f'fairness.kinds.{name}.first_token',
                round(seen.first_token / alone.first_token, 3),
                '1',
                note=f'p95 over {alone.first_token * 1000:.0f} ms alone',
            )


CASES = [measure_flood, measure_kinds]
