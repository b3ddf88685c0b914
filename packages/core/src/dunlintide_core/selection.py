"""Selection of a chain for each request.

Two chains are drawn at random, weighted by their shares of the plan, and
the less loaded one is used (the power of two choices). A chain that has
a part of the prompt cached is preferred while its load permits.
"""

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

# Maximum number of chains considered because of cached prefixes.
_MAX_CACHED_CHAINS = 8
# Random draws that may yield an avoided agent before all chains are filtered.
_MAX_DRAWS = 8

# A chain that saves the complete prefill is preferred while its load is within
# this factor of the load of the drawn chain. The factor falls linearly to 1
# with the saved share.
AFFINITY_FACTOR = 2.5

_NO_AGENTS: frozenset[str] = frozenset()
_NO_HOLDERS: Mapping[str, float] = {}


def find_path(
    stages: Iterable[plans.Stage],
    layer_start: int,
    layer_end: int,
    cost: Callable[[plans.Stage], float],
) -> tuple[plans.Stage, ...]:
    """Find the cheapest sequence of stages that covers a range of layers.

    :param stages: stages that may be used
    :param cost: returns the cost of using a stage, 0 or more
    :returns: the stages in order, empty when no path exists
    """
    best: dict[int, float] = {layer_start: 0.0}
    previous: dict[int, plans.Stage] = {}
    # A stage ends above its start, so in the order of starts the cost of a
    # boundary is final before a stage from there is considered.
    for stage in sorted(
        stages, key=lambda stage: (stage.layer_start, stage.agent)
    ):
        if stage.layer_start not in best or stage.layer_end > layer_end:
            continue
        total = best[stage.layer_start] + cost(stage)
        if total < best.get(stage.layer_end, float('inf')):
            best[stage.layer_end] = total
            previous[stage.layer_end] = stage
    path: list[plans.Stage] = []
    boundary = layer_end
    while boundary != layer_start:
        if boundary not in previous:
            return ()
        path.append(previous[boundary])
        boundary = path[-1].layer_start
    return tuple(reversed(path))


def _compute_saving(chain: plans.Chain, holders: Mapping[str, float]) -> float:
    """Compute the share of prefill time that cached prefixes save.

    A stage saves only its own work, which takes longer on a slow stage.

    :param holders: cached fraction of the prompt by agent
    """
    saved = total = 0.0
    for stage in chain.stages:
        seconds = 1.0 / stage.capacity if stage.capacity > 0.0 else 0.0
        total += seconds
        saved += seconds * holders.get(stage.agent, 0.0)
    return saved / total if total else 0.0


@attrs.frozen
class _Table:
    """Chains that may be drawn.

    :ivar cumulative_shares: running sums of the shares of the chains
    :ivar chain_loads: for each chain, the loads of its agents
    :ivar by_agent: indexes of the chains of each agent
    """

    chains: tuple[plans.Chain, ...] = ()
    cumulative_shares: tuple[float, ...] = ()
    chain_loads: tuple[tuple[loads.Load, ...], ...] = ()
    by_agent: Mapping[str, tuple[int, ...]] = attrs.field(factory=dict)


