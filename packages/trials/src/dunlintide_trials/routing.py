"""Routing policies for the event model in ``stages``."""

import itertools
import random

from dunlintide_core import plan as plans
from dunlintide_core import replan
from dunlintide_core import selection
from dunlintide_trials import stages

__all__ = [
    'Router',
    'make_least_outstanding',
    'make_round_robin',
    'make_shares_only',
]


class Router:
    """Policy of the product: planned shares and power of two choices."""

    def __init__(
        self,
        plan_stages: list[plans.Stage],
        layers: int,
        links: plans.Links,
        seed: int,
        learns_load: bool = True,
    ) -> None:
        """Make a plan from declared capacities.

        :param plan_stages: endpoints
        :param layers: number of layers of the model
        :param learns_load: whether observed load and intervals update the plan
        """
        self.replanner = replan.Replanner(layers, links)
        self.replanner.set_stops(plan_stages)
        self.chooser = selection.Chooser()
        self._layers = layers
        self._rng = random.Random(seed)
        self._learns_load = learns_load
        self._tick(0.0)

    @property
    def plan(self) -> plans.Plan:
        """The plan in force."""
        return self.replanner.plan

    def entry(self) -> stages.Entry:
        """Build the callbacks for the event model."""
        return stages.Entry(
            choose=lambda now: self.chooser.choose(now, self._rng),
            begin=self.chooser.begin,
            end=self.chooser.end,
            report=self._report,
            tokens=self._observe,
            tick=self._tick,
        )

    def _report(self, agent, report, now: float) -> None:
        self.chooser.report(agent, report, now)
        if self._learns_load:
            self.replanner.observe_load(agent, report, now)

    def _observe(self, chain, interval: float, now: float) -> None:
        if self._learns_load:
            self.replanner.observe_interval(chain, interval, now)

    def _tick(self, now: float) -> None:
        plan = self.replanner.replan_if_due(now)
        if plan is not None:
            self.chooser.adopt(plan, self.replanner.stops, self._layers)


def make_round_robin(
    plan_stages: list[plans.Stage], layers: int
) -> stages.Entry:
    """Build a policy that uses the endpoints of each range in turn.

    The layer ranges of endpoints must be equal or disjoint.
    """
    turns = [
        itertools.cycle(
            [stage for stage in plan_stages if stage.layer_start == start]
        )
        for start in range(layers)
    ]
    return stages.Entry(
        choose=lambda now: plans.Chain(tuple(next(turn) for turn in turns))
    )


def make_shares_only(plan: plans.Plan, seed: int) -> stages.Entry:
    """Build a policy that draws chains by their planned shares only."""
    rng = random.Random(seed)
    shares = [chain.share for chain in plan.chains]
    return stages.Entry(choose=lambda now: rng.choices(plan.chains, shares)[0])


def make_least_outstanding(
    plan_stages: list[plans.Stage], layers: int, seed: int
) -> stages.Entry:
    """Build a policy of the least outstanding work relative to capacity.

    The layer ranges of endpoints must be equal or disjoint.
    """
    rng = random.Random(seed)
    own_load = {stage.agent: 0 for stage in plan_stages}
    other_load = dict(own_load)
    ranges = [
        [stage for stage in plan_stages if stage.layer_start == start]
        for start in range(layers)
    ]

    def rank(stage: plans.Stage) -> tuple[float, float]:
        load = own_load[stage.agent] + other_load[stage.agent]
        return load / stage.capacity, rng.random()

    def count(chain: plans.Chain, change: int) -> None:
        for agent in chain.agents:
            own_load[agent] += change

    def report(agent, load, now: float) -> None:
        other_load[agent] = max(0, load.running - own_load[agent])

    return stages.Entry(
        choose=lambda now: plans.Chain(
            tuple(min(group, key=rank) for group in ranges)
        ),
        begin=lambda chain: count(chain, 1),
        end=lambda chain: count(chain, -1),
        report=report,
    )
