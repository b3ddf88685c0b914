"""Reservation of request slots for teams that share an endpoint.

A fair queue decides which request is next, but not how soon a slot becomes
free: a flood of long requests from one team could occupy all slots.
Therefore the slots that a team has used in the last seconds are reserved
for it, up to its share plus headroom. Nothing is reserved for a team that
demands far more than that, which waits in the queue, nor for a team
without recent requests. A single team may use all slots.
"""

import math
from typing import Callable

import attrs

__all__ = ['Slots']

WINDOW_SECONDS = 5.0
# Factor on the recent peak: during a flood the requests of other teams take
# longer, so more of them run at once.
GROWTH_FACTOR = 1.5
# A team is flooding if its demand exceeds this multiple of its reserve limit.
FLOOD_FACTOR = 2.0
# A team with a larger debt, in rounds of the queue, gets no headroom. This
# permits bursts and bounds what a team gains by them.
MAX_DEBT_ROUNDS = 32.0


@attrs.define
class _Usage:
    """Requests of one team.

    :ivar demand: number of requests that are queued or running
    :ivar running: number of running requests
    :ivar peak: highest demand in the current window
    :ivar previous_peak: highest demand in the window before
    """

    weight: float
    demand: int = 0
    running: int = 0
    peak: int = 0
    previous_peak: int = 0

    @property
    def recent_peak(self) -> int:
        """Highest demand in the last two windows."""
        return max(self.peak, self.previous_peak)


class Slots:
    """Reserved slots of one endpoint, by team."""

    def __init__(
        self,
        now: float,
        count_debt_rounds: Callable[[str], float] = lambda team: 0.0,
    ) -> None:
        """Start without teams.

        :param now: time in seconds
        :param count_debt_rounds: returns the number of rounds by which a
            team is ahead of its share in the queue
        """
        self._usages: dict[str, _Usage] = {}
        self._total_weight = 0.0
        self._window_start = now
        self._count_debt_rounds = count_debt_rounds

    def add_request(self, team: str, weight: float) -> None:
        """Count a request as queued or about to run.

        :param weight: weight of the team
        """
        usage = self._usages.get(team)
        if usage is None:
            usage = self._usages[team] = _Usage(0.0)
        self._total_weight += weight - usage.weight
        usage.weight = weight
        usage.demand += 1
        usage.peak = max(usage.peak, usage.demand)

    def start(self, team: str) -> None:
        """Count one of the requests of a team as running."""
        self._usages[team].running += 1

    def end(self, team: str, ran: bool) -> None:
        """Count a request of a team as ended.

        :param ran: whether it was running
        """
        usage = self._usages[team]
        usage.demand -= 1
        usage.running -= ran

    def tick(self, now: float) -> None:
        """Start a new window if the current one is over.

        Teams without requests in the last two windows are removed.
        """
        if now - self._window_start < WINDOW_SECONDS:
            return
        self._window_start = now
        for team, usage in list(self._usages.items()):
            usage.previous_peak, usage.peak = usage.peak, usage.demand
            if not usage.recent_peak:
                del self._usages[team]
        self._total_weight = sum(
            usage.weight for usage in self._usages.values()
        )

    def _compute_share(self, usage: _Usage, limit: int) -> float:
        return limit * usage.weight / self._total_weight

    def _compute_reserve_limit(
        self, team: str, usage: _Usage, limit: int
    ) -> int:
        """Return the share of a team plus headroom, in slots.

        A team at its share uses that many slots on average, and more than
        that half of the time. The headroom follows the square-root
        staffing rule.
        """
        share = self._compute_share(usage, limit)
        is_ahead = self._count_debt_rounds(team) > MAX_DEBT_ROUNDS
        return int(share if is_ahead else share + math.sqrt(share))

    def _is_flooding(self, team: str, usage: _Usage, limit: int) -> bool:
        return usage.demand > FLOOD_FACTOR * self._compute_reserve_limit(
            team, usage, limit
        )

    def _count_reserved(self, team: str, usage: _Usage, limit: int) -> int:
        if self._is_flooding(team, usage, limit):
            return 0
        expected = int(GROWTH_FACTOR * usage.recent_peak)
        reserve = min(
            expected, self._compute_reserve_limit(team, usage, limit)
        )
        return max(0, reserve - usage.running)

    def _is_below_share(self, team: str, usage: _Usage, limit: int) -> bool:
        """Return whether a team is below the share that it may always use."""
        share = self._compute_share(usage, limit)
        if self._is_flooding(team, usage, limit):
            # The headroom of the others comes out of its share.
            share -= math.sqrt(share)
        return usage.running < max(1, int(share))

    def may_start(self, team: str, running: int, limit: int) -> bool:
        """Return whether a team may start another request.

        :param running: number of requests in flight of all teams
        :param limit: maximum number of requests in flight
        """
        if len(self._usages) > limit:
            # Shares below one slot cannot be reserved.
            return True
        if self._is_below_share(team, self._usages[team], limit):
            return True
        reserved = sum(
            self._count_reserved(other, usage, limit)
            for other, usage in self._usages.items()
            if other != team
        )
        return running + 1 + reserved <= limit
