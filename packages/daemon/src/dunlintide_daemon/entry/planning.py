"""Chains by plan: made in the background, chosen for each request.

A plan takes tens of milliseconds for a large fleet, so no request waits
for one. Until the plan follows a change of the fleet, a chain that has
lost an agent is replaced by one tiled on the spot.
"""

import random
import threading
import time
from typing import Any, Collection, Iterable

import attrs

from dunlintide_core import choose
from dunlintide_core import plan as plans
from dunlintide_daemon.entry import chains
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet

__all__ = [
    'Planner',
]

REFRESH_SECONDS = 0.2
# What an endpoint that declares no capacity is taken to carry.
_UNDECLARED_TOKENS_PER_SECOND = 1000.0

_Key = tuple[str, str]


@attrs.define(eq=False)
class _Planned:
    """The plan in force for one model version."""

    chooser: choose.Chooser = attrs.field(factory=choose.Chooser)
    planned: tuple[Any, ...] = ()
    bound: float = 0.0
    stops: dict[str, plans.Stop] = attrs.field(factory=dict)


def _build_stop(agent: fleet.Agent) -> plans.Stop:
    endpoint = agent.peer.endpoint
    return plans.Stop(
        agent=agent.peer.name,
        layer_start=endpoint.layer_start,
        layer_end=endpoint.layer_end,
        capacity=endpoint.tokens_per_second or _UNDECLARED_TOKENS_PER_SECOND,
        failure_domain=agent.peer.failure_domain,
    )


class Planner:
    """Plans of all model versions that are served."""

    def __init__(self, fleet_view: fleet.Fleet, rng: random.Random) -> None:
        """Begin without plans.

        :param rng: draws the chains
        """
        self._fleet = fleet_view
        self._rng = rng
        self._lock = threading.Lock()
        self._planned: dict[_Key, _Planned] = {}
        self._by_agent: dict[str, _Planned] = {}

    def refresh(self, snapshot: configuration.Snapshot) -> None:
        """Plan anew for each model whose agents have changed."""
        for model in snapshot.models.values():
            key = (model.name, model.version)
            agents = self._fleet.list_engines(*key)
            stops = tuple(sorted(map(_build_stop, agents), key=repr))
            with self._lock:
                planned = self._planned.setdefault(key, _Planned())
            wanted = (model.layers, stops)
            if planned.planned == wanted:
                continue
            plan = plans.make_plan(stops, model.layers)
            with self._lock:
                planned.planned = wanted
                planned.bound = plan.bound
                planned.stops |= {stop.agent: stop for stop in stops}
                planned.chooser.adopt(plan, stops, model.layers)
                for stop in stops:
                    self._by_agent[stop.agent] = planned

    def choose(
        self, model: str, version: str, avoid: Collection[chains.Life]
    ) -> chains.Chain | None:
        """Choose a chain by the plan; None when it has none that lives.

        :param avoid: agents that are not to be chosen
        """
        names = {name for name, _ in avoid}
        with self._lock:
            planned = self._planned.get((model, version))
            if planned is None:
                return None
            now = time.monotonic()
            found = planned.chooser.choose(now, self._rng, names)
        if found is None:
            return None
        return self._fleet.pick_usable(found.agents)

    def add_work(self, names: Iterable[str], amount: int) -> None:
        """Count a chain's requests: 1 when one begins, -1 when it ends."""
        with self._lock:
            for name in names:
                planned = self._by_agent.get(name)
                if planned is None or name not in planned.stops:
                    continue
                chain = plans.Chain((planned.stops[name],))
                if amount > 0:
                    planned.chooser.begin(chain)
                else:
                    planned.chooser.end(chain)

    def report(self, agent: fleet.Agent) -> None:
        """Take the load that an agent has just reported."""
        with self._lock:
            planned = self._by_agent.get(agent.peer.name)
            if planned is not None:
                planned.chooser.report(
                    agent.peer.name, agent.load, time.monotonic()
                )

    def describe(self) -> list[dict[str, Any]]:
        """Return the state for a dump."""
        with self._lock:
            return [
                {
                    'model': model,
                    'version': version,
                    'bound': planned.bound,
                    'agents': (
                        len(planned.planned[1]) if planned.planned else 0
                    ),
                    'in_flight': dict(planned.chooser.in_flight()),
                }
                for (model, version), planned in self._planned.items()
            ]
