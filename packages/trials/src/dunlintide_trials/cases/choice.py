"""Processor time of choosing a chain by the number of engines."""

import statistics
import time
from typing import Callable, Iterator

from dunlintide_core.pipeline import chaintable
from dunlintide_trials import engineload
from dunlintide_trials import figures

__all__ = ['CASES']

# Number of engines and bound of a choice in ms: a twelfth of the interval at
# which waiting requests retry a choice.
SIZES = ((62, None), (123, 0.3), (246, None), (615, 1.0))
DOMAINS = 5
ROUNDS = 5
CHOICES = 200


def _time(work: Callable[[], object]) -> float:
    """Return the median over rounds of the processor ms per call."""
    rounds = []
    for _ in range(ROUNDS):
        began = time.thread_time()
        for _ in range(CHOICES):
            work()
        rounds.append((time.thread_time() - began) / CHOICES * 1000.0)
    return statistics.median(rounds)


def _report(
    name: str, prepare: Callable[[engineload.EngineLoad], object]
) -> Iterator[figures.Figure]:
    """Time choices at each size and the slope of the two largest sizes."""
    measured = []
    for size, bound in SIZES:
        load = engineload.EngineLoad.from_size(size, DOMAINS)
        prepare(load)
        found = load.choose()
        parts = len(found) if found else 0
        value = _time(load.choose)
        measured.append((size, value))
        case, note = f'choice.{name}.{size}', f'{size} engines, {parts} parts'
        if bound is None:
            yield figures.plain(case, value, 'ms', note=note)
        else:
            yield figures.at_most(case, value, 'ms', bound, note=note)
    (less, low), (more, high) = measured[-2:]
    slope = (high - low) / (more - less) * 1000.0
    yield figures.plain(f'choice.{name}.slope', slope, 'us/engine')


def measure_found() -> Iterator[figures.Figure]:
    """Measure choices while engines have room."""
    yield from _report('found', lambda load: None)


def measure_none() -> Iterator[figures.Figure]:
    """Measure choices while no engine has room."""
    yield from _report('none', engineload.EngineLoad.fill_caches)


def measure_across() -> Iterator[figures.Figure]:
    """Measure choices while only chains across domains have room."""
    yield from _report('across', engineload.EngineLoad.fragment)


def measure_table() -> Iterator[figures.Figure]:
    """Measure the rebuild of the chain table when the engines change."""
    for size, _ in SIZES:
        load = engineload.EngineLoad.from_size(size, DOMAINS)

        def build(load: engineload.EngineLoad = load) -> None:
            chaintable.ChainTable.from_engines(
                engineload.PROFILE, load.engines
            )

        yield figures.plain(
            f'choice.table.{size}', _time(build), 'ms', note=f'{size} engines'
        )


CASES = [measure_found, measure_none, measure_across, measure_table]
