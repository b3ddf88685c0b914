"""Plans of all model versions, computed in the background.

Planning takes tens of milliseconds for a large fleet, so no request waits
for it. Until the next plan takes account of a lost agent, the caller
replaces a planned chain that contains it by one that it builds itself.
"""

import collections
import random
import time
from typing import Any, Collection, Iterable, Sequence

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import cacheupdates
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import modelplanning

__all__ = [
    'Planner',
]

REFRESH_SECONDS = 0.2
# Bound on cache updates kept for each agent that is not in a plan yet.
_MAX_EARLY_UPDATES = 8

_ModelVersion = tuple[str, str]


class Planner:
    """Plans the chains of all configured model versions."""

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        rng: random.Random,
        round_robin: bool = False,
    ) -> None:
        """Initialize without plans.

        :param rng: random source of the choice of chains
        :param round_robin: choose endpoints by round robin instead of by
            plan, as a baseline
        """
        self._fleet = fleet_view
        self._rng = rng
        self._round_robin = round_robin
        # Written by the refreshing thread only; each change is atomic, so
        # that readers need no lock.
        self._model_planners: dict[
            _ModelVersion, modelplanning.ModelPlanner
        ] = {}
        self._planners_by_agent: dict[str, modelplanning.ModelPlanner] = {}
        # Cache updates of agents that are not in a plan yet.
        self._early_updates: dict[
            str, collections.deque[modelplanning.TimedCacheUpdate]
        ] = {}

    def refresh(self, snapshot: configuration.Snapshot) -> None:
        """Refresh the planner of each model version.

        Called by the background thread only.
        """
        for model in snapshot.models.values():
            key = (model.name, model.version)
            model_planner = self._model_planners.get(key)
            if model_planner is None or model_planner.layers != model.layers:
                model_planner = modelplanning.ModelPlanner(
                    model.layers, self._round_robin
                )
                self._model_planners = self._model_planners | {
                    key: model_planner
                }
            agents = self._fleet.list_engines(*key)
            model_planner.refresh(agents, time.monotonic())
            for agent in agents:
                self._planners_by_agent[agent.peer.name] = model_planner
                for early in self._early_updates.pop(agent.peer.name, ()):
                    model_planner.enqueue(early)

    def choose(
        self,
        model: str,
        version: str,
        avoid: Collection[chains.AgentInstance],
        blocks: Sequence[int] = (),
    ) -> chains.Chain | None:
        """Choose a chain by the plan.

        :param avoid: agents to exclude
        :param blocks: hashes of the prompt's blocks
        :returns: None if there is no plan, or an agent of the chosen chain
            is not usable
        """
        model_planner = self._model_planners.get((model, version))
        if model_planner is None:
            return None
        names = {name for name, _ in avoid}
        found = model_planner.choose(self._rng, names, blocks)
        if found is None:
            return None
        return self._fleet.pick_usable(found.agents)

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Count the requests in flight on a chain.

        :param names: names of the agents of the chain
        :param amount: 1 when a request starts, -1 when it ends
        """
        names = tuple(names)
        model_planner = (
            self._planners_by_agent.get(names[0]) if names else None
        )
        if model_planner is not None:
            model_planner.add_work(names, amount)

    def record_load(self, agent: fleet.Agent) -> None:
        """Queue the last load report of an agent."""
        model_planner = self._planners_by_agent.get(agent.peer.name)
        if model_planner is not None:
            timed_load = modelplanning.TimedLoad(
                agent.peer.name, agent.load, agent.reported_at
            )
            model_planner.enqueue(timed_load)

    def record_cache_update(self, name: str, news: link_pb2.CacheNews) -> None:
        """Queue a prefix cache update of an agent."""
        update = modelplanning.TimedCacheUpdate(
            name,
            cacheupdates.Update(tuple(news.held), tuple(news.lost), news.all),
            time.monotonic(),
        )
        model_planner = self._planners_by_agent.get(name)
        if model_planner is not None:
            model_planner.enqueue(update)
            return
        empty = collections.deque(maxlen=_MAX_EARLY_UPDATES)
        self._early_updates.setdefault(name, empty).append(update)

    def record_interval(
        self, names: tuple[str, ...], interval: float, now: float
    ) -> None:
        """Queue the mean token interval of a request.

        :param names: names of the agents of the chain
        :param interval: in seconds
        :param now: monotonic time in seconds
        """
        model_planner = self._planners_by_agent.get(names[0])
        if model_planner is not None:
            model_planner.enqueue(
                modelplanning.TokenInterval(names, interval, now)
            )

    def count_prompts(self) -> tuple[int, int]:
        """Return how many prompts there were, and how many had a known prefix.

        :returns: all prompts, and those of which an agent is known to
            cache a prefix
        """
        counts = [one.count_prompts() for one in self._model_planners.values()]
        return sum(total for total, _ in counts), sum(one for _, one in counts)

    def describe(self) -> list[dict[str, Any]]:
        """Return the state of each model version for a dump."""
        return [
            {'model': model, 'version': version} | model_planner.describe()
            for (model, version), model_planner in self._model_planners.items()
        ]
