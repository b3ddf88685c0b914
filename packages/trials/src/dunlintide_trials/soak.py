"""A soak: real processes under load and seeded random faults.

At the end every promise is checked against the stand-ins' own records.
The exit code is 1 when one was broken.
"""

import argparse
import collections
import contextlib
import heapq
import itertools
import pathlib
import random
import sys
import tempfile
import time

import attrs

from dunlintide_trials import blueprints
from dunlintide_trials import deployment
from dunlintide_trials import faults
from dunlintide_trials import launcher
from dunlintide_trials import load
from dunlintide_trials import operators
from dunlintide_trials import processes
from dunlintide_trials import promises
from dunlintide_trials import records
from dunlintide_trials import signals

__all__ = ['Driver', 'main', 'run']

THREADS = 6
EXAMPLE = pathlib.Path('examples/cooperative.jsonc')
EXIT_BROKEN = 1
_GAP_SECONDS = (0.2, 2.0)
_FAULT_SECONDS = (0.5, 5.0)
_POLL_SECONDS = 0.05
_SETTLE_SECONDS = 60.0


@attrs.define(eq=False)
class Driver:
    """Applies faults and heals them when their time has come.

    :ivar counts: faults applied, by name
    :ivar wrong: processes that ended without a fault
    """

    field: faults.Field
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    wrong: list[str] = attrs.field(factory=list)
    _heals: list[tuple[float, int, faults.Heal]] = attrs.field(factory=list)
    _number: itertools.count = attrs.field(factory=itertools.count)

    def apply(self, fault: faults.Fault) -> None:
        """Apply a fault and plan its end."""
        heal = fault(self.field)
        if heal is None:
            return
        self.counts[fault.__name__] += 1
        due = time.monotonic() + self.field.rng.uniform(*_FAULT_SECONDS)
        heapq.heappush(self._heals, (due, next(self._number), heal))

    def heal_due(self, now: float) -> None:
        """Heal the faults whose time is over."""
        while self._heals and self._heals[0][0] <= now:
            heapq.heappop(self._heals)[2]()

    def check_processes(self) -> None:
        """Take note of processes that ended on their own."""
        for process in self.field.running.started.values():
            if process.is_running or not self.field.take_name(process.name):
                continue
            tail = process.read_log().splitlines()[-1:]
            self.wrong.append(
                f'{process.name} ended on its own with '
                f'{process.exit_code}: {tail}'
            )

    def run(self, seconds: float) -> None:
        """Apply random faults for so long, then heal them all."""
        rng = self.field.rng
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            self.apply(rng.choice(faults.FAULTS))
            pause_end = now + rng.uniform(*_GAP_SECONDS)
            while (now := time.monotonic()) < min(pause_end, end):
                self.heal_due(now)
                self.check_processes()
                time.sleep(_POLL_SECONDS)
        self.heal_due(float('inf'))


def _collect_runs(
    running: deployment.Deployment, runs: records.Records
) -> None:
    for agent in running.plan.agents:
        name = agent.endpoint.standin.name
        runs.keep(name, running.read_endpoint_runs(name))


def _print_counts(title: str, counts: dict[str, int]) -> None:
    print(f'{title}: {sum(counts.values())}')
    for name, count in sorted(counts.items()):
        print(f'  {count:6d} {name}')


def run(
    running: deployment.Deployment, seed: int, seconds: float
) -> list[str]:
    """Put load and faults on a deployment; return broken promises."""
    runs = records.Records()
    field = faults.Field(running, runs, random.Random(seed))
    driver = Driver(field)
    requests = load.Load(running, seed, THREADS)
    requests.start()
    wrong: list[str] = []
    try:
        driver.run(seconds)
        running.wait_all_ready()
    except processes.StartError as error:
        wrong.append(f'no recovery: {error}')
    waiting = requests.stop(_SETTLE_SECONDS)
    if waiting:
        wrong.append(f'{waiting} requests had no answer in time')
    _collect_runs(running, runs)
    wrong += driver.wrong
    wrong += promises.check(running, requests, runs)
    wrong += promises.check_recovered(running)
    _print_counts('requests', requests.count_outcomes())
    _print_counts('faults', driver.counts)
    return wrong


def _parse(arguments: list[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog='soak', description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=60.0)
    parser.add_argument('--blueprint', type=pathlib.Path, default=EXAMPLE)
    parser.add_argument('--folder', type=pathlib.Path)
    return parser.parse_args(arguments)


def main(arguments: list[str]) -> int:
    """Run a soak and return its exit code."""
    options = _parse(arguments)
    blueprint = blueprints.load_blueprint(options.blueprint)
    rules = operators.load_rules(options.blueprint.parent / blueprint.rules)
    small = blueprints.shrink(blueprint)
    with contextlib.ExitStack() as stack:
        stack.enter_context(signals.exit_on_signals())
        folder = options.folder
        if folder is None:
            temporary = tempfile.TemporaryDirectory(prefix='dunlintide-soak-')
            folder = pathlib.Path(stack.enter_context(temporary))
        folder.mkdir(exist_ok=True)
        running = stack.enter_context(launcher.run(small, rules, folder))
        wrong = run(running, options.seed, options.seconds)
    print(f'broken promises: {len(wrong)} (seed {options.seed})')
    for each in wrong:
        print(f'  {each}')
    return EXIT_BROKEN if wrong else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
