"""Choice of a chain for each request: two drawn by share, one kept."""

import bisect
from collections.abc import Collection, Iterable, Iterator, Mapping
import itertools
import random
from typing import Callable

import attrs

from dunlintide_core import fleet
from dunlintide_core import loads
from dunlintide_core import plan as plans

__all__ = [
    'Chooser',
    'find_path',
]

# Chains that are weighed because they hold a part of a prompt.
_HOLDING = 8
# Draws that may hit an avoided agent before the chains are filtered.
_DRAWS = 8

# A chain that saves the whole prefill is taken while its load is within
# this factor of the one drawn; a part of the prefill counts for less.
AFFINITY_FACTOR = 2.5

_NOTHING: frozenset[str] = frozenset()
_NOBODY: Mapping[str, float] = {}


def find_path(
    stops: Iterable[plans.Stop],
    layer_start: int,
    layer_end: int,
    cost: Callable[[plans.Stop], float],
) -> tuple[plans.Stop, ...]:
    """Find the cheapest endpoints that tile a range of layers.

    :param stops: endpoints that may be used
    :param cost: what it costs to pass through one, at least 0
    :returns: the stops in order, empty when no path exists
    """
    best: dict[int, float] = {layer_start: 0.0}
    came: dict[int, plans.Stop] = {}
    # Every stop leads upwards, so the order of starts settles each
    # boundary before it is left.
    for stop in sorted(stops, key=lambda stop: (stop.layer_start, stop.agent)):
        if stop.layer_start not in best or stop.layer_end > layer_end:
            continue
        total = best[stop.layer_start] + cost(stop)
        if total < best.get(stop.layer_end, float('inf')):
            best[stop.layer_end] = total
            came[stop.layer_end] = stop
    path: list[plans.Stop] = []
    boundary = layer_end
    while boundary != layer_start:
        if boundary not in came:
            return ()
        path.append(came[boundary])
        boundary = path[-1].layer_start
    return tuple(reversed(path))


def _tell_saved(chain: plans.Chain, holders: Mapping[str, float]) -> float:
    """Give the share of a prompt's prefill that caches save.

    A stage saves its own work only, which takes longer on a slow one.
    """
    saved = total = 0.0
    for stop in chain.stops:
        seconds = 1.0 / stop.capacity if stop.capacity > 0.0 else 0.0
        total += seconds
        saved += seconds * holders.get(stop.agent, 0.0)
    return saved / total if total else 0.0


@attrs.frozen
class _Table:
    """Chains that may be drawn, with running sums of their shares."""

    chains: tuple[plans.Chain, ...] = ()
    sums: tuple[float, ...] = ()
    loaded: tuple[tuple[loads.Load, ...], ...] = ()
    by_agent: Mapping[str, tuple[int, ...]] = attrs.field(factory=dict)


