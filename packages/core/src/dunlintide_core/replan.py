"""Scheduling of new plans: at once after large changes, else rarely.

Planning takes a tenth of a second of processor time at 600 endpoints, so
``replan_if_due`` is called on a background thread, and a rate limit bounds
the cost of noise in the estimates.
"""

from collections.abc import Iterable

import attrs

from dunlintide_core import capacity
from dunlintide_core import delays
from dunlintide_core import fleet
from dunlintide_core import plan as plans

__all__ = ['Replanner']

# Factor by which an estimate must change for an immediate plan.
_LARGE_CHANGE = 2.0
_SMALL_CHANGE = 1.15
_MIN_PAUSE_SECONDS = 0.5
_SMALL_CHANGE_PAUSE_SECONDS = 10.0
# Token bucket for immediate plans.
_BUCKET_SIZE = 4
_SECONDS_PER_TOKEN = 10.0


@attrs.define
class _TokenBucket:
    """Rate limit of the immediate plans for one kind of change."""

    _tokens: float = float(_BUCKET_SIZE)
    _refilled_at: float | None = None

    def take(self, now: float) -> bool:
        """Take a token; return False if none is available."""
        if self._refilled_at is not None:
            self._tokens += (now - self._refilled_at) / _SECONDS_PER_TOKEN
            self._tokens = min(float(_BUCKET_SIZE), self._tokens)
        self._refilled_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Replanner:
    """Plan of one model version, updated from observed loads and delays.

    :ivar plan: latest plan
    :ivar stops: live endpoints with the capacities used in that plan
    :ivar plan_count: number of plans made
    """

    def __init__(self, layers: int, links: plans.Links) -> None:
        """Create a replanner without endpoints.

        :param layers: number of layers of the model
        :param links: declared latency and throughput of the links
        """
        self.plan = plans.EMPTY
        self.stops: list[plans.Stage] = []
        self.plan_count = 0
        self.capacities = capacity.CapacityModel()
        self.delays = delays.DelayModel()
        self._layers = layers
        self._links = links
        self._declared: list[plans.Stage] = []
        self._stale = True
        self._planned_at = float('-inf')
        # Estimates of links are noisier and must not use up the tokens of
        # the stages.
        self._stage_tokens = _TokenBucket()
        self._link_tokens = _TokenBucket()

    def set_stops(self, stops: Iterable[plans.Stage]) -> None:
        """Set the live endpoints with their declared capacities."""
        self._declared = list(stops)
        self.capacities.track(self._declared)
        self._stale = True

    def set_links(self, links: plans.Links) -> None:
        """Set the declared or measured latency and throughput of the links."""
        self._links = links
        self._stale = True

    def observe_load(
        self, agent: str, load: fleet.LoadReport, now: float
    ) -> None:
        """Record a load report.

        :param now: time in seconds
        """
        self.capacities.observe(agent, load, now)

    def observe_interval(
        self, chain: plans.Chain, interval: float, now: float
    ) -> None:
        """Record the mean interval between consecutive tokens of a request.

        :param interval: mean interval, in seconds
        :param now: time in seconds
        """
        explains = self.capacities.is_slow
        self.delays.observe(chain, interval, now, explains)

    def replan_if_due(self, now: float) -> plans.Plan | None:
        """Make a new plan if one is due; to be called twice a second.

        :param now: time in seconds
        :returns: the new plan, None if the latest one stays in use
        """
        self.delays.drift(now)
        if not self._is_due(now):
            return None
        self.stops = self.capacities.apply(self._declared)
        links = self.delays.apply(self._links)
        self.plan = plans.make_plan(self.stops, self._layers, links)
        self.plan_count += 1
        self._stale = False
        self._planned_at = now
        return self.plan

    def _is_due(self, now: float) -> bool:
        pause = now - self._planned_at
        if pause < _MIN_PAUSE_SECONDS:
            return False
        if self._stale:
            return True
        stage_change = self.capacities.compute_change()
        if stage_change >= _LARGE_CHANGE and self._stage_tokens.take(now):
            return True
        link_change = self.delays.compute_change()
        if link_change >= _LARGE_CHANGE and self._link_tokens.take(now):
            return True
        change = max(stage_change, link_change)
        return change >= _SMALL_CHANGE and pause >= _SMALL_CHANGE_PAUSE_SECONDS
