"""Plans of all models: made in the background, chosen from by requests.

A plan takes tens of milliseconds for a large fleet, so no request waits
for one. Until the plan follows a change of the fleet, a chain that has
lost an agent is replaced by one tiled on the spot.
"""

import collections
import random
import time
from typing import Any, Collection, Iterable, Sequence

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import cachenews
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import modelplanning

__all__ = [
    'Planner',
]

REFRESH_SECONDS = 0.2
_MAX_EARLY_UPDATES = 8

_ModelVersion = tuple[str, str]


class Planner:
    """Plans of all model versions that are served."""

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        rng: random.Random,
        round_robin: bool = False,
    ) -> None:
        """Begin without plans.

        :param rng: draws the chains
        :param round_robin: take endpoints in turn instead, as a baseline
        """
        self._fleet = fleet_view
        self._rng = rng
        self._round_robin = round_robin
        # One thread writes these, and each change is one assignment.
        self._model_planners: dict[
            _ModelVersion, modelplanning.ModelPlanner
        ] = {}
        self._planners_by_agent: dict[str, modelplanning.ModelPlanner] = {}
        # News of agents that no plan knows yet.
        self._early_updates: dict[
            str, collections.deque[modelplanning.TimedCacheUpdate]
        ] = {}

    def refresh(self, snapshot: configuration.Snapshot) -> None:
        """Learn, and plan where that is due; for one thread only."""
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
        """Choose a chain by the plan; None when it has none that lives.

        :param avoid: agents that are not to be chosen
        :param blocks: hashes of the prompt's blocks
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
        """Count a chain's requests: 1 when one begins, -1 when it ends."""
        names = tuple(names)
        model_planner = (
            self._planners_by_agent.get(names[0]) if names else None
        )
        if model_planner is not None:
            model_planner.add_work(names, amount)

    def record_load(self, agent: fleet.Agent) -> None:
        """Take the load that an agent has just reported."""
        model_planner = self._planners_by_agent.get(agent.peer.name)
        if model_planner is not None:
            timed_load = modelplanning.TimedLoad(
                agent.peer.name, agent.load, agent.reported_at
            )
            model_planner.enqueue(timed_load)

    def record_cache_update(self, name: str, news: link_pb2.CacheNews) -> None:
        """Take an agent's news of its engine's cache."""
        update = modelplanning.TimedCacheUpdate(
            name,
            cachenews.News(tuple(news.held), tuple(news.lost), news.all),
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
        """Take the mean time between some tokens of a request.

        :param interval: in seconds
        :param now: monotonic time in seconds
        """
        model_planner = self._planners_by_agent.get(names[0])
        if model_planner is not None:
            model_planner.enqueue(
                modelplanning.TokenInterval(names, interval, now)
            )

    def count_prompts(self) -> tuple[int, int]:
        """Count prompts, and those with a known holder of their start."""
        counts = [one.count_prompts() for one in self._model_planners.values()]
        return sum(total for total, _ in counts), sum(one for _, one in counts)

    def describe(self) -> list[dict[str, Any]]:
        """Return the state for a dump."""
        return [
            {'model': model, 'version': version} | model_planner.describe()
            for (model, version), model_planner in self._model_planners.items()
        ]
