"""Priorities, teams and waves of load in a soak, and who starved."""

import random
from typing import Iterator, Sequence

import attrs

from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import runners

__all__ = [
    'STEADY_TERMS',
    'Terms',
    'WAVE_CALLERS',
    'add_terms',
    'choose_terms',
    'count_windows',
    'is_wave',
    'limit_engines',
    'list_starved',
]

PRIORITIES = (0, 1, 2)
FLOOD_TEAM = 'flood'
# Callers of the flooding team, which come and go.
WAVE_CALLERS = 24
# Length of a wave and of the time to the next one, in seconds: both are
# shorter than the window of the check, so that each window has some of both.
WAVE_SECONDS = 2.0
CALM_SECONDS = 1.0
# Slots of each engine: few enough for all callers together to fill them.
SLOTS = 2
# Failure domain of the slow engines, and their factor on the time of an event.
SLOW_DOMAIN = 'b'
SLOWNESS = 2.0
# Window in which no priority may starve, the time between two windows that
# are checked, and the time after the last fault from which they are, all in
# seconds: killed entries need that long to start.
WINDOW_SECONDS = 5.0
STEP_SECONDS = 0.25
SETTLE_SECONDS = 3.0
# Part of the share of all requests that complete which each priority keeps.
MIN_PART = 0.25
# Fewest requests of a priority in a window that make a share.
LEAST_REQUESTS = 10


@attrs.frozen
class Terms:
    """Team and priority of a request.

    :ivar key: API key of the team
    :ivar path: path of a stream
    """

    team: str
    key: str
    priority: int
    path: str


# Terms of a soak without priorities.
STEADY_TERMS = Terms('diner', operators.KEY, 1, '/copy/x')


def add_terms(
    configuration: operators.Configuration,
) -> operators.Configuration:
    """Add rules of several priorities and a flooding team."""
    operators.add_priorities(configuration, PRIORITIES)
    for tenant in configuration['tenants']:
        # The priority of a team would take precedence over those of rules.
        del tenant['priority']
    operators.add_teams(configuration, [FLOOD_TEAM])
    for service in configuration['services']:
        if 'engine' in service:
            service['engine']['slots'] = SLOTS
    return configuration


def choose_terms(rng: random.Random, floods: bool) -> Terms:
    """Choose the terms of a request.

    :param floods: whether it is one of the flooding team
    """
    priority = rng.choice(PRIORITIES)
    team, key = 'diner', operators.KEY
    if floods:
        team = key = FLOOD_TEAM
    elif rng.random() < 0.5:
        team, key = 'church', operators.OTHER_KEY
    return Terms(team, key, priority, f'/p{priority}/x')


def is_wave(seconds: float) -> bool:
    """Return whether the flooding team sends.

    :param seconds: time since the start of the soak
    """
    return seconds % (WAVE_SECONDS + CALM_SECONDS) < WAVE_SECONDS


def limit_engines(fleet: runners.Fleet) -> None:
    """Make engines refuse when they are full, and half of them slow."""
    fleet.enforces_slots = True
    fleet.slots = SLOTS
    for runner in fleet.runners:
        if runner.kind and runner.domain == SLOW_DOMAIN:
            runner.slowness = SLOWNESS


def _list_windows(
    periods: Sequence[tuple[float, float]],
) -> Iterator[tuple[float, float]]:
    """List the windows within periods without a fault.

    :param periods: monotonic times of start and end, in seconds
    """
    for start, end in periods:
        first = start + SETTLE_SECONDS
        while first + WINDOW_SECONDS <= end:
            yield first, first + WINDOW_SECONDS
            first += STEP_SECONDS


def count_windows(periods: Sequence[tuple[float, float]]) -> int:
    """Count the windows within periods without a fault."""
    return sum(1 for _ in _list_windows(periods))


def list_starved(
    requests: Sequence[tuple[float, int, bool]],
    periods: Sequence[tuple[float, float]],
) -> Iterator[str]:
    """List the priorities that starved in a window without a fault.

    :param requests: monotonic time of each stream in seconds, its priority,
        and whether it completed
    :param periods: periods without a fault
    """
    for first, last in _list_windows(periods):
        inside = [each for each in requests if first <= each[0] < last]
        whole = sum(complete for _, _, complete in inside)
        for priority in PRIORITIES:
            own = [each[2] for each in inside if each[1] == priority]
            bound = MIN_PART * whole / max(1, len(inside))
            if len(own) >= LEAST_REQUESTS and sum(own) / len(own) < bound:
                yield (
                    f'priority {priority}: {sum(own)} of {len(own)} streams'
                    f' complete in a window, {whole} of {len(inside)} of all'
                )
