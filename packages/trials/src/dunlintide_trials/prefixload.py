"""Event model of routing by shared prompt prefixes.

Several entries choose chains with the product's own code; the engines use
the stand-in's prefix cache. A stage runs one prompt at a time and adds the
time of the decoded tokens to it.
"""

import heapq
import itertools
import random
import statistics
from typing import Callable

import attrs

from dunlintide_core import affinity
from dunlintide_core import cacheupdates
from dunlintide_core import fleet
from dunlintide_core import plan as plans
from dunlintide_core import prefixes
from dunlintide_core import selection
from dunlintide_standins.engine import cache

__all__ = ['EVENTS', 'GUESS', 'LOAD', 'WAYS', 'Result', 'Shape', 'run']

LOAD = 'load'
GUESS = 'guess'
EVENTS = 'events'
WAYS = (LOAD, GUESS, EVENTS)

_RANGES = 3
_CHARACTERS_PER_TOKEN = 4
# Tokens of a team's system prompt, of a user turn and of an answer.
_SYSTEM_TOKENS = 512
_TURN_TOKENS = 192
_DECODED = 64
_TURNS = 6
_TURN_PAUSE = 10.0
_PER_TOKEN = 0.0001
# A decoded token shares its step with those of other sessions.
_PER_DECODED = 0.00002
_BASE = 0.002
_TICK = 1.0
_WARM = 20.0
_WINDOW = 10.0
_NEWS_BYTES = 8


@attrs.frozen
class Shape:
    """Parameters of a run.

    :ivar way: choice by load only (``LOAD``), also by the prefixes that an
        entry expects from its own choices (``GUESS``), or also by cache
        events (``EVENTS``)
    :ivar entries: number of entries; each turn of a session goes to a
        random one
    :ivar replicas: engines of each of the three layer ranges
    :ivar subset: replicas of a layer range that an entry has links to
    :ivar rate: new sessions per second over all entries
    :ivar teams: number of teams; the prompts of a team share a prefix
    :ivar hot: fraction of the sessions that belong to the busiest team
    :ivar lag: seconds before a cache event can be read
    :ivar loss: fraction of cache events that is lost
    :ivar news: maximum prefixes that an agent publishes per second
    :ivar cache_tokens: capacity of each engine's cache in tokens
    :ivar seconds: duration of the measurement after the warm-up
    :ivar seed: seed of all random choices
    :ivar factor: see ``selection.Chooser``
    """

    way: str = EVENTS
    entries: int = 4
    replicas: int = 4
    subset: int = 4
    rate: float = 2.5
    teams: int = 40
    hot: float = 0.2
    lag: float = 1.0
    loss: float = 0.1
    news: int = 8
    cache_tokens: int = 65_536
    seconds: float = 120.0
    seed: int = 1
    factor: float = selection.AFFINITY_FACTOR


@attrs.frozen
class Result:
    """Result of a run after its warm-up.

    :ivar prefilled: fraction of the prompt tokens that stages computed
        instead of finding them in a cache
    :ivar first_token: 95th percentile of the seconds to the first token
    :ivar mean: mean seconds to the first token
    :ivar done: requests per second that got their first token
    :ivar busiest: work of the busiest engine relative to the mean of its
        layer range, in the worst window and range
    :ivar sent: bytes of cache updates per agent, link and second
    :ivar gaps: gaps that agents detected in the sequences of cache events
    """

    prefilled: float
    first_token: float
    mean: float
    done: float
    busiest: float
    sent: float
    gaps: int


@attrs.define(eq=False)
class _Engine:
    name: str
    cache: cache.PrefixCache
    view: prefixes.View
    teller: cacheupdates.Publisher
    free_at: float = 0.0
    work: float = 0.0
    running: int = 0


@attrs.define(eq=False)
class _Entry:
    chooser: selection.Chooser
    map: affinity.AffinityMap
    names: frozenset[str]


def _draw(rng: random.Random, count: int) -> list[int]:
    return [rng.getrandbits(16) for _ in range(count)]


