"""What callers get while endpoints ask for pauses, on the edge role.

One entry with plain services of 16 slots and calls of 20 ms, 12 callers.
"""

import contextlib
import pathlib
import tempfile
import time
from typing import Iterator

from dunlintide_standins.fleet import operators
from dunlintide_trials.edge import loads
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials import figures
from dunlintide_trials import ports

__all__ = ['CASES']

SECONDS = 6.0
PAUSE_SECONDS = 3.0
PATH = '/lists/x'
# Fraction of an equal share from which an endpoint counts as taken up again,
# and length of the windows in which the share is counted, in seconds.
FAIR_FRACTION = 0.8
WINDOW_SECONDS = 0.25


@contextlib.contextmanager
def _run_scene(services: int) -> Iterator[scenes.Scene]:
    """Run an entry with services that all are in its failure domain."""
    with contextlib.ExitStack() as stack:
        made = tempfile.TemporaryDirectory(prefix='dunlintide-')
        folder = pathlib.Path(stack.enter_context(made))
        scene = scenes.Scene(ports.pick_ports, folder)
        stack.callback(scene.close)
        scene.configure(operators.make_configuration())
        for _ in range(services):
            scene.run(scene.fleet.add('web', 'a'))
        entry = scene.add_entry('one', 'a')
        scene.wait_until(entry.is_ready, 'the entry is ready')
        yield scene


def _ask(scene: scenes.Scene, asking: int, seconds: float) -> None:
    for runner in scene.list_services()[:asking]:
        runner.faults.backoff = (f'{seconds:g}',)


def measure_asking() -> Iterator[figures.Figure]:
    """Measure calls served while some of the services ask for a pause."""
    for services, asking in ((2, 0), (2, 1), (10, 9), (2, 2)):
        with _run_scene(services) as scene:
            _ask(scene, asking, PAUSE_SECONDS)
            calls = loads.run_callers(scene.entries, PATH, SECONDS)
            reached = sum(
                len(runner.received)
                for runner in scene.list_services()[:asking]
            )
        case = f'backoffs.{asking}_of_{services}'
        served = [call for call in calls if call.answer.status == 200]
        refused = [call for call in calls if call.answer.status == 503]
        yield figures.plain(f'{case}.served', len(served) / SECONDS, 'calls/s')
        yield figures.plain(
            f'{case}.refused', len(refused) / SECONDS, 'calls/s'
        )
        slowest = max((each.ended - each.sent for each in refused), default=0)
        yield figures.plain(f'{case}.slowest_refusal', slowest, 's')
        yield figures.plain(
            f'{case}.reached', reached, 'requests', note='endpoints that ask'
        )


def measure_return() -> Iterator[figures.Figure]:
    """Measure the time from the end of a pause to a fair share of the load."""
    with _run_scene(2) as scene:
        _ask(scene, 1, 1.0)
        loads.run_callers(scene.entries, PATH, 0.3)
        runner = scene.list_services()[0]
        runner.faults.backoff = ()
        calls = loads.run_callers(scene.entries, PATH, SECONDS)
        end = max(each.at + each.seconds for each in runner.backoffs)
        ran = {run.request for run in runner.runs}
    last = time.monotonic()
    start = end
    while start < last:
        names = {
            call.name
            for call in calls
            if start <= call.sent < start + WINDOW_SECONDS
        }
        if names and len(names & ran) >= FAIR_FRACTION / 2 * len(names):
            break
        start += WINDOW_SECONDS / 5
    yield figures.plain(
        'backoffs.fair_share', start - end, 's', note='after a pause of 1 s'
    )


CASES = [measure_asking, measure_return]
