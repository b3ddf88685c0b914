"""Effect of the loss of a stage on the streams through it.

A round opens streams through all entries, kills the agent or the engine of
one middle stage when each stream has some tokens, and measures the gap in
the streams through that stage. The records of the engines show which steps
were recomputed.
"""

from concurrent import futures
import contextlib
import pathlib
import statistics
import tempfile
import time
from typing import Iterable, Iterator

import attrs

from dunlintide_trials import blueprints
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import launcher
from dunlintide_trials import operators
from dunlintide_trials import processes
from dunlintide_trials import records

__all__ = ['AGENT', 'ENGINE', 'StageLoss', 'merge', 'kill_stage', 'run']

AGENT = 'agent'
ENGINE = 'engine'
# With fewer entries one of them would use up its ten initial retries.
ENTRIES = 8
STREAMS = 16
TOKENS_BEFORE = 64
TOKENS = 160
# Three stages take 24 ms per token, close to the target of 26 ms.
STEP_SECONDS = 0.008
_WAIT_SECONDS = 60.0
_EXAMPLE = launcher.EXAMPLE


@attrs.frozen
class StageLoss:
    """Effect of the loss of a stage on the streams through it.

    :ivar seconds: time from the kill to the next token of each stream
    :ivar recomputed: layer steps of each stream beyond those of
        a single run
    :ivar wrong: number of streams with an incomplete or wrong response
    :ivar kept: mean bytes of activations for a stream at each agent that
        kept some
    :ivar denied: retries that the retry budgets of the entries denied
    """

    seconds: list[float]
    recomputed: list[int]
    wrong: int
    kept: list[float]
    denied: int = 0

    def compute_percentile(self, part: float) -> float:
        """Return a percentile of the seconds.

        :param part: percentile as a fraction
        """
        if len(self.seconds) < 2:
            return statistics.fmean(self.seconds)
        cuts = statistics.quantiles(self.seconds, n=100, method='inclusive')
        return cuts[round(part * 100) - 1]


def merge(losses: Iterable[StageLoss]) -> StageLoss:
    """Combine the losses of several rounds."""
    losses = list(losses)
    return StageLoss(
        [second for loss in losses for second in loss.seconds],
        [steps for loss in losses for steps in loss.recomputed],
        sum(loss.wrong for loss in losses),
        [size for loss in losses for size in loss.kept],
        sum(loss.denied for loss in losses),
    )


@contextlib.contextmanager
def run(recovery: str) -> Iterator[deployment.Deployment]:
    """Start a deployment of three stages with two engines each.

    :param recovery: the ``recovery`` setting of the entries
    """
    blueprint = blueprints.shrink(blueprints.load_blueprint(_EXAMPLE))
    pipeline = blueprint.pipelines[0]
    stages = tuple(
        attrs.evolve(stage, step_seconds=STEP_SECONDS)
        for stage in pipeline.stages
    )
    blueprint = attrs.evolve(
        blueprint,
        entries=ENTRIES,
        pipelines=(attrs.evolve(pipeline, stages=stages),),
    )
    rules = operators.load_rules(_EXAMPLE.parent / blueprint.rules)
    for rule in rules['rules']:
        # A new entry has only a small share of a team's limit.
        rule['then'].pop('concurrency', None)
    with tempfile.TemporaryDirectory(prefix='dunlintide-') as folder:
        path = pathlib.Path(folder)
        extras = {deployment.ENTRY: {'recovery': recovery}}
        with launcher.run(blueprint, rules, path, extras=extras) as running:
            yield running


def _make_prompt(name: str, number: int, words: int) -> str:
    # A unique first word prevents that streams share a prefix.
    return ' '.join([f'{name}-{number}'] + ['special'] * (words - 1))


def _find_started(
    running: deployment.Deployment, endpoint: str, positions: int
) -> set[str]:
    return {
        run['request_id']
        for run in running.read_endpoint_runs(endpoint)
        if run['positions'] >= positions
    }


def _wait_tokens(
    running: deployment.Deployment, middle: list[str], positions: int, old: set
) -> None:
    def have_tokens() -> bool:
        found = set()
        for endpoint in middle:
            found |= _find_started(running, endpoint, positions)
        return len(found - old) >= STREAMS

    if not processes.wait_for(have_tokens, _WAIT_SECONDS, pause=0.005):
        raise RuntimeError(
            f'fewer than {STREAMS} streams reached {positions} positions '
            f'within {_WAIT_SECONDS:.0f} s'
        )


