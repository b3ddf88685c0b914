"""Policies that route the sessions of the stage model."""

import itertools
import random

from dunlintide_core import capacity
from dunlintide_core import choose
from dunlintide_core import delays
from dunlintide_core import plan as plans
from dunlintide_trials import stages

__all__ = [
    'Router',
    'make_least_outstanding',
    'make_round_robin',
    'make_shares_only',
]


class Router:
    """The policy of the product: learnt shares and two choices.

    :ivar plan: the plan in force
    :ivar replans: number of plans made after the first
    """

    def __init__(
        self,
        stops: list[plans.Stop],
        layers: int,
        links: plans.Links,
        seed: int,
        learns: bool = True,
    ) -> None:
        """Plan from declared capacities.

        :param learns: whether it plans again from what it observes
        """
        self.capacities = capacity.CapacityModel()
        self.capacities.track(stops)
        self.delays = delays.DelayModel()
        self.chooser = choose.Chooser()
        self.replans = -1
        self._stops = stops
        self._layers = layers
        self._links = links
        self._rng = random.Random(seed)
        self._learns = learns
        self._replan()

    def entry(self) -> stages.Entry:
        """Give the callbacks for the model."""
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
        self.capacities.observe(agent, report, now)

    def _observe(self, chain, interval: float, now: float) -> None:
        explains = self.capacities.explains
        self.delays.observe(chain, interval, now, explains)

    def _tick(self, now: float) -> None:
        self.delays.drift(now)
        if self._learns and (self.capacities.moved() or self.delays.moved()):
            self._replan()

    def _replan(self) -> None:
        stops = self.capacities.apply(self._stops)
        links = self.delays.apply(self._links)
        self.plan = plans.make_plan(stops, self._layers, links)
        self.chooser.adopt(self.plan, stops, self._layers)
        self.replans += 1


def make_round_robin(stops: list[plans.Stop], layers: int) -> stages.Entry:
    """Take the endpoints of each layer range in turn.

    Ranges must not overlap in part, here and below.
    """
    turns = [
        itertools.cycle([stop for stop in stops if stop.layer_start == start])
        for start in range(layers)
    ]
    return stages.Entry(
        choose=lambda now: plans.Chain(tuple(next(turn) for turn in turns))
    )


def make_shares_only(plan: plans.Plan, seed: int) -> stages.Entry:
    """Draw one chain by its share, whatever its load."""
    rng = random.Random(seed)
    shares = [chain.share for chain in plan.chains]
    return stages.Entry(choose=lambda now: rng.choices(plan.chains, shares)[0])


def make_least_outstanding(
    stops: list[plans.Stop], layers: int, seed: int
) -> stages.Entry:
    """Take for each range the endpoint with least work over capacity."""
    rng = random.Random(seed)
    own = {stop.agent: 0 for stop in stops}
    others = dict(own)
    ranges = [
        [stop for stop in stops if stop.layer_start == start]
        for start in range(layers)
    ]

    def rank(stop: plans.Stop) -> tuple[float, float]:
        load = own[stop.agent] + others[stop.agent]
        return load / stop.capacity, rng.random()

    def count(chain: plans.Chain, change: int) -> None:
        for agent in chain.agents:
            own[agent] += change

    def report(agent, load, now: float) -> None:
        others[agent] = max(0, load.running - own[agent])

    return stages.Entry(
        choose=lambda now: plans.Chain(
            tuple(min(group, key=rank) for group in ranges)
        ),
        begin=lambda chain: count(chain, 1),
        end=lambda chain: count(chain, -1),
        report=report,
    )
