"""Choice of chains by prefix caches, in an event model with real code."""

from collections.abc import Iterator

import attrs

from dunlintide_trials import figures
from dunlintide_trials import prefixload

PREFILL_TARGET = 0.8
IMBALANCE_LIMIT = 1.5
NEWS_BYTES_LIMIT = 64.0
_LATE_SECONDS = 5.0
_LOST = 0.5

_Shape = prefixload.Shape
_BUSY = _Shape(rate=4.0)
_FULL = _Shape(rate=12.0, seconds=40.0)
_HOT = _Shape(rate=5.0, hot=0.9, seconds=60.0)
_BROKEN = _Shape(lag=_LATE_SECONDS, loss=_LOST)
_SUBSET = _Shape(
    entries=20,
    replicas=20,
    subset=2,
    rate=12.0,
    members=200,
    hot=0.05,
    seconds=40.0,
)


def _run(shape: _Shape) -> dict[str, prefixload.Result]:
    return {
        way: prefixload.run(attrs.evolve(shape, way=way))
        for way in prefixload.WAYS
    }


def _compare(
    name: str, found: dict[str, prefixload.Result]
) -> Iterator[figures.Figure]:
    load = found[prefixload.LOAD]
    for way in (prefixload.GUESS, prefixload.EVENTS):
        case = f'cache.affinity.{name}{way}'
        one = found[way]
        yield figures.plain(
            f'{case}.prefilled',
            one.prefilled,
            'of prompt tokens',
            load.prefilled,
            'prompt tokens run, over those asked; baseline: by load alone',
        )
        yield figures.plain(
            f'{case}.first_token', one.first_token, 's, p95', load.first_token
        )
        yield figures.plain(f'{case}.requests', one.done, '/s', load.done)


def measure_affinity() -> Iterator[figures.Figure]:
    """Compare events, own guesses and load alone on the same prompts."""
    found = _run(_Shape())
    yield from _compare('', found)
    events, guess = found[prefixload.EVENTS], found[prefixload.GUESS]
    yield figures.at_most(
        'cache.affinity.gain',
        events.prefilled / guess.prefilled,
        'of the guess',
        PREFILL_TARGET,
        1.0,
        '4 entries, 12 engines, events 1 s late, 10% lost',
    )
    yield figures.at_most(
        'cache.affinity.news',
        events.sent,
        'B/s a link',
        NEWS_BYTES_LIMIT,
        note='hashes only, without framing',
    )
    yield from _compare('busy.', _run(_BUSY))
    yield from _compare('full.', _run(_FULL))
    yield from _compare('broken.', _run(_BROKEN))
    hot = _run(_HOT)
    yield from _compare('hot.', hot)
    yield figures.at_most(
        'cache.affinity.hot.busiest',
        hot[prefixload.EVENTS].busiest,
        'of the mean of 10 s',
        IMBALANCE_LIMIT,
        hot[prefixload.LOAD].busiest,
        'nine in ten sessions of one member; worst range and window',
    )
    yield from _compare('subset.', _run(_SUBSET))


CASES = [measure_affinity]
