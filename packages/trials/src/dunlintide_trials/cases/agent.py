"""Processor time of an agent for each step of its engine.

The three agents of one chain have engines whose steps sleep, and serve a
fixed number of streams. The value is the user and system time of the three
agent processes per step; entries, engines and callers are not included.
"""

import os
import time
from typing import Iterator

from dunlintide_trials import deployment
from dunlintide_trials import figures
from dunlintide_trials import saturation

__all__ = ['CASES']

SESSIONS = (8, 32, 128)
WARM_UP_SECONDS = 4.0
WINDOW_SECONDS = 6.0
RANGES = ((saturation.FAST,),) * 3
_US = 1e6
# Indices of the fields of /proc/PID/stat after the name of the command.
_USER_FIELD, _SYSTEM_FIELD = 11, 12


def _read_seconds(pid: int) -> float:
    with open(f'/proc/{pid}/stat', encoding='ascii') as stat:
        fields = stat.read().rpartition(')')[2].split()
    ticks = int(fields[_USER_FIELD]) + int(fields[_SYSTEM_FIELD])
    return ticks / os.sysconf('SC_CLK_TCK')


def _sum_seconds(running: deployment.Deployment) -> float:
    agents = running.list_processes(deployment.AGENT)
    return sum(_read_seconds(agent.pid) for agent in agents)


def _measure(
    running: deployment.Deployment, count: int
) -> tuple[float, float]:
    """Return processor seconds and steps of the agents in a window."""
    with saturation.Streams(running, (0,), count) as streams:
        time.sleep(WARM_UP_SECONDS)
        before = _sum_seconds(running)
        rate = streams.measure(WINDOW_SECONDS)
        used = _sum_seconds(running) - before
    return used, rate * WINDOW_SECONDS * len(RANGES)


def measure_cpu_step() -> Iterator[figures.Figure]:
    """Measure the processor time per step by sessions in flight."""
    with saturation.run(('planned',), RANGES) as running:
        for count in SESSIONS:
            used, steps = _measure(running, count)
            rate = steps / len(RANGES) / WINDOW_SECONDS
            yield figures.plain(
                f'agent.cpu_step.{count}',
                round(used / steps * _US, 1),
                'us',
                note=f'{count} streams over three stages, {rate:.0f} '
                'tokens/s; without the engine',
            )


CASES = [measure_cpu_step]
