"""Soak test of the edge role: real entries under load and seeded faults.

At the end the guarantees of the entries are checked against the records of
callers and endpoints. The exit code is 1 when one was violated.
"""

import argparse
import collections
import contextlib
import pathlib
import random
import sys
import time
from typing import Sequence

from dunlintide_trials.edge import faults
from dunlintide_trials.edge import promises
from dunlintide_trials.edge import seeds
from dunlintide_trials.edge import soakdemand
from dunlintide_trials.edge import soakscene
from dunlintide_trials import ports

__all__ = ['main', 'run']

CALLERS = 12
# Seconds with faults and without that alternate in a soak of demands: within
# the latter entries recover, and a window of 5 s is left that is checked.
FAULTY_SECONDS = 3.0
CALM_SECONDS = 9.0
# Minimum and maximum seconds between the starts of two faults, and of the
# duration of a fault. The values make faults overlap and come in series.
FAULT_GAP_SECONDS = (0.1, 1.2)
FAULT_SECONDS = (0.3, 4.0)
# Maximum seconds from the restart of stopped entries, after all faults, until
# all entries serve.
RECOVERY_SECONDS = 15.0
# Consecutive requests that must succeed after the recovery.
RECOVERY_REQUESTS = 20


def _inject_faults(
    soak: soakscene.SoakScene,
    rng: random.Random,
    seconds: float,
    kinds: Sequence[faults.Fault],
) -> int:
    """Inject faults for some seconds, then revert all of them.

    :param kinds: faults to choose from
    :returns: number of faults
    """
    end = time.monotonic() + seconds
    active: list[tuple[float, int, faults.Heal]] = []
    count = 0
    while time.monotonic() < end:
        now = time.monotonic()
        due = [each for each in active if each[0] <= now]
        for each in due:
            active.remove(each)
            each[2]()
        fault = rng.choice(kinds)
        count += 1
        heal = fault(soak, rng)
        active.append((now + rng.uniform(*FAULT_SECONDS), count, heal))
        time.sleep(rng.uniform(*FAULT_GAP_SECONDS))
    for _, _, heal in sorted(active, key=lambda each: each[1]):
        heal()
    soak.end_limits()
    return count


def _alternate(
    soak: soakscene.SoakScene,
    rng: random.Random,
    seconds: float,
    kinds: Sequence[faults.Fault],
) -> int:
    """Alternate between faults and calm, in which nobody may starve.

    :param kinds: faults to choose from
    :returns: number of faults
    """
    end = time.monotonic() + seconds
    count = 0
    while time.monotonic() < end:
        count += _inject_faults(soak, rng, FAULTY_SECONDS, kinds)
        soak.stay_calm(CALM_SECONDS)
    return count


def _wait_recovered(soak: soakscene.SoakScene) -> list[str]:
    """Wait until all entries serve again.

    :returns: problems of the recovery
    """
    for entry in soak.scene.entries:
        entry.write_settings()
        if entry.process.poll() is not None:
            entry.start()
    end = time.monotonic() + RECOVERY_SECONDS
    succeeded = 0
    while succeeded < RECOVERY_REQUESTS and time.monotonic() < end:
        entry = soak.scene.entries[succeeded % len(soak.scene.entries)]
        try:
            answer = entry.call(f'sound-{time.monotonic_ns()}', '/lists/x')
            succeeded = succeeded + 1 if answer.status == 200 else 0
        except (OSError, ValueError):
            succeeded = 0
        if not succeeded:
            time.sleep(0.1)
    if succeeded < RECOVERY_REQUESTS:
        return [
            f'{succeeded} of {RECOVERY_REQUESTS} consecutive requests'
            f' succeeded within {RECOVERY_SECONDS} s after the faults'
        ]
    return _check_versions(soak, end)


