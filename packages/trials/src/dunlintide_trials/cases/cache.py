"""Routing by prefix caches: hit rate, balance, memory and traffic.

The gain of cache affinity comes from the event model in ``prefixload``.
"""

from collections.abc import Iterator
import time
import tracemalloc

import attrs

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import affinity
from dunlintide_core import cacheupdates
from dunlintide_core import prefixes
from dunlintide_trials import figures
from dunlintide_trials import prefixload

PREFILL_TARGET = 0.8
IMBALANCE_LIMIT = 1.5
NEWS_BYTES_LIMIT = 64.0
_HIGH_LAG_SECONDS = 5.0
_HIGH_LOSS = 0.5

MEMORY_BOUND = 256 << 20
# Bytes/s of control traffic of a node; cache updates are one part of it.
BYTES_BOUND = 5_000.0
_SIZES = (2_500, 5_000, 10_000, 20_000)
_UPDATE_SIZES = (1, 2, 4, 8)
_LINKS = 25
_HOLDERS = 6
_PROMPT_BLOCKS = 16
_BLOCK_TOKENS = 64

_Scenario = prefixload.Scenario
_BUSY = _Scenario(rate=4.0)
_OVERLOADED = _Scenario(rate=12.0, seconds=40.0)
_HOT = _Scenario(rate=5.0, hot=0.9, seconds=60.0)
_DEGRADED = _Scenario(lag=_HIGH_LAG_SECONDS, loss=_HIGH_LOSS)
_SUBSET = _Scenario(
    entries=20,
    replicas=20,
    subset=2,
    rate=12.0,
    teams=200,
    hot=0.05,
    seconds=40.0,
)


def _run(scenario: _Scenario) -> dict[str, prefixload.Result]:
    return {
        policy: prefixload.run(attrs.evolve(scenario, policy=policy))
        for policy in prefixload.POLICIES
    }


def _compare(
    name: str, found: dict[str, prefixload.Result]
) -> Iterator[figures.Figure]:
    load = found[prefixload.LOAD]
    for policy in (prefixload.GUESS, prefixload.EVENTS):
        case = f'cache.affinity.{name}{policy}'
        one = found[policy]
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
    """Compare choices by cache events, by guesses and by load only."""
    found = _run(_Scenario())
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
    yield from _compare('full.', _run(_OVERLOADED))
    yield from _compare('broken.', _run(_DEGRADED))
    hot = _run(_HOT)
    yield from _compare('hot.', hot)
    yield figures.at_most(
        'cache.affinity.hot.busiest',
        hot[prefixload.EVENTS].busiest,
        'of the mean of 10 s',
        IMBALANCE_LIMIT,
        hot[prefixload.LOAD].busiest,
        'nine in ten sessions of one team; worst range and window',
    )
    yield from _compare('subset.', _run(_SUBSET))


def _make_prompts(blocks: int) -> Iterator[prefixes.Prefixes]:
    """Make prompts without shared prefixes.

    :param blocks: number of blocks of all prompts together
    """
    for index in range(blocks // _PROMPT_BLOCKS):
        text = f'{index:>{_PROMPT_BLOCKS * affinity.BLOCK_CHARACTERS}}'
        hashes = affinity.hash_blocks(f'salt-{index}', text)
        yield prefixes.Prefixes(hashes, len(text))


def _fill_view(blocks: int) -> tuple[prefixes.View, float]:
    """Fill an agent's view with prompts.

    :returns: the view and microseconds of processor time per event
    """
    view = prefixes.View()
    tokens = _PROMPT_BLOCKS * _BLOCK_TOKENS
    sequence = 0
    spent = 0.0
    for prompt in _make_prompts(blocks):
        session = f'session-{sequence}'
        events = [
            prefixes.Event(sequence + n, True, session, sequence + n, n * 16)
            for n in range(1, tokens // 16 + 1)
        ]
        sequence += len(events)
        started = time.process_time()
        view.add_session(session, prompt, tokens)
        view.apply_events(events)
        spent += time.process_time() - started
    return view, spent / sequence * 1e6


def _fill_map(blocks: int) -> affinity.AffinityMap:
    held = affinity.AffinityMap()
    agents = [f'agent-{index}' for index in range(_HOLDERS)]
    for prompt in _make_prompts(blocks):
        held.record(prompt.blocks, agents, 0.0)
    return held


def measure_view() -> Iterator[figures.Figure]:
    """Measure memory of an agent's view and an entry's affinity map."""
    for size in _SIZES:
        for name, fill in (('view', _fill_view), ('map', _fill_map)):
            tracemalloc.start()
            held = fill(size)
            used = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            del held
            yield figures.at_most(
                f'cache.view.{name}.{size}', used, 'B', MEMORY_BOUND
            )
        yield figures.plain(
            f'cache.view.event.{size}', _fill_view(size)[1], 'us an event'
        )


def _compute_update_bytes(count: int) -> int:
    """Return the bytes that cache updates add to a load report."""
    held = [1 << 63 | index for index in range(count)]
    plain = link_pb2.Frame(load=link_pb2.Load(running=1))
    with_updates = link_pb2.Frame(
        load=link_pb2.Load(running=1, cache=link_pb2.CacheNews(held=held))
    )
    return with_updates.ByteSize() - plain.ByteSize()


def measure_bytes() -> Iterator[figures.Figure]:
    """Measure the traffic of cache updates of an agent with 25 links."""
    for count in _UPDATE_SIZES:
        size = _compute_update_bytes(count)
        yield figures.at_most(
            f'cache.bytes.{count}',
            size * _LINKS,
            'B/s an agent',
            BYTES_BOUND,
            note=f'{size} B in each report, {_LINKS} links',
        )
    size = _compute_update_bytes(cacheupdates.MAX_PUBLISHED)
    yield figures.plain('cache.bytes.all', size, 'B, once a new link')


CASES = [measure_affinity, measure_view, measure_bytes]
