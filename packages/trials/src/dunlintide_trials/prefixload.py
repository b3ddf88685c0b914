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

__all__ = ['EVENTS', 'GUESS', 'LOAD', 'POLICIES', 'Result', 'Scenario', 'run']

LOAD = 'load'
GUESS = 'guess'
EVENTS = 'events'
POLICIES = (LOAD, GUESS, EVENTS)

_RANGES = 3
_CHARACTERS_PER_TOKEN = 4
# Tokens of a team's system prompt, of a user turn and of an answer.
_SYSTEM_TOKENS = 512
_TURN_TOKENS = 192
_ANSWER_TOKENS = 64
_TURNS = 6
_TURN_PAUSE_SECONDS = 10.0
_PREFILL_TOKEN_SECONDS = 0.0001
# A decoded token shares its step with those of other sessions.
_DECODE_TOKEN_SECONDS = 0.00002
_STEP_SECONDS = 0.002
_REPORT_SECONDS = 1.0
_WARM_UP_SECONDS = 20.0
_WINDOW_SECONDS = 10.0
_HASH_BYTES = 8


@attrs.frozen
class Scenario:
    """Parameters of a run.

    :ivar policy: choice by load only (``LOAD``), also by the prefixes that an
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

    policy: str = EVENTS
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
    publisher: cacheupdates.Publisher
    free_at: float = 0.0
    work: float = 0.0
    running: int = 0


@attrs.define(eq=False)
class _Entry:
    chooser: selection.Chooser
    map: affinity.AffinityMap
    names: frozenset[str]


def _draw_tokens(rng: random.Random, count: int) -> list[int]:
    return [rng.getrandbits(16) for _ in range(count)]


@attrs.define(eq=False)
class _Turn:
    rng: random.Random
    team: int
    session: str
    prompt: list[int]
    turns_left: int
    started_at: float = 0.0
    entry: _Entry | None = None
    chain: plans.Chain | None = None
    blocks: tuple[int, ...] = ()


class _Model:
    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.now = 0.0
        self.rng = random.Random(scenario.seed)
        self._events: list[tuple] = []
        self._order = itertools.count()
        self.prefilled = 0
        self.asked = 0
        self.first_token_seconds: list[float] = []
        self.news = 0
        self.busiest = 0.0
        self.engines: dict[str, _Engine] = {}
        plan_stages = [
            self._add_engine(layer, index)
            for layer in range(_RANGES)
            for index in range(scenario.replicas)
        ]
        self.entries = [
            self._add_entry(plan_stages) for _ in range(scenario.entries)
        ]
        # Separate from ``rng``, so that all ways get the same load.
        self.load_rng = random.Random(scenario.seed)
        self.system_prompts = [
            _draw_tokens(self.load_rng, _SYSTEM_TOKENS)
            for _ in range(scenario.teams)
        ]

    def _add_engine(self, layer: int, index: int) -> plans.Stage:
        scenario = self.scenario
        name = f'{layer}-{index}'
        engine_cache = cache.PrefixCache(
            scenario.cache_tokens,
            scenario.lag,
            scenario.loss,
            lambda: self.now,
            random.Random(self.rng.random()),
        )
        self.engines[name] = _Engine(
            name,
            engine_cache,
            prefixes.View(),
            cacheupdates.Publisher(scenario.news),
        )
        return plans.Stage(
            name, layer, layer + 1, 1 / _PREFILL_TOKEN_SECONDS, 'domain'
        )

    def _add_entry(self, plan_stages: list[plans.Stage]) -> _Entry:
        scenario = self.scenario
        known = []
        for layer in range(_RANGES):
            same = [
                stage for stage in plan_stages if stage.layer_start == layer
            ]
            known += self.rng.sample(same, min(scenario.subset, len(same)))
        known.sort(key=lambda stage: stage.agent)
        chooser = selection.Chooser(scenario.factor)
        plan = plans.make_plan(known, _RANGES, plans.Links())
        chooser.adopt(plan, known, _RANGES)
        names = frozenset(stage.agent for stage in known)
        return _Entry(chooser, affinity.AffinityMap(), names)

    def schedule(self, when: float, call: Callable, *arguments) -> None:
        item = (when, next(self._order), call, arguments)
        heapq.heappush(self._events, item)

    def run(self) -> Result:
        self.schedule(0.0, self._start_session)
        for engine in self.engines.values():
            self.schedule(self.rng.random(), self._report_load, engine)
        end = _WARM_UP_SECONDS + self.scenario.seconds
        self.schedule(_WARM_UP_SECONDS, self._start_measurement)
        while self._events and self._events[0][0] < end:
            self.now, _, call, arguments = heapq.heappop(self._events)
            call(*arguments)
        return self._build_result()

    def _start_measurement(self) -> None:
        self.prefilled = self.asked = self.news = 0
        self.first_token_seconds.clear()
        self._reset_work()
        self.busiest = 0.0
        self.schedule(self.now + _WINDOW_SECONDS, self._record_busiest)

    def _reset_work(self) -> list[float]:
        """Compute the busiest engine's work of each range and reset it.

        :returns: for each layer range the work of its busiest engine since
            the last call, relative to the mean of the range
        """
        relative_work = []
        for layer in range(_RANGES):
            range_work = [
                engine.work
                for name, engine in self.engines.items()
                if name.startswith(f'{layer}-')
            ]
            mean = statistics.mean(range_work)
            relative_work.append(max(range_work) / mean if mean else 0.0)
        for engine in self.engines.values():
            engine.work = 0.0
        return relative_work

    def _record_busiest(self) -> None:
        self.busiest = max(self.busiest, *self._reset_work())
        self.schedule(self.now + _WINDOW_SECONDS, self._record_busiest)

    def _build_result(self) -> Result:
        first_token_seconds = sorted(self.first_token_seconds)
        update_bytes = self.news * _HASH_BYTES / self.scenario.seconds
        return Result(
            self.prefilled / self.asked,
            first_token_seconds[int(0.95 * len(first_token_seconds))],
            statistics.mean(first_token_seconds),
            len(first_token_seconds) / self.scenario.seconds,
            self.busiest,
            update_bytes / len(self.engines),
            sum(engine.view.gaps for engine in self.engines.values()),
        )

    def _start_session(self) -> None:
        scenario = self.scenario
        rng = random.Random(self.load_rng.random())
        hot = rng.random() < scenario.hot
        team = 0 if hot else rng.randrange(1, scenario.teams)
        name = f's{next(self._order)}'
        prompt = self.system_prompts[team] + _draw_tokens(rng, _TURN_TOKENS)
        self._start_turn(_Turn(rng, team, name, prompt, _TURNS))
        pause = rng.expovariate(scenario.rate)
        self.schedule(self.now + pause, self._start_session)

    def _start_turn(self, turn: _Turn) -> None:
        turn.started_at = self.now
        turn.entry = turn.rng.choice(self.entries)
        turn.session = f'{turn.session}.{turn.turns_left}'
        text = ''.join(f'{word:04x}' for word in turn.prompt)
        turn.blocks = affinity.hash_blocks(f'salt-{turn.team}', text)
        entry = turn.entry
        holders = {}
        if self.scenario.policy != LOAD:
            holders = entry.map.find(turn.blocks, self.now)
        chain = entry.chooser.choose(self.now, self.rng, holders=holders)
        turn.chain = chain
        if self.scenario.policy != LOAD:
            entry.map.record(turn.blocks, chain.agents, self.now)
        entry.chooser.begin(chain)
        self._prefill(turn, 0)

    def _prefill(self, turn: _Turn, index: int) -> None:
        engine = self.engines[turn.chain.agents[index]]
        engine.running += 1
        count = len(turn.prompt)
        prompt_prefixes = prefixes.Prefixes(
            turn.blocks, count * _CHARACTERS_PER_TOKEN
        )
        engine.view.add_session(turn.session, prompt_prefixes, count)
        salt = f'salt-{turn.team}'
        uncached = count - engine.cache.match(turn.session, salt, turn.prompt)
        self.asked += count
        self.prefilled += uncached
        start = max(self.now, engine.free_at)
        end = start + _STEP_SECONDS + _PREFILL_TOKEN_SECONDS * uncached
        engine.free_at = end + _DECODE_TOKEN_SECONDS * _ANSWER_TOKENS
        engine.work += engine.free_at - start
        if index + 1 < _RANGES:
            self.schedule(end, self._prefill, turn, index + 1)
        else:
            self.schedule(end, self._record_first_token, turn)

    def _record_first_token(self, turn: _Turn) -> None:
        self.first_token_seconds.append(self.now - turn.started_at)
        self.schedule(self.now + 1.0, self._end_turn, turn)

    def _end_turn(self, turn: _Turn) -> None:
        turn.entry.chooser.end(turn.chain)
        for agent in turn.chain.agents:
            self.engines[agent].running -= 1
        if turn.turns_left > 1:
            rng = turn.rng
            prompt = turn.prompt + _draw_tokens(
                rng, _ANSWER_TOKENS + _TURN_TOKENS
            )
            pause = rng.expovariate(1 / _TURN_PAUSE_SECONDS)
            next_turn = attrs.evolve(
                turn, prompt=prompt, turns_left=turn.turns_left - 1
            )
            self.schedule(self.now + pause, self._start_turn, next_turn)

    def _report_load(self, engine: _Engine) -> None:
        self.schedule(self.now + _REPORT_SECONDS, self._report_load, engine)
        report = fleet.LoadReport(running=engine.running)
        for entry in self.entries:
            entry.chooser.report(engine.name, report, self.now)
        if self.scenario.policy == EVENTS:
            self._publish_updates(engine)

    def _publish_updates(self, engine: _Engine) -> None:
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
        news = engine.publisher.publish(engine.view)
        self.news += len(news.held) + len(news.lost)
        for entry in self.entries:
            if engine.name in entry.names:
                entry.map.record(news.held, [engine.name], self.now)
                entry.map.remove(engine.name, news.lost)


def run(scenario: Scenario) -> Result:
    """Simulate a run and return its result."""
    return _Model(scenario).run()