def _check_versions(soak: soakscene.SoakScene, end: float) -> list[str]:
    """Wait until the newest configuration is in force on all entries.

    :param end: monotonic time of the timeout in seconds
    :returns: a line for each entry with an older configuration
    """
    while True:
        old = []
        for entry in soak.scene.entries:
            version = entry.read_state()['configuration']['revision']
            if version != soak.version:
                old.append(f'{entry.name}: {version}, not {soak.version}')
        if not old or time.monotonic() >= end:
            return old
        time.sleep(0.1)


def run(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    kinds: Sequence[faults.Fault] = faults.FAULTS,
    has_demand: bool = False,
) -> dict:
    """Run one soak.

    :param kinds: faults to choose from
    :param has_demand: whether requests of several priorities and teams
        compete
    :returns: counts, with the violations under ``broken``
    """
    rng = random.Random(seed)
    with contextlib.ExitStack() as stack:
        soak = soakscene.SoakScene(
            ports.pick_ports, folder, stack, seed, has_demand
        )
        soak.start_callers(CALLERS, seed)
        stack.callback(soak.stop_callers)
        inject = _alternate if has_demand else _inject_faults
        count = inject(soak, rng, seconds, kinds)
        violations = _wait_recovered(soak)
        soak.stop_callers()
        for entry in soak.scene.entries:
            soak.record_memory(entry)
        violations += promises.list_violations(soak)
        statuses = collections.Counter(
            f'{request.kind} {request.status}' for request in soak.requests
        )
        priorities = collections.Counter(
            f'{request.terms.priority} {request.status}'
            for request in soak.requests
            if request.kind == soakscene.STREAM
        )
    return {
        'seed': seed,
        'faults': count,
        'pauses': sum(
            len(runner.backoffs) for runner in soak.scene.fleet.runners
        ),
        'leaving': sum(
            len(runner.leaving_answers) for runner in soak.scene.fleet.runners
        ),
        'part_crashes': collections.Counter(
            crash.part for crash in soak.scene.fleet.part_crashes
        ),
        'windows': soakdemand.count_windows(soak.list_calm_periods()),
        'drains': len(soak.drains),
        'checked_drains': sum(
            soak.disruptions.is_store_stable(began) for _, began in soak.drains
        ),
        'versions': soak.versions.count,
        'probes': soak.versions.count_probes(),
        'requests': len(soak.requests),
        'largest_mb': round(soak.largest_bytes / 1e6, 1),
        'statuses': dict(sorted(statuses.items())),
        'priorities': dict(sorted(priorities.items())),
        'broken': violations,
    }


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a soak for each seed and print its counts as a JSON line."""
    parser = argparse.ArgumentParser(description=__doc__)
    seeds.add_arguments(parser, 20.0)
    parser.add_argument('--keep', type=pathlib.Path, help='folder for logs')
    parser.add_argument(
        '--leaving', action='store_true', help='only endpoints that leave'
    )
    parser.add_argument(
        '--configurations',
        action='store_true',
        help='only large configurations, and endpoints that leave',
    )
    parser.add_argument(
        '--parts',
        action='store_true',
        help='only parts that crash engines, and what hides them',
    )
    parser.add_argument(
        '--answers',
        action='store_true',
        help='only bytes that belong to no request, and what ends entries',
    )
    parser.add_argument(
        '--demand',
        action='store_true',
        help='priorities and teams compete, with waves of load',
    )
    parsed = parser.parse_args(arguments)
    kinds = faults.FAULTS
    if parsed.leaving:
        kinds = faults.LEAVING_FAULTS
    elif parsed.configurations:
        kinds = faults.CONFIGURATION_FAULTS
    elif parsed.parts:
        kinds = faults.PART_FAULTS
    elif parsed.answers:
        kinds = faults.ANSWER_FAULTS
    return seeds.play(
        parsed,
        lambda seed, folder: run(
            seed, parsed.seconds, folder, kinds, parsed.demand
        ),
        parsed.keep,
    )


if __name__ == '__main__':
    sys.exit(main())
