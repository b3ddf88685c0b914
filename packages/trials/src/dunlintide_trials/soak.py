"""Soak test of real processes under load and seeded random faults.

At the end the guarantees of the router are checked against the runs that
the stand-ins recorded. The exit code is 1 when one was violated.
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
from dunlintide_trials import faultcontext
from dunlintide_trials import faults
from dunlintide_trials import fleetfaults
from dunlintide_trials import launcher
from dunlintide_trials import linkfaults
from dunlintide_trials import load
from dunlintide_trials import operators
from dunlintide_trials import processes
from dunlintide_trials import promises
from dunlintide_trials import records
from dunlintide_trials import revisionmonitor
from dunlintide_trials import signals
from dunlintide_trials import summary
from dunlintide_trials import userfaults

__all__ = ['Driver', 'main', 'run']

THREADS = 16
EXAMPLE = pathlib.Path('examples/cooperative.jsonc')
EXIT_BROKEN = 1
# Log of the start and the end of each fault, in the work folder.
FAULT_LOG = 'faults.txt'
# Maximum seconds from the end of the faults until all daemons serve.
RECOVERY_SECONDS = 60.0
_FAULT_GAP_SECONDS = (0.2, 2.0)
_FAULT_SECONDS = (0.5, 5.0)
_POLL_SECONDS = 0.05
_SETTLE_SECONDS = 60.0
_PAIR_PROBABILITY = 0.2
_REPEAT_PROBABILITY = 0.15
_FAULTS = (
    *faults.FAULTS,
    *fleetfaults.FAULTS,
    *linkfaults.FAULTS,
    *userfaults.FAULTS,
)
_DURATIONS = faults.SECONDS | fleetfaults.SECONDS | linkfaults.SECONDS


@attrs.frozen(order=False)
class _ActiveFault:
    """An active fault.

    :ivar fault: function that injected the fault
    :ivar heal: function that reverts the fault
    :ivar target: name of the process or relay under the fault
    :ivar again: whether to apply the fault to the target a second time
    """

    fault: faultcontext.Fault
    heal: faultcontext.Heal
    target: str
    again: bool


@attrs.define(eq=False)
class Driver:
    """Applies random faults and reverts them after their duration.

    :ivar context: state that the faults share
    :ivar counts: number of applied faults by name
    :ivar combined: number of simultaneous and of repeated faults
    """

    context: faultcontext.FaultContext
    counts: collections.Counter[str] = attrs.field(factory=collections.Counter)
    combined: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    _active: list[tuple[float, int, _ActiveFault]] = attrs.field(factory=list)
    _sequence: itertools.count = attrs.field(factory=itertools.count)
    _due_repeats: list[_ActiveFault] = attrs.field(factory=list)

    def apply(self, fault: faultcontext.Fault, again: bool) -> bool:
        """Apply a fault and schedule its end.

        :param again: whether to apply the fault to the same target again
            after its end
        :returns: whether the fault had a target
        """
        heal = fault(self.context)
        if heal is None:
            return False
        self.counts[fault.__name__] += 1
        self._log('begins', fault.__name__, self.context.last_target)
        shortest, longest = _DURATIONS.get(fault, _FAULT_SECONDS)
        due = time.monotonic() + self.context.rng.uniform(shortest, longest)
        running = _ActiveFault(fault, heal, self.context.last_target, again)
        heapq.heappush(self._active, (due, next(self._sequence), running))
        return True

    def _log(self, what: str, fault: str, target: str) -> None:
        """Log the start or the end of a fault with the time."""
        with (self.context.folder / FAULT_LOG).open('a') as notes:
            print(f'{time.time():.2f} {what} {fault}: {target}', file=notes)

    def heal_due(self, now: float) -> None:
        """Revert the faults whose duration is over.

        :param now: monotonic time in seconds, infinite to revert all
            faults without applying any again
        """
        while self._active and self._active[0][0] <= now:
            ended = heapq.heappop(self._active)[2]
            ended.heal()
            self._log('ends', ended.fault.__name__, ended.target)
            if ended.again and now != float('inf'):
                self._schedule_repeat(ended)

    def _schedule_repeat(self, ended: _ActiveFault) -> None:
        """Queue a fault for its target when the target has been released."""

        def wait() -> None:
            free = processes.wait_for(
                lambda: ended.target not in self.context.reserved,
                _SETTLE_SECONDS,
            )
            if free:
                self._due_repeats.append(ended)

        self.context.run_in_background(wait)

    def _apply_repeats(self) -> None:
        while self._due_repeats:
            ended = self._due_repeats.pop()
            self.context.next_target = ended.target
            done = self.apply(ended.fault, again=False)
            if done and self.context.last_target == ended.target:
                self.combined['twice in a row on one target'] += 1
            self.context.next_target = ''

    def check_processes(self) -> None:
        """Detect processes that exited without a fault.

        An engine that a prompt crashed is restarted; any other exit is
        reported as wrong.
        """
        for process in self.context.running.started.values():
            if process.is_running or not self.context.reserve_name(
                process.name
            ):
                continue
            if self.context.handle_crash(process):
                continue
            tail = process.read_log().splitlines()[-1:]
            self.context.violations.append(
                f'{process.name} ended on its own with '
                f'{process.exit_code}: {tail}'
            )

    def _apply_random(self) -> None:
        rng = self.context.rng
        again = rng.random() < _REPEAT_PROBABILITY
        applied = self.apply(rng.choice(_FAULTS), again)
        if rng.random() < _PAIR_PROBABILITY:
            second = self.apply(rng.choice(_FAULTS), False)
            self.combined['two at once'] += applied and second

    def run(self, seconds: float) -> None:
        """Apply random faults for some seconds, then revert all faults."""
        rng = self.context.rng
        end = time.monotonic() + seconds
        while (now := time.monotonic()) < end:
            self._apply_random()
            pause_end = now + rng.uniform(*_FAULT_GAP_SECONDS)
            while (now := time.monotonic()) < min(pause_end, end):
                self.heal_due(now)
                self._apply_repeats()
                self.check_processes()
                time.sleep(_POLL_SECONDS)
        self.heal_due(float('inf'))


def _collect_runs(
    running: deployment.Deployment, runs: records.RunRecords
) -> None:
    for agent in running.plan.agents:
        name = agent.endpoint.standin.name
        runs.replace_runs(name, running.read_endpoint_runs(name))


def _wait_recovered(driver: Driver) -> list[str]:
    """Wait until all daemons serve again and print the time it took.

    :returns: problems of the recovery
    """
    context = driver.context
    begin = time.monotonic()

    def has_ended() -> bool:
        # Prompts that were sent before the end may still crash engines.
        driver.check_processes()
        return not context.reserved

    processes.wait_for(has_ended, RECOVERY_SECONDS)
    try:
        context.running.wait_all_ready()
        wrong = promises.check_recovered(context.running)
    except processes.StartError as error:
        wrong = [f'no recovery: {error}']
    seconds = time.monotonic() - begin
    print(f'everything served {seconds:.1f} s after the last fault')
    if seconds > RECOVERY_SECONDS:
        wrong.append(f'recovery took {seconds:.1f} s')
    return wrong


def _check_revisions(context: faultcontext.FaultContext) -> list[str]:
    def find_wrong() -> list[str]:
        shown = {
            one.name: revisionmonitor.read_revision(
                context.running.read_state(one.name)
            )
            for one in context.running.plan.daemons
        }
        return promises.check_revisions(shown, context.accepted)

    processes.wait_for(lambda: not find_wrong(), RECOVERY_SECONDS, pause=0.2)
    return find_wrong() + context.monitor.violations


def run(
    running: deployment.Deployment, seed: int, seconds: float
) -> list[str]:
    """Run load and faults on a deployment and return the violations."""
    runs = records.RunRecords()
    *teams, poison_team = running.keys
    monitor = revisionmonitor.RevisionMonitor(running)
    rng = random.Random(seed)
    context = faultcontext.FaultContext(
        running, runs, rng, poison_team, monitor
    )
    driver = Driver(context)
    requests = load.Load(running, teams, seed, THREADS)
    requests.start()
    try:
        driver.run(seconds)
    except BaseException:
        # All processes are stopped next, so faults must not restart any.
        context.close()
        raise
    wrong = _wait_recovered(driver)
    context.join(_SETTLE_SECONDS)
    waiting = requests.stop(_SETTLE_SECONDS)
    if waiting:
        wrong.append(f'{waiting} requests had no answer in time')
    # Include processes that crashed or exited after the last fault.
    driver.check_processes()
    context.join(_SETTLE_SECONDS)
    _collect_runs(running, runs)
    wrong += promises.check(running, requests, runs)
    wrong += promises.check_crashes(context.crashes, userfaults.MAX_CRASHES)
    wrong += _check_revisions(context)
    monitor.stop()
    summary.print_load(requests)
    summary.print_counts('faults', driver.counts)
    summary.print_counts('faults that were combined', driver.combined)
    summary.print_findings(context, requests)
    return wrong + context.violations


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
        running = stack.enter_context(
            launcher.run(small, rules, folder, hops=linkfaults.HOPS)
        )
        wrong = run(running, options.seed, options.seconds)
    print(f'broken promises: {len(wrong)} (seed {options.seed})')
    for each in wrong:
        print(f'  {each}')
    return EXIT_BROKEN if wrong else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