def _compute_delay(answer: client.Answer, killed: float) -> float:
    """Return the seconds from the kill to the token after the longest gap.

    The first token after the kill may have passed the stage before it.
    """
    gaps = [
        (after - before, after)
        for before, after in zip(answer.times, answer.times[1:])
        if after > killed
    ]
    return max(gaps)[1] - killed


def _count_recomputed(
    found: list[dict], request_id: str, words: int, layers: int
) -> int:
    ran = sum(
        run['layer_steps'] for run in found if run['request_id'] == request_id
    )
    return ran - (words + TOKENS - 1) * layers


def _read_kept(running: deployment.Deployment) -> list[float]:
    """Read the mean activation bytes per session of each agent with any."""
    found = []
    for agent in running.plan.agents:
        if agent.endpoint.kind == ENGINE:
            kept = running.read_state(agent.name)['kept_activations']
            if kept['sessions']:
                found.append(kept['bytes'] / kept['sessions'])
    return found


def _count_denied(running: deployment.Deployment) -> int:
    return sum(
        running.read_state(entry.name)['retries']['denied']
        for entry in running.plan.entries
    )


def _read_runs(
    running: deployment.Deployment, engine: str, killed_runs: list[dict] | None
) -> list[dict]:
    """Read the runs of all engines.

    :param engine: engine that may have been killed
    :param killed_runs: runs of that engine from before the kill, None when it
        still runs
    """
    if killed_runs is None:
        return running.read_runs(ENGINE)
    names = [
        agent.endpoint.standin.name
        for agent in running.plan.agents
        if agent.endpoint.kind == ENGINE
    ]
    found = list(killed_runs)
    for name in names:
        if name != engine:
            found += running.read_endpoint_runs(name)
    return found


def kill_stage(
    running: deployment.Deployment, kind: str, name: str, words: int
) -> StageLoss:
    """Kill the agent or engine of one middle stage during streams.

    The killed process is restarted at the end.

    :param kind: process to kill, ``AGENT`` or ``ENGINE``
    :param name: unique start of each prompt
    :param words: tokens of each prompt
    """
    teams = list(running.keys)
    stage = running.plan.blueprint.pipelines[0].stages[1]
    agents = [
        agent
        for agent in running.plan.agents
        if agent.endpoint.settings.get('layer_start') == stage.layer_start
    ]
    middle = [agent.endpoint.standin.name for agent in agents]
    old = {run['request_id'] for run in running.read_runs(ENGINE)}
    prompts = [_make_prompt(name, n, words) for n in range(STREAMS)]
    with futures.ThreadPoolExecutor(STREAMS) as pool:
        waiting = [
            pool.submit(
                running.make_caller(
                    number % ENTRIES, teams[number % len(teams)]
                ).complete,
                prompt,
                model=running.model,
                max_tokens=TOKENS,
                stream=True,
            )
            for number, prompt in enumerate(prompts)
        ]
        _wait_tokens(running, middle, words + TOKENS_BEFORE, old)
        counts = [len(_find_started(running, e, 1) - old) for e in middle]
        affected = counts.index(max(counts))
        engine = middle[affected]
        killed_name = agents[affected].name if kind == AGENT else engine
        killed_runs = running.read_endpoint_runs(engine)
        kept = _read_kept(running)
        denied = _count_denied(running)
        killed = time.monotonic()
        running.started[killed_name].kill()
        answers = [one.result() for one in waiting]
    found = _read_runs(
        running, engine, killed_runs if kind == ENGINE else None
    )
    running.restart(killed_name)
    observed = (killed_runs, found, old, killed)
    loss = _summarize(running, answers, prompts, observed, words)
    denied = _count_denied(running) - denied
    return attrs.evolve(loss, kept=kept, denied=denied)


def _summarize(
    running: deployment.Deployment,
    answers: list[client.Answer],
    prompts: list[str],
    observed: tuple[list[dict], list[dict], set[str], float],
    words: int,
) -> StageLoss:
    killed_runs, found, old, killed = observed
    affected_ids = {run['request_id'] for run in killed_runs} - old
    wrong = 0
    for answer, prompt in zip(answers, prompts):
        request = records.SentRequest('', answer, prompt, TOKENS)
        errors = records.check_text(
            request, model=running.model, layers=running.layers
        )
        wrong += bool(errors) or not answer.is_complete
    affected = [
        one
        for one in answers
        if one.request_id in affected_ids and one.is_complete
    ]
    return StageLoss(
        [_compute_delay(one, killed) for one in affected],
        [
            _count_recomputed(found, one.request_id, words, running.layers)
            for one in affected
        ],
        wrong,
        [],
    )