class Chooser:
    """Outstanding work of each agent, and the plan that is in force."""

    def __init__(self, factor: float = AFFINITY_FACTOR) -> None:
        """Begin without a plan.

        :param factor: load that a chain which saves the whole prefill
            may have, against the one drawn
        """
        self._factor = factor
        self._plan = plans.EMPTY
        self._layers = 0
        self._stops: tuple[plans.Stop, ...] = ()
        self._by_agent: dict[str, plans.Stop] = {}
        self._loads: dict[str, loads.Load] = {}
        self._excluded: frozenset[str] = _NOTHING
        self._heads: frozenset[str] | None = None
        self._table = _Table()

    def adopt(
        self, plan: plans.Plan, stops: Iterable[plans.Stop], layers: int
    ) -> None:
        """Put a plan in force.

        :param stops: all live endpoints, also those outside the plan
        :param layers: number of layers of the model
        """
        self._plan = plan
        self._stops = tuple(stops)
        self._by_agent = {stop.agent: stop for stop in self._stops}
        self._layers = layers
        rooms = loads.expect_rooms(plan, self._stops)
        for agent, room in rooms.items():
            self._loads.setdefault(agent, loads.Load(room)).room = room
        self._forget(stop.agent for stop in self._stops)
        self._build()

    def exclude(self, agents: Collection[str]) -> None:
        """Give these agents no new work: the dead and the leaving."""
        self._excluded = frozenset(agents)
        self._build()

    def restrict(self, heads: Collection[str] | None) -> None:
        """Use only these agents as heads; None lifts the restriction."""
        self._heads = None if heads is None else frozenset(heads)
        self._build()

    def report(self, agent: str, load: fleet.LoadReport, now: float) -> None:
        """Take a load report of an agent.

        :param now: time in seconds; the report's age is counted from it
        """
        known = self._loads.get(agent)
        if known is not None:
            known.others = max(0.0, load.running + load.queued - known.own)
            known.reported = now - load.age

    def choose(
        self,
        now: float,
        rng: random.Random,
        avoid: Collection[str] = _NOTHING,
        holders: Mapping[str, float] = _NOBODY,
    ) -> plans.Chain | None:
        """Choose the chain for one request; None when nothing tiles.

        :param now: time in seconds
        :param avoid: agents that this request must not meet again
        :param holders: share of its prompt's start that agents hold
        """
        chosen = self._choose_by_load(now, rng, avoid)
        if chosen is None or not holders:
            return chosen
        least = _tell_saved(chosen, holders)
        savings = [
            (_tell_saved(chain, holders), chain)
            for chain in self._list_holding(holders, avoid)
        ]
        savings.sort(key=lambda saving: -saving[0])
        for saved, chain in savings:
            if saved <= least:
                break
            if self._is_worth(chain, saved - least, chosen, now):
                return chain
        return chosen

    def begin(self, chain: plans.Chain) -> None:
        """Count a request that was sent along a chain."""
        for stop in chain.stops:
            load = self._loads.get(stop.agent)
            if load is not None:
                load.own += 1

    def end(self, chain: plans.Chain) -> None:
        """Count a request as over, whatever became of it."""
        for stop in chain.stops:
            load = self._loads.get(stop.agent)
            if load is not None and load.own > 0:
                load.own -= 1

    def load_of(self, chain: plans.Chain, now: float) -> float:
        """Give a chain's outstanding work; 1 keeps it just busy."""
        found = (self._loads.get(stop.agent) for stop in chain.stops)
        return loads.score([load for load in found if load is not None], now)

    def in_flight(self) -> Mapping[str, int]:
        """Give this process's requests in flight by agent."""
        return {name: load.own for name, load in self._loads.items()}

    def reported(self) -> Mapping[str, float]:
        """Give other processes' requests by agent, as last reported."""
        return {name: load.others for name, load in self._loads.items()}

    def _forget(self, live: Iterable[str]) -> None:
        kept = set(live)
        for name in [name for name in self._loads if name not in kept]:
            if not self._loads[name].own:
                del self._loads[name]

    def _usable(self, chain: plans.Chain) -> bool:
        if not self._excluded.isdisjoint(chain.agents):
            return False
        return self._heads is None or chain.agents[0] in self._heads

    def _build(self) -> None:
        chains = tuple(
            chain for chain in self._plan.chains if self._usable(chain)
        )
        sums = itertools.accumulate(chain.share for chain in chains)
        loaded = tuple(
            tuple(self._loads[agent] for agent in chain.agents)
            for chain in chains
        )
        by_agent: dict[str, list[int]] = {}
        for index, chain in enumerate(chains):
            for agent in chain.agents:
                by_agent.setdefault(agent, []).append(index)
        self._table = _Table(
            chains,
            tuple(sums),
            loaded,
            {agent: tuple(found) for agent, found in by_agent.items()},
        )

    def _choose_by_load(
        self, now: float, rng: random.Random, avoid: Collection[str]
    ) -> plans.Chain | None:
        table = self._table
        if not table.chains:
            return self._improvise(now, avoid)
        first = self._draw(table, rng, avoid)
        if first is None:
            return self._choose_among_rest(now, avoid)
        second = self._draw(table, rng, avoid)
        if second is None or second == first:
            return table.chains[first]
        if loads.score(table.loaded[second], now) < loads.score(
            table.loaded[first], now
        ):
            first = second
        return table.chains[first]

    def _list_holding(
        self, holders: Mapping[str, float], avoid: Collection[str]
    ) -> Iterator[plans.Chain]:
        """List a few chains of the plan, those of the best holders first."""
        table = self._table
        best = sorted(holders, key=holders.__getitem__, reverse=True)
        found: dict[int, None] = {}
        for agent in best:
            found.update(dict.fromkeys(table.by_agent.get(agent, ())))
            if len(found) >= _HOLDING:
                break
        for index in itertools.islice(found, _HOLDING):
            chain = table.chains[index]
            if not avoid or not any(one in avoid for one in chain.agents):
                yield chain

    def _is_worth(
        self,
        chain: plans.Chain,
        saved: float,
        other: plans.Chain,
        now: float,
    ) -> bool:
        factor = 1.0 + (self._factor - 1.0) * saved
        # One more request on an idle chain must not undo its affinity.
        slack = 1.0 / min(self._loads[name].room for name in chain.agents)
        limit = factor * self.load_of(other, now) + slack
        return self.load_of(chain, now) <= limit

    def _draw(
        self, table: _Table, rng: random.Random, avoid: Collection[str]
    ) -> int | None:
        total = table.sums[-1]
        last = len(table.sums) - 1
        for _ in range(_DRAWS if avoid else 1):
            index = bisect.bisect(table.sums, rng.random() * total, 0, last)
            if not avoid or not any(
                agent in avoid for agent in table.chains[index].agents
            ):
                return index
        return None

    def _choose_among_rest(
        self, now: float, avoid: Collection[str]
    ) -> plans.Chain | None:
        rest = [
            index
            for index, chain in enumerate(self._table.chains)
            if not any(agent in avoid for agent in chain.agents)
        ]
        if not rest:
            return self._improvise(now, avoid)
        best = min(
            rest, key=lambda index: loads.score(self._table.loaded[index], now)
        )
        return self._table.chains[best]

    def _improvise(
        self, now: float, avoid: Collection[str]
    ) -> plans.Chain | None:
        """Tile the layers with whatever lives, without a plan."""
        usable = [stop for stop in self._stops if self._may_visit(stop, avoid)]
        path = find_path(
            usable,
            0,
            self._layers,
            lambda stop: (1 + self._loads[stop.agent].own) / stop.capacity,
        )
        return plans.Chain(path) if path else None

    def _may_visit(self, stop: plans.Stop, avoid: Collection[str]) -> bool:
        if stop.agent in self._excluded or stop.agent in avoid:
            return False
        if stop.layer_start > 0 or self._heads is None:
            return stop.capacity > 0.0
        return stop.agent in self._heads and stop.capacity > 0.0