@attrs.define(eq=False)
class _Turn:
    rng: random.Random
    team: int
    session: str
    prompt: list[int]
    left: int
    began: float = 0.0
    entry: _Entry | None = None
    chain: plans.Chain | None = None
    blocks: tuple[int, ...] = ()


class _Model:
    def __init__(self, shape: Shape) -> None:
        self.shape = shape
        self.now = 0.0
        self.rng = random.Random(shape.seed)
        self._events: list[tuple] = []
        self._order = itertools.count()
        self.prefilled = 0
        self.asked = 0
        self.waits: list[float] = []
        self.news = 0
        self.busiest = 0.0
        self.engines: dict[str, _Engine] = {}
        stops = [
            self._add_engine(layer, index)
            for layer in range(_RANGES)
            for index in range(shape.replicas)
        ]
        self.entries = [self._add_entry(stops) for _ in range(shape.entries)]
        # Separate from ``rng``, so that all ways get the same load.
        self.load = random.Random(shape.seed)
        self.starts = [
            _draw(self.load, _SYSTEM_TOKENS) for _ in range(shape.teams)
        ]

    def _add_engine(self, layer: int, index: int) -> plans.Stage:
        shape = self.shape
        name = f'{layer}-{index}'
        held = cache.PrefixCache(
            shape.cache_tokens,
            shape.lag,
            shape.loss,
            lambda: self.now,
            random.Random(self.rng.random()),
        )
        self.engines[name] = _Engine(
            name, held, prefixes.View(), cacheupdates.Publisher(shape.news)
        )
        return plans.Stage(name, layer, layer + 1, 1 / _PER_TOKEN, 'domain')

    def _add_entry(self, stops: list[plans.Stage]) -> _Entry:
        shape = self.shape
        known = []
        for layer in range(_RANGES):
            same = [stop for stop in stops if stop.layer_start == layer]
            known += self.rng.sample(same, min(shape.subset, len(same)))
        known.sort(key=lambda stop: stop.agent)
        chooser = selection.Chooser(shape.factor)
        plan = plans.make_plan(known, _RANGES, plans.Links())
        chooser.adopt(plan, known, _RANGES)
        names = frozenset(stop.agent for stop in known)
        return _Entry(chooser, affinity.AffinityMap(), names)

    def at(self, when: float, call: Callable, *arguments) -> None:
        item = (when, next(self._order), call, arguments)
        heapq.heappush(self._events, item)

    def run(self) -> Result:
        self.at(0.0, self._arrive)
        for engine in self.engines.values():
            self.at(self.rng.random(), self._tick, engine)
        end = _WARM + self.shape.seconds
        self.at(_WARM, self._clear)
        while self._events and self._events[0][0] < end:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self._judge()

    def _clear(self) -> None:
        self.prefilled = self.asked = self.news = 0
        self.waits.clear()
        self._take_shares()
        self.busiest = 0.0
        self.at(self.now + _WINDOW, self._watch)

    def _take_shares(self) -> list[float]:
        """Compute the busiest engine's work of each range and reset it.

        :returns: for each layer range the work of its busiest engine since
            the last call, relative to the mean of the range
        """
        shares = []
        for layer in range(_RANGES):
            works = [
                engine.work
                for name, engine in self.engines.items()
                if name.startswith(f'{layer}-')
            ]
            mean = statistics.mean(works)
            shares.append(max(works) / mean if mean else 0.0)
        for engine in self.engines.values():
            engine.work = 0.0
        return shares

    def _watch(self) -> None:
        self.busiest = max(self.busiest, *self._take_shares())
        self.at(self.now + _WINDOW, self._watch)

    def _judge(self) -> Result:
        waits = sorted(self.waits)
        told = self.news * _NEWS_BYTES / self.shape.seconds
        return Result(
            self.prefilled / self.asked,
            waits[int(0.95 * len(waits))],
            statistics.mean(waits),
            len(waits) / self.shape.seconds,
            self.busiest,
            told / len(self.engines),
            sum(engine.view.gaps for engine in self.engines.values()),
        )

    def _arrive(self) -> None:
        shape = self.shape
        rng = random.Random(self.load.random())
        hot = rng.random() < shape.hot
        team = 0 if hot else rng.randrange(1, shape.teams)
        name = f's{next(self._order)}'
        prompt = self.starts[team] + _draw(rng, _TURN_TOKENS)
        self._ask(_Turn(rng, team, name, prompt, _TURNS))
        pause = rng.expovariate(shape.rate)
        self.at(self.now + pause, self._arrive)

    def _ask(self, turn: _Turn) -> None:
        turn.began = self.now
        turn.entry = turn.rng.choice(self.entries)
        turn.session = f'{turn.session}.{turn.left}'
        text = ''.join(f'{word:04x}' for word in turn.prompt)
        turn.blocks = affinity.hash_blocks(f'salt-{turn.team}', text)
        entry = turn.entry
        holders = {}
        if self.shape.way != LOAD:
            holders = entry.map.find(turn.blocks, self.now)
        chain = entry.chooser.choose(self.now, self.rng, holders=holders)
        turn.chain = chain
        if self.shape.way != LOAD:
            entry.map.record(turn.blocks, chain.agents, self.now)
        entry.chooser.begin(chain)
        self._reach(turn, 0)

    def _reach(self, turn: _Turn, index: int) -> None:
        engine = self.engines[turn.chain.agents[index]]
        engine.running += 1
        count = len(turn.prompt)
        held = prefixes.Prefixes(turn.blocks, count * _CHARACTERS_PER_TOKEN)
        engine.view.add_session(turn.session, held, count)
        salt = f'salt-{turn.team}'
        rest = count - engine.cache.match(turn.session, salt, turn.prompt)
        self.asked += count
        self.prefilled += rest
        begins = max(self.now, engine.free_at)
        ends = begins + _BASE + _PER_TOKEN * rest
        engine.free_at = ends + _PER_DECODED * _DECODED
        engine.work += engine.free_at - begins
        if index + 1 < _RANGES:
            self.at(ends, self._reach, turn, index + 1)
        else:
            self.at(ends, self._answer, turn)

    def _answer(self, turn: _Turn) -> None:
        self.waits.append(self.now - turn.began)
        self.at(self.now + 1.0, self._end, turn)

    def _end(self, turn: _Turn) -> None:
        turn.entry.chooser.end(turn.chain)
        for agent in turn.chain.agents:
            self.engines[agent].running -= 1
        if turn.left > 1:
            rng = turn.rng
            prompt = turn.prompt + _draw(rng, _DECODED + _TURN_TOKENS)
            pause = rng.expovariate(1 / _TURN_PAUSE)
            later = attrs.evolve(turn, prompt=prompt, left=turn.left - 1)
            self.at(self.now + pause, self._ask, later)

    def _tick(self, engine: _Engine) -> None:
        self.at(self.now + _TICK, self._tick, engine)
        report = fleet.LoadReport(running=engine.running)
        for entry in self.entries:
            entry.chooser.report(engine.name, report, self.now)
        if self.shape.way == EVENTS:
            self._tell(engine)

    def _tell(self, engine: _Engine) -> None:
        found = engine.cache.read_events(engine.view.sequence)
        events = [
            prefixes.Event(
                event.sequence,
                event.kind == cache.STORED,
                event.session,
                event.block,
                event.tokens,
            )
            for event in found
        ]
        engine.view.apply_events(events)
        news = engine.teller.publish(engine.view)
        self.news += len(news.held) + len(news.lost)
        for entry in self.entries:
            if engine.name in entry.names:
                entry.map.record(news.held, [engine.name], self.now)
                entry.map.remove(engine.name, news.lost)


def run(shape: Shape) -> Result:
    """Simulate a run and return its result."""
    return _Model(shape).run()
