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
from dunlintide_core import cacheupdates
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet
from dunlintide_daemon.entry import learning

__all__ = [
    'Planner',
]

REFRESH_SECONDS = 0.2
_EARLY = 8

_Key = tuple[str, str]


class Planner:
    """Plans of all model versions that are served."""

    def __init__(
        self,
        fleet_view: fleet.Fleet,
        rng: random.Random,
        in_turn: bool = False,
    ) -> None:
        """Begin without plans.

        :param rng: draws the chains
        :param in_turn: take endpoints in turn instead, as a baseline
        """
        self._fleet = fleet_view
        self._rng = rng
        self._in_turn = in_turn
        # One thread writes these, and each change is one assignment.
        self._learners: dict[_Key, learning.Learner] = {}
        self._by_agent: dict[str, learning.Learner] = {}
        # News of agents that no plan knows yet.
        self._early: dict[str, collections.deque[learning.News]] = {}

    def refresh(self, snapshot: configuration.Snapshot) -> None:
        """Learn, and plan where that is due; for one thread only."""
        for model in snapshot.models.values():
            key = (model.name, model.version)
            learner = self._learners.get(key)
            if learner is None or learner.layers != model.layers:
                learner = learning.Learner(model.layers, self._in_turn)
                self._learners = self._learners | {key: learner}
            agents = self._fleet.list_engines(*key)
            learner.refresh(agents, time.monotonic())
            for agent in agents:
                self._by_agent[agent.peer.name] = learner
                for news in self._early.pop(agent.peer.name, ()):
                    learner.note(news)

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
        learner = self._learners.get((model, version))
        if learner is None:
            return None
        names = {name for name, _ in avoid}
        found = learner.choose(self._rng, names, blocks)
        if found is None:
            return None
        return self._fleet.pick_usable(found.agents)

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Count a chain's requests: 1 when one begins, -1 when it ends."""
        names = tuple(names)
        learner = self._by_agent.get(names[0]) if names else None
        if learner is not None:
            learner.add_work(names, amount)

    def report(self, agent: fleet.Agent) -> None:
        """Take the load that an agent has just reported."""
        learner = self._by_agent.get(agent.peer.name)
        if learner is not None:
            report = learning.Report(agent.peer.name, agent.load, agent.heard)
            learner.note(report)

    def take_news(self, name: str, news: link_pb2.CacheNews) -> None:
        """Take an agent's news of its engine's cache."""
        noted = learning.News(
            name,
            cacheupdates.Update(tuple(news.held), tuple(news.lost), news.all),
            time.monotonic(),
        )
        learner = self._by_agent.get(name)
        if learner is not None:
            learner.note(noted)
            return
        empty = collections.deque(maxlen=_EARLY)
        self._early.setdefault(name, empty).append(noted)

    def observe(
        self, names: tuple[str, ...], interval: float, now: float
    ) -> None:
        """Take the mean time between some tokens of a request.

        :param interval: in seconds
        :param now: monotonic time in seconds
        """
        learner = self._by_agent.get(names[0])
        if learner is not None:
            learner.note(learning.Interval(names, interval, now))

    def count_prompts(self) -> tuple[int, int]:
        """Count prompts, and those with a known holder of their start."""
        counts = [one.count_prompts() for one in self._learners.values()]
        return sum(both for both, _ in counts), sum(one for _, one in counts)

    def describe(self) -> list[dict[str, Any]]:
        """Return the state for a dump."""
        return [
            {'model': model, 'version': version} | learner.describe()
            for (model, version), learner in self._learners.items()
        ]
