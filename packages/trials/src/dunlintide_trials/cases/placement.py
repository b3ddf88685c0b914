"""Recovery time after the loss of all engines of a layer range."""

import contextlib
import pathlib
import tempfile
import time
from typing import Iterator

from dunlintide_core import settings
from dunlintide_trials import blueprints
from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import launcher
from dunlintide_trials import processes

__all__ = ['CASES', 'GROUP', 'find_leader', 'kill_range', 'run_with_spare']

GROUP = 'recovery'
MODEL = 'copy-7b'
LAYERS = 24
LAYERS_PER_STAGE = 8
LOST_STAGE = 8
PATIENCE_SECONDS = 1.0
LEASE_SECONDS = 3
# Size of each layer of the stand-in.
LAYER_BYTES = 1_000_000
BYTES_PER_SECOND = 2_000_000.0
# Total of detecting the loss, confirming it by two witnesses, ordering the
# spare, loading its layers, planning and running the request.
BOUND_SECONDS = 10.0
_TEAM = 'diner'
_TOKENS = 4
_WAIT_SECONDS = 60.0
_TRIES = 3
_RULES = {
    'members': [{'name': _TEAM, 'key_hashes': []}],
    'models': [{'name': MODEL, 'layers': LAYERS}],
    'rules': [{'name': 'all', 'when': {}, 'then': {'deadline_seconds': 5}}],
}


@contextlib.contextmanager
def run_with_spare(replicas: int = 1) -> Iterator[deployment.Deployment]:
    """Start a deployment of one pipeline with a spare engine.

    :param replicas: engines of each stage
    """
    stages = tuple(
        blueprints.Stage(start, start + LAYERS_PER_STAGE, replicas)
        for start in range(0, LAYERS, LAYERS_PER_STAGE)
    )
    blueprint = blueprints.Blueprint(
        'placement',
        'texas',
        ('austin', 'waco', 'temple'),
        3,
        '',
        (blueprints.Pipeline(MODEL, LAYERS, stages, spares=1),),
        (),
        settings.Placement(lease=LEASE_SECONDS, patience=PATIENCE_SECONDS),
    )
    with tempfile.TemporaryDirectory(prefix='dunlintide-') as folder:
        with launcher.run(blueprint, _RULES, pathlib.Path(folder)) as running:
            running.control('weight-store', bytes_per_second=BYTES_PER_SECOND)
            yield running


def find_leader(
    running: deployment.Deployment, skipped: str = ''
) -> str | None:
    """Return the name of the entry that reports to lead the model.

    :param skipped: name of an entry to skip, such as a paused one
    """
    for entry in running.plan.entries:
        if entry.name != skipped:
            status = running.read_state(entry.name)['placement'].get(MODEL)
            if status and status['phase'] == 'leader':
                return entry.name
    return None


def kill_range(running: deployment.Deployment) -> None:
    """Kill all agents and engines of one layer range."""
    for name, process in running.started.items():
        if f'{MODEL}-{LOST_STAGE}-' in name:
            process.kill()


def _is_spare_used(running: deployment.Deployment) -> bool:
    return any(
        running.get_json(f'{agent.endpoint.standin.url}/v1/orders')
        for agent in running.plan.agents
    )


def _measure_once(running: deployment.Deployment) -> float | None:
    """Measure the seconds from the loss to a complete response.

    :returns: the seconds, None when the spare was in use before the loss
    """
    caller = running.make_caller(0, _TEAM)

    def is_served() -> bool:
        answer = caller.complete('specials', model=MODEL, max_tokens=_TOKENS)
        return answer.is_complete

    if not processes.wait_for(is_served, _WAIT_SECONDS):
        raise processes.StartError(
            f'{MODEL} was not served within {_WAIT_SECONDS:.0f} s'
        )
    found = processes.wait_for(
        lambda: find_leader(running) is not None, _WAIT_SECONDS
    )
    if not found:
        raise processes.StartError(
            f'no entry led {MODEL} within {_WAIT_SECONDS:.0f} s'
        )
    status = running.read_state(find_leader(running))['placement'][MODEL]
    if status['missing'] or status['orders'] or _is_spare_used(running):
        # After a slow start the spare may already hold the range to be lost.
        return None
    kill_range(running)
    lost = time.monotonic()
    if not processes.wait_for(is_served, _WAIT_SECONDS):
        raise processes.StartError(
            f'the lost range was not restored in {_WAIT_SECONDS:.0f} s'
        )
    return time.monotonic() - lost


def measure_range() -> Iterator[figures.Figure]:
    """Measure the time from the loss of a range to the next response.

    The baseline is the time that the weight store takes to send the lost
    layers.
    """
    seconds = None
    for _ in range(_TRIES):
        with run_with_spare() as running:
            seconds = _measure_once(running)
        if seconds is not None:
            break
    if seconds is None:
        raise processes.StartError(
            f'the spare was in use before the loss in {_TRIES} tries'
        )
    loading = LAYERS_PER_STAGE * LAYER_BYTES / BYTES_PER_SECOND
    yield figures.at_most(
        'recovery.range',
        round(seconds, 3),
        's',
        BOUND_SECONDS,
        loading,
        f'patience {PATIENCE_SECONDS} s; baseline: {LAYERS_PER_STAGE} layers'
        f' of {LAYER_BYTES} bytes at {BYTES_PER_SECOND:.0f} bytes/s',
    )


CASES = [measure_range]
