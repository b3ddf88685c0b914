"""Accuracy of a team's rate limit that entries enforce together.

It is compared with entries that don't coordinate and with a static split.
Entries run in one process on a virtual clock; their messages are delayed
and some are lost.
"""

import heapq
import itertools
import random
from typing import Callable, Iterator

import attrs

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import configuration
from dunlintide_core import limits as core_limits
from dunlintide_daemon.entry import entrylinks
from dunlintide_daemon.entry import limits
from dunlintide_trials import figures

__all__ = ['CASES']

ENTRIES = 8
RATE = 100.0
OFFERED = 300.0
SECONDS = 90.0
WINDOW = 10.0
SHIFT_SECONDS = 5.0
SKEWED_FRACTION = 0.9
DELAY_SECONDS = (0.02, 0.4)
LOSS_RATE = 0.02
PARTITION_SECONDS = (30.0, 60.0)
# Requests that may be admitted in a window relative to the rate: the rate
# itself, a burst of ``BURST_SECONDS`` and one request per entry.
BOUND = 1 + (RATE * core_limits.BURST_SECONDS + ENTRIES) / (RATE * WINDOW)
# Lost messages and shifts of demand leave part of the limit unused.
USE_BOUND = 0.6
SEED = 5

_RULE = configuration.Rule(
    'limited', configuration.When(), configuration.Then(rate=RATE)
)


class _Network:
    """Delays, drops and delivers frames on a virtual clock."""

    def __init__(self, is_partitioned: Callable[[float], bool]) -> None:
        self.now = 0.0
        self.nodes: list['_Node'] = []
        self._is_partitioned = is_partitioned
        self._rng = random.Random(SEED)
        self._queue: list = []
        self._order = itertools.count()

    def send(self, source: int, target: int, frame: link_pb2.Frame) -> None:
        half = len(self.nodes) // 2
        is_cross_half = (source < half) != (target < half)
        lost = self._rng.random() < LOSS_RATE
        if lost or is_cross_half and self._is_partitioned(self.now):
            return
        due = self.now + self._rng.uniform(*DELAY_SECONDS)
        item = (due, next(self._order), source, target, frame)
        heapq.heappush(self._queue, item)

    def deliver(self, until: float) -> None:
        while self._queue and self._queue[0][0] <= until:
            due, _, source, target, frame = heapq.heappop(self._queue)
            self.now = due
            self.nodes[target].take(_Link(self, source, target), [frame])
        self.now = until


@attrs.frozen
class _Link:
    """A link as the receiver of a frame sees it."""

    network: _Network
    source: int
    target: int

    @property
    def peer(self) -> link_pb2.Hello:
        return link_pb2.Hello(name=str(self.source), incarnation=1)

    def send(self, frame: link_pb2.Frame) -> None:
        self.network.send(self.target, self.source, frame)


class _Node:
    """Simulated links of an entry to the other entries."""

    def __init__(self, network: _Network, number: int, take) -> None:
        self.take = take
        self.entry_count = ENTRIES
        self._network = network
        self._number = number
        network.nodes.append(self)

    def get_instance_id(self) -> str:
        return f'{self._number}@1'

    def choose_coordinator(self, shard: int) -> str:
        return f'{shard % entrylinks.CANDIDATES_PER_SHARD}@1'

    def send(self, coordinator: str, frame: link_pb2.Frame) -> None:
        target = int(coordinator.partition('@')[0])
        self._network.send(self._number, target, frame)


Admit = Callable[[int, float], bool]


def _run(admit: Admit, advance: Callable[[float], None]) -> list[float]:
    """Offer a demand that shifts between entries.

    :returns: times in seconds at which requests were admitted
    """
    rng = random.Random(SEED)
    now, admitted = 0.0, []
    while now < SECONDS:
        now += rng.expovariate(OFFERED)
        advance(now)
        entry = int(now / SHIFT_SECONDS) % ENTRIES
        if rng.random() > SKEWED_FRACTION:
            entry = rng.randrange(ENTRIES)
        if admit(entry, now):
            admitted.append(now)
    return admitted


def _run_coordinated(is_partitioned: Callable[[float], bool]) -> list[float]:
    network = _Network(is_partitioned)
    entries = [
        limits.Limiter(
            lambda take, number=number: _Node(network, number, take),
            lambda: network.now,
            grant_wait=0.0,
        )
        for number in range(ENTRIES)
    ]
    # The entries renew their shares at different times.
    renewed_at = [number / ENTRIES - 1 for number in range(ENTRIES)]

    def get_due(number: int) -> float:
        return renewed_at[number] + entries[number].renewal_delay

    def advance(now: float) -> None:
        while get_due(first := min(range(ENTRIES), key=get_due)) <= now:
            renewed_at[first] = max(network.now, get_due(first))
            network.deliver(renewed_at[first])
            entries[first].renew()
        network.deliver(now)

    def admit(number: int, now: float) -> bool:
        return entries[number].admit('', 'member', _RULE) is None

    return _run(admit, advance)


def _run_fixed(rate: float) -> list[float]:
    buckets = [core_limits.Bucket(0.0) for _ in range(ENTRIES)]
    return _run(
        lambda number, now: not buckets[number].take(now, rate),
        lambda now: None,
    )


def _find_peak(admitted: list[float]) -> float:
    """Return the maximum admitted in a window relative to the rate."""
    peak = first = 0
    for last, moment in enumerate(admitted):
        while admitted[first] < moment - WINDOW:
            first += 1
        peak = max(peak, last - first + 1)
    return round(peak / (RATE * WINDOW), 4)


def _find_use(admitted: list[float]) -> float:
    return round(len(admitted) / (RATE * SECONDS), 4)


def measure_overshoot() -> Iterator[figures.Figure]:
    """Measure the admitted requests when three times the limit is offered."""
    coordinated = _run_coordinated(lambda now: False)
    fixed = _run_fixed(RATE / ENTRIES)
    uncoordinated = _run_fixed(RATE)
    note = (
        f'most admitted in {WINDOW:g} s over the limit, {ENTRIES} entries, '
        f'{SKEWED_FRACTION:.0%} of the demand on one, which changes each '
        f'{SHIFT_SECONDS:g} s; baseline: no coordination'
    )
    yield figures.at_most(
        'limits.overshoot',
        _find_peak(coordinated),
        'ratio',
        round(BOUND, 4),
        _find_peak(uncoordinated),
        note,
    )
    yield figures.at_least(
        'limits.overshoot.use',
        _find_use(coordinated),
        'ratio',
        USE_BOUND,
        _find_use(fixed),
        'admitted over the limit in the whole run; baseline: static split',
    )
    partitioned = _run_coordinated(
        lambda now: PARTITION_SECONDS[0] <= now < PARTITION_SECONDS[1]
    )
    yield figures.at_most(
        'limits.overshoot.cut',
        _find_peak(partitioned),
        'ratio',
        round(BOUND, 4),
        _find_peak(uncoordinated),
        'the same, two halves cut apart for a third of the time',
    )


CASES = [measure_overshoot]
