"""Slots in flight that a team finds free when it comes back.

A queue decides who is next, but not how soon a slot frees: a flood of
long requests would hold them all. So what a team has used in the last
seconds, up to its share and a headroom, is kept for it. A team that
wants far more has nothing kept: it takes its turns in the queue.
Nor do teams that sent nothing lately, and one alone may fill all slots.
"""

import math
from typing import Callable

import attrs

__all__ = ['Slots']

WINDOW_SECONDS = 5.0
# Beside a flood a team's requests take longer, so it has more at once.
GROWTH_FACTOR = 1.5
# Wanting this many times its reserve, a team floods.
FLOOD_FACTOR = 2.0
# Rounds of the queue that a team may be ahead and still has headroom.
# So it bears bursts, and gains no more than these rounds by it.
MAX_DEBT_ROUNDS = 32.0


@attrs.define
class _Usage:
    """What one team has under way.

    :ivar peak: most that were wanted at once in this window
    :ivar before: the same in the window before
    """

    weight: float
    demand: int = 0
    running: int = 0
    peak: int = 0
    previous_peak: int = 0

    @property
    def recent_peak(self) -> int:
        """Most that were wanted at once lately."""
        return max(self.peak, self.previous_peak)


class Slots:
    """Slots of one endpoint, by team."""

    def __init__(
        self,
        now: float,
        count_debt_rounds: Callable[[str], float] = lambda team: 0.0,
    ) -> None:
        """Begin with nobody.

        :param now: time in seconds
        :param owes: returns the rounds by which a team is ahead
        """
        self._usages: dict[str, _Usage] = {}
        self._total_weight = 0.0
        self._window_start = now
        self._count_debt_rounds = count_debt_rounds

    def add_request(self, team: str, weight: float) -> None:
        """Take note of a request that waits or starts."""
        usage = self._usages.get(team)
        if usage is None:
            usage = self._usages[team] = _Usage(0.0)
        self._total_weight += weight - usage.weight
        usage.weight = weight
        usage.demand += 1
        usage.peak = max(usage.peak, usage.demand)

    def start(self, team: str) -> None:
        """Take note that one of the wanted requests runs."""
        self._usages[team].running += 1

    def end(self, team: str, ran: bool) -> None:
        """Take note that a wanted request is gone.

        :param ran: whether it had been started
        """
        usage = self._usages[team]
        usage.demand -= 1
        usage.running -= ran

    def tick(self, now: float) -> None:
        """Forget what was wanted long ago."""
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

    def _compute_reserve(self, team: str, usage: _Usage, limit: int) -> int:
        """Return the share and its headroom.

        A team at its share holds just that many slots on the average,
        so more than that half of the time: square-root staffing.
        """
        share = self._compute_share(usage, limit)
        is_ahead = self._count_debt_rounds(team) > MAX_DEBT_ROUNDS
        return int(share if is_ahead else share + math.sqrt(share))

    def _is_flooding(self, team: str, usage: _Usage, limit: int) -> bool:
        return usage.demand > FLOOD_FACTOR * self._compute_reserve(
            team, usage, limit
        )

    def _compute_reserved(self, team: str, usage: _Usage, limit: int) -> int:
        if self._is_flooding(team, usage, limit):
            return 0
        expected = int(GROWTH_FACTOR * usage.recent_peak)
        reserve = min(expected, self._compute_reserve(team, usage, limit))
        return max(0, reserve - usage.running)

    def _is_below_share(self, team: str, usage: _Usage, limit: int) -> bool:
        """Return whether a team may start whatever is kept."""
        share = self._compute_share(usage, limit)
        if self._is_flooding(team, usage, limit):
            # It gives the others their headroom.
            share -= math.sqrt(share)
        return usage.running < max(1, int(share))

    def may_start(self, team: str, running: int, limit: int) -> bool:
        """Return whether a further request leaves others their slots.

        :param running: requests in flight, of all teams
        :param limit: most that may be in flight
        """
        if len(self._usages) > limit:
            # The shares are below one slot.
            return True
        if self._is_below_share(team, self._usages[team], limit):
            return True
        reserved = sum(
            self._compute_reserved(other, usage, limit)
            for other, usage in self._usages.items()
            if other != team
        )
        return running + 1 + reserved <= limit
