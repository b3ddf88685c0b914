"""Engines of one failure domain that hold each layer, and the cost of gaps.

The cost of a layer falls with every engine that holds it, most with the first
ones and with fast cards. A range is therefore best where its layers gain most.
"""

import itertools
from typing import Sequence

from dunlintide_core.pipeline import cacheplans
from dunlintide_core.pipeline import profiles

__all__ = ['Coverage']

# Fraction of the streams in flight that lose their chain or their entry in a
# second. It weighs shorter chains against spare engines.
LOSS_RATE = 0.1
# Power mean by which the speeds of a layer's holders are combined: the fastest
# one takes most of the streams.
SPEED_POWER = 4.0
# Extra cost of a layer that no engine of any failure domain holds, relative to
# one that only this domain lacks: no stream is served at all.
UNHELD_COST = 10.0
# Cost of each first endpoint that a failure domain lacks.
MISSING_FIRST_COST = 0.2
# Cost of a range boundary at which no other range begins or ends. Where ranges
# join, chains have fewer hops and are found sooner.
EDGE_COST = 0.005
# Minimum gain by which a range is preferred to one that begins sooner.
_MIN_GAIN = 1e-9


class Coverage:
    """Holders of the layers of one failure domain."""

    def __init__(
        self,
        profile: profiles.EngineProfile,
        plan: cacheplans.CachePlan,
        elsewhere: Sequence[int],
    ) -> None:
        """Start without holders.

        :param plan: cache plan of the domain's cards, with the value of
            holders
        :param elsewhere: holders in other failure domains, by layer
        """
        self._profile = profile
        self._plan = plan
        self._elsewhere = elsewhere
        self._max_holders = len(plan.refused_shares) - 1
        step = profile.usual_answer * profile.step_ms / 1000.0
        self._time_cost = LOSS_RATE * step / profile.layers
        self._counts = [0] * profile.layers
        self._speeds = [0.0] * profile.layers
        # Number of range boundaries before each layer; those at the model's
        # ends cost nothing.
        self._edges = [0] * (profile.layers + 1)
        self._edges[0] = self._edges[-1] = 1
        self._costs = [
            self._get_layer_cost(layer, 0, 0.0)
            for layer in range(profile.layers)
        ]

    @property
    def counts(self) -> Sequence[int]:
        """Number of holders by layer."""
        return self._counts

    @property
    def cost(self) -> float:
        """Expected loss of the domain's streams, as a share of them."""
        return sum(self._costs)

    def change(self, kind: str, start: int, end: int, sign: int = 1) -> None:
        """Add a holder of a range, or remove it.

        :param sign: 1 to add, -1 to remove
        """
        speed = sign * self._get_speed(kind)
        self._edges[start] += sign
        self._edges[end] += sign
        for layer in range(start, end):
            self._counts[layer] += sign
            self._speeds[layer] += speed
            self._costs[layer] = self._get_layer_cost(
                layer, self._counts[layer], self._speeds[layer]
            )

    def _get_speed(self, kind: str) -> float:
        """Return a card's speed, weighted for the power mean."""
        return self._profile.accelerators[kind].step_factor ** -SPEED_POWER

    def _get_layer_cost(self, layer: int, count: int, speed: float) -> float:
        """Return the cost of a layer for a number of holders.

        :param speed: sum of their weighted speeds
        """
        plan = self._plan
        count = min(max(0, count), self._max_holders)
        if count:
            # A lost engine takes all layers of its hop with it, so the
            # refused share is spread over them.
            cost = plan.refused_shares[count] / plan.mean_layers
            cost += self._time_cost * speed ** (-1.0 / SPEED_POWER)
        else:
            cost = 1.0 if self._elsewhere[layer] else 1.0 + UNHELD_COST
        if not layer:
            cost += plan.first_refused_shares[count]
            cost += MISSING_FIRST_COST * max(
                0, plan.min_first_endpoints - count
            )
        return cost

    def choose_start(
        self, kind: str, size: int, current: int = 0
    ) -> tuple[int, float]:
        """Find the range at which one more engine gains most.

        :param size: number of layers that the engine is to hold
        :param current: start that is kept unless another one is better
        :returns: first layer of the range and its gain
        """
        speed = self._get_speed(kind)
        counts, speeds, get_layer_cost = (
            self._counts,
            self._speeds,
            self._get_layer_cost,
        )
        gains = (
            cost
            - get_layer_cost(layer, counts[layer] + 1, speeds[layer] + speed)
            for layer, cost in enumerate(self._costs)
        )
        sums = [0.0, *itertools.accumulate(gains)]
        edge_costs = [0.0 if count else EDGE_COST for count in self._edges]
        gains_by_start = [
            after - before - begin - end
            for before, after, begin, end in zip(
                sums, sums[size:], edge_costs, edge_costs[size:]
            )
        ]
        best = current
        for start, gain in enumerate(gains_by_start):
            if gain > gains_by_start[best] + _MIN_GAIN:
                best = start
        return best, gains_by_start[best]
