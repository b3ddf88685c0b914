"""When to plan again: at once after large changes, seldom otherwise.

Planning costs a tenth of a second of processor time at 600 endpoints, so
its owner calls ``tick`` on a background thread, and the pace bounds what
noise in the estimates can cost.
"""

from collections.abc import Iterable

import attrs

from dunlintide_core import capacity
from dunlintide_core import delays
from dunlintide_core import fleet
from dunlintide_core import plan as plans

__all__ = ['Replanner']

# An estimate that moved by this factor is worth a plan at once.
_LARGE_CHANGE = 2.0
_SMALL_CHANGE = 1.15
_LEAST_PAUSE_SECONDS = 0.5
_SMALL_PAUSE_SECONDS = 10.0
# Plans at once that large changes may claim, and the time to earn one.
_BURST = 4
_EARN_SECONDS = 10.0


@attrs.define
class _Allowance:
    """Plans at once that one kind of change may still claim."""

    _left: float = float(_BURST)
    _earned: float | None = None

    def claim(self, now: float) -> bool:
        """Use one up; False when none is left."""
        if self._earned is not None:
            self._left += (now - self._earned) / _EARN_SECONDS
            self._left = min(float(_BURST), self._left)
        self._earned = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True


class Replanner:
    """Plan of one model version, kept up with what is observed.

    :ivar plan: the last plan made
    :ivar stops: the live endpoints, with the capacities of that plan
    :ivar count: plans made
    """

    def __init__(self, layers: int, links: plans.Links) -> None:
        """Begin without endpoints.

        :param layers: number of layers of the model
        :param links: declared qualities of the links
        """
        self.plan = plans.EMPTY
        self.stops: list[plans.Stage] = []
        self.count = 0
        self.capacities = capacity.CapacityModel()
        self.delays = delays.DelayModel()
        self._layers = layers
        self._links = links
        self._declared: list[plans.Stage] = []
        self._stale = True
        self._planned = float('-inf')
        # Links' estimates are noisier, and must not use up the stages'.
        self._for_stages = _Allowance()
        self._for_links = _Allowance()

    def set_stops(self, stops: Iterable[plans.Stage]) -> None:
        """Set the live endpoints with their declared capacities."""
        self._declared = list(stops)
        self.capacities.track(self._declared)
        self._stale = True

    def set_links(self, links: plans.Links) -> None:
        """Set the declared or measured qualities of the links."""
        self._links = links
        self._stale = True

    def report(self, agent: str, load: fleet.LoadReport, now: float) -> None:
        """Take a load report; ``now`` is a time in seconds."""
        self.capacities.observe(agent, load, now)

    def observe(self, chain: plans.Chain, interval: float, now: float) -> None:
        """Take the mean interval between some tokens of a request.

        :param interval: in seconds
        :param now: time in seconds
        """
        explains = self.capacities.is_slow
        self.delays.observe(chain, interval, now, explains)

    def tick(self, now: float) -> plans.Plan | None:
        """Plan again if that is due; to be called twice a second.

        :param now: time in seconds
        :returns: the new plan, None when the last one stays
        """
        self.delays.drift(now)
        if not self._is_due(now):
            return None
        self.stops = self.capacities.apply(self._declared)
        links = self.delays.apply(self._links)
        self.plan = plans.make_plan(self.stops, self._layers, links)
        self.count += 1
        self._stale = False
        self._planned = now
        return self.plan

    def _is_due(self, now: float) -> bool:
        pause = now - self._planned
        if pause < _LEAST_PAUSE_SECONDS:
            return False
        if self._stale:
            return True
        stages = self.capacities.compute_change()
        if stages >= _LARGE_CHANGE and self._for_stages.claim(now):
            return True
        links = self.delays.compute_change()
        if links >= _LARGE_CHANGE and self._for_links.claim(now):
            return True
        change = max(stages, links)
        return change >= _SMALL_CHANGE and pause >= _SMALL_PAUSE_SECONDS
