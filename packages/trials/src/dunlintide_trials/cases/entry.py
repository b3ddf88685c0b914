"""CPU time per streamed token and memory per open stream of an entry."""

import statistics
from typing import Iterator

from dunlintide_trials import figures
from dunlintide_trials import streams

__all__ = ['CASES']

STREAMS = (32, 96, 160, 256)
SECONDS = 2.0
# The bound is relative to the baseline, as a busy machine slows both.
CPU_BOUND_RATIO = 6.0
MEMORY_SIZES = (32, 96, 160, 256)
MEMORY_SECONDS = 0.5
MEMORY_BOUND_KB = 400.0
RESIDENT_BOUND_MB = 256.0
_KB_IN_MB = 1000.0


def measure_cpu_token() -> Iterator[figures.Figure]:
    """Measure the CPU time of an entry per token."""
    for count in STREAMS:
        baseline = streams.run_baseline(count, SECONDS)
        entry = streams.run_entry(count, SECONDS)
        if entry.complete != count:
            raise RuntimeError(
                f'{entry.complete} of {count} streams completed'
            )
        yield figures.at_most(
            f'entry.cpu_token.{count}',
            round(entry.cpu_token, 1),
            'us',
            round(baseline.cpu_token * CPU_BOUND_RATIO, 1),
            round(baseline.cpu_token, 1),
            f'{count} streams, a token each {streams.STEP_SECONDS * 1000:g} '
            f'ms on {streams.AGENTS} links, {entry.threads} threads; '
            'baseline: a WSGI app that streams the same',
        )


def measure_memory_stream() -> Iterator[figures.Figure]:
    """Measure the resident memory of an entry per open stream."""
    sizes = []
    for count in MEMORY_SIZES:
        sizes.append(streams.run_entry(count, MEMORY_SECONDS).resident)
    line = statistics.linear_regression(MEMORY_SIZES, sizes)
    listed = ', '.join(
        f'{size:.1f} at {count}' for count, size in zip(MEMORY_SIZES, sizes)
    )
    yield figures.at_most(
        'entry.memory_stream',
        round(line.slope * _KB_IN_MB, 1),
        'kB',
        MEMORY_BOUND_KB,
        note=f'slope over MB resident: {listed}',
    )
    yield figures.at_most(
        'entry.memory_stream.most',
        round(max(sizes), 1),
        'MB',
        RESIDENT_BOUND_MB,
        note=f'{MEMORY_SIZES[-1]} streams',
    )


CASES = [measure_cpu_token, measure_memory_stream]