class Chooser:
    """Selects chains by the current plan and the load of the agents."""

    def __init__(self, factor: float = AFFINITY_FACTOR) -> None:
        """Start without a plan.

        :param factor: maximum ratio of the load of a chain that saves the
            complete prefill to the load of the drawn chain
        """
        self._factor = factor
        self._plan = plans.EMPTY
        self._layers = 0
        self._stages: tuple[plans.Stage, ...] = ()
        self._by_agent: dict[str, plans.Stage] = {}
        self._loads: dict[str, loads.Load] = {}
        self._excluded: frozenset[str] = _NO_AGENTS
        self._heads: frozenset[str] | None = None
        self._table = _Table()

    def adopt(
        self, plan: plans.Plan, stages: Iterable[plans.Stage], layers: int
    ) -> None:
        """Replace the plan.

        :param stages: all live endpoints, including those not in the plan
        :param layers: number of layers of the model
        """
        self._plan = plan
        self._stages = tuple(stages)
        self._by_agent = {stage.agent: stage for stage in self._stages}
        self._layers = layers
        saturations = loads.estimate_saturation(plan, self._stages)
        for agent, saturation in saturations.items():
            self._loads.setdefault(
                agent, loads.Load(saturation)
            ).saturation = saturation
        self._prune_loads(stage.agent for stage in self._stages)
        self._build_table()

    def exclude(self, agents: Collection[str]) -> None:
        """Send no new requests to these agents, which are dead or draining."""
        self._excluded = frozenset(agents)
        self._build_table()

    def restrict(self, heads: Collection[str] | None) -> None:
        """Use only these agents as heads; None lifts the restriction."""
        self._heads = None if heads is None else frozenset(heads)
        self._build_table()

    def report(self, agent: str, load: fleet.LoadReport, now: float) -> None:
        """Update the load of an agent with a load report.

        :param now: time in seconds, from which the age of the report counts
        """
        known = self._loads.get(agent)
        if known is not None:
            known.others = max(0.0, load.running + load.queued - known.own)
            known.reported_at = now - load.age

    def choose(
        self,
        now: float,
        rng: random.Random,
        avoid: Collection[str] = _NO_AGENTS,
        holders: Mapping[str, float] = _NO_HOLDERS,
    ) -> plans.Chain | None:
        """Choose the chain for one request.

        :param now: time in seconds
        :param avoid: agents that this request must not use
        :param holders: by agent, the fraction of the prompt, from its
            start, that the agent has cached
        :returns: None when no usable chain covers all layers
        """
        chosen = self._choose_by_load(now, rng, avoid)
        if chosen is None or not holders:
            return chosen
        chosen_saving = _compute_saving(chosen, holders)
        savings = [
            (_compute_saving(chain, holders), chain)
            for chain in self._list_cached(holders, avoid)
        ]
        savings.sort(key=lambda saving: -saving[0])
        for saved, chain in savings:
            if saved <= chosen_saving:
                break
            if self._is_worthwhile(chain, saved - chosen_saving, chosen, now):
                return chain
        return chosen

    def begin(self, chain: plans.Chain) -> None:
        """Count a request as in flight on a chain."""
        for stage in chain.stages:
            load = self._loads.get(stage.agent)
            if load is not None:
                load.own += 1

    def end(self, chain: plans.Chain) -> None:
        """Count a request on a chain as ended, with any outcome."""
        for stage in chain.stages:
            load = self._loads.get(stage.agent)
            if load is not None and load.own > 0:
                load.own -= 1

    def score_chain(self, chain: plans.Chain, now: float) -> float:
        """Return the load of a chain; at 1 its fullest endpoint is just busy.

        :param now: time in seconds
        """
        found = (self._loads.get(stage.agent) for stage in chain.stages)
        return loads.score([load for load in found if load is not None], now)

    def count_in_flight(self) -> Mapping[str, int]:
        """Return the requests of this process in flight by agent."""
        return {name: load.own for name, load in self._loads.items()}

    def list_reported(self) -> Mapping[str, float]:
        """Return the last reported requests of other processes by agent."""
        return {name: load.others for name, load in self._loads.items()}

    def _prune_loads(self, live: Iterable[str]) -> None:
        kept = set(live)
        for name in [name for name in self._loads if name not in kept]:
            if not self._loads[name].own:
                del self._loads[name]

    def _is_usable(self, chain: plans.Chain) -> bool:
        if not self._excluded.isdisjoint(chain.agents):
            return False
        return self._heads is None or chain.agents[0] in self._heads

    def _build_table(self) -> None:
        chains = tuple(
            chain for chain in self._plan.chains if self._is_usable(chain)
        )
        cumulative_shares = itertools.accumulate(
            chain.share for chain in chains
        )
        chain_loads = tuple(
            tuple(self._loads[agent] for agent in chain.agents)
            for chain in chains
        )
        by_agent: dict[str, list[int]] = {}
        for index, chain in enumerate(chains):
            for agent in chain.agents:
                by_agent.setdefault(agent, []).append(index)
        self._table = _Table(
            chains,
            tuple(cumulative_shares),
            chain_loads,
            {agent: tuple(found) for agent, found in by_agent.items()},
        )

    def _choose_by_load(
        self, now: float, rng: random.Random, avoid: Collection[str]
    ) -> plans.Chain | None:
        """Choose the less loaded of two random chains of the plan."""
        table = self._table
        if not table.chains:
            return self._find_fallback(now, avoid)
        first = self._draw(table, rng, avoid)
        if first is None:
            return self._choose_not_avoided(now, avoid)
        second = self._draw(table, rng, avoid)
        if second is None or second == first:
            return table.chains[first]
        if loads.score(table.chain_loads[second], now) < loads.score(
            table.chain_loads[first], now
        ):
            first = second
        return table.chains[first]

    def _list_cached(
        self, holders: Mapping[str, float], avoid: Collection[str]
    ) -> Iterator[plans.Chain]:
        """Yield a few planned chains, those of the best holders first."""
        table = self._table
        best = sorted(holders, key=holders.__getitem__, reverse=True)
        found: dict[int, None] = {}
        for agent in best:
            found.update(dict.fromkeys(table.by_agent.get(agent, ())))
            if len(found) >= _MAX_CACHED_CHAINS:
                break
        for index in itertools.islice(found, _MAX_CACHED_CHAINS):
            chain = table.chains[index]
            if not avoid or not any(one in avoid for one in chain.agents):
                yield chain

    def _is_worthwhile(
        self,
        chain: plans.Chain,
        saved: float,
        other: plans.Chain,
        now: float,
    ) -> bool:
        """Return whether the saved prefill outweighs the load of a chain.

        :param saved: share of the prefill that the chain saves beyond the
            drawn chain
        :param other: the drawn chain
        """
        factor = 1.0 + (self._factor - 1.0) * saved
        # A single request on an idle chain must not exceed the limit.
        slack = 1.0 / min(
            self._loads[name].saturation for name in chain.agents
        )
        limit = factor * self.score_chain(other, now) + slack
        return self.score_chain(chain, now) <= limit

    def _draw(
        self, table: _Table, rng: random.Random, avoid: Collection[str]
    ) -> int | None:
        """Draw the index of a chain, weighted by share.

        :returns: None if all draws yield chains with avoided agents
        """
        total = table.cumulative_shares[-1]
        last = len(table.cumulative_shares) - 1
        for _ in range(_MAX_DRAWS if avoid else 1):
            index = bisect.bisect(
                table.cumulative_shares, rng.random() * total, 0, last
            )
            if not avoid or not any(
                agent in avoid for agent in table.chains[index].agents
            ):
                return index
        return None

    def _choose_not_avoided(
        self, now: float, avoid: Collection[str]
    ) -> plans.Chain | None:
        """Choose the least loaded planned chain without avoided agents."""
        rest = [
            index
            for index, chain in enumerate(self._table.chains)
            if not any(agent in avoid for agent in chain.agents)
        ]
        if not rest:
            return self._find_fallback(now, avoid)
        best = min(
            rest,
            key=lambda index: loads.score(self._table.chain_loads[index], now),
        )
        return self._table.chains[best]

    def _find_fallback(
        self, now: float, avoid: Collection[str]
    ) -> plans.Chain | None:
        """Find a chain of live endpoints without using the plan."""
        usable = [
            stage for stage in self._stages if self._is_eligible(stage, avoid)
        ]
        path = find_path(
            usable,
            0,
            self._layers,
            lambda stage: (1 + self._loads[stage.agent].own) / stage.capacity,
        )
        return plans.Chain(path) if path else None

    def _is_eligible(self, stage: plans.Stage, avoid: Collection[str]) -> bool:
        if stage.agent in self._excluded or stage.agent in avoid:
            return False
        if stage.layer_start > 0 or self._heads is None:
            return stage.capacity > 0.0
        return stage.agent in self._heads and stage.capacity > 0.0
