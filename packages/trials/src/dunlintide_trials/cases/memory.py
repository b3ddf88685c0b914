"""Resident memory of the daemons, by role."""

import statistics
from typing import Iterator

import psutil

from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import launcher

__all__ = ['CASES']

BOUND_MB = 256.0
_REQUESTS = 50
_MAX_TOKENS = 8
_MB = 1e6


def _ask(running: deployment.Deployment) -> None:
    """Send some requests, so that lazily loaded code is loaded."""
    team = next(iter(running.keys))
    for number in range(_REQUESTS):
        entry = number % len(running.plan.entries)
        caller = running.make_caller(entry, team)
        caller.complete(
            f'blurb {number}', model=running.model, max_tokens=_MAX_TOKENS
        )
        caller.close()


def _read_sizes(running: deployment.Deployment, role: str) -> list[float]:
    return [
        psutil.Process(one.pid).memory_info().rss / _MB
        for one in running.list_processes(role)
    ]


def measure_resident() -> Iterator[figures.Figure]:
    """Measure the largest process of each role after some requests."""
    with launcher.run_small() as running:
        _ask(running)
        for role in (deployment.ENTRY, deployment.AGENT):
            sizes = _read_sizes(running, role)
            yield figures.at_most(
                f'memory.resident.{role}',
                round(max(sizes), 1),
                'MB',
                BOUND_MB,
                note=f'largest of {len(sizes)}, median '
                f'{statistics.median(sizes):.1f}, after {_REQUESTS} requests',
            )


CASES = [measure_resident]
