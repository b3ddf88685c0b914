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
GROWTH = 1.5
# Wanting this many times its reserve, a team floods.
FLOOD = 2.0
# Rounds of the queue that a team may be ahead and still has headroom.
# So it bears bursts, and gains no more than these rounds by it.
AHEAD_ROUNDS = 32.0


@attrs.define
class _Use:
    """What one team has under way.

    :ivar peak: most that were wanted at once in this window
    :ivar before: the same in the window before
    """

    weight: float
    wanted: int = 0
    running: int = 0
    peak: int = 0
    before: int = 0

    @property
    def recent(self) -> int:
        """Most that were wanted at once lately."""
        return max(self.peak, self.before)


class Slots:
    """Slots of one endpoint, by team."""

    def __init__(
        self, now: float, owes: Callable[[str], float] = lambda team: 0.0
    ) -> None:
        """Begin with nobody.

        :param now: time in seconds
        :param owes: returns the rounds by which a team is ahead
        """
        self._uses: dict[str, _Use] = {}
        self._weights = 0.0
        self._began = now
        self._owes = owes

    def want(self, team: str, weight: float) -> None:
        """Take note of a request that waits or starts."""
        use = self._uses.get(team)
        if use is None:
            use = self._uses[team] = _Use(0.0)
        self._weights += weight - use.weight
        use.weight = weight
        use.wanted += 1
        use.peak = max(use.peak, use.wanted)

    def start(self, team: str) -> None:
        """Take note that one of the wanted requests runs."""
        self._uses[team].running += 1

    def end(self, team: str, ran: bool) -> None:
        """Take note that a wanted request is gone.

        :param ran: whether it had been started
        """
        use = self._uses[team]
        use.wanted -= 1
        use.running -= ran

    def tick(self, now: float) -> None:
        """Forget what was wanted long ago."""
        if now - self._began < WINDOW_SECONDS:
            return
        self._began = now
        for team, use in list(self._uses.items()):
            use.before, use.peak = use.peak, use.wanted
            if not use.recent:
                del self._uses[team]
        self._weights = sum(use.weight for use in self._uses.values())

    def _share(self, use: _Use, limit: int) -> float:
        return limit * use.weight / self._weights

    def _reserve(self, team: str, use: _Use, limit: int) -> int:
        """Return the share and its headroom.

        A team at its share holds just that many slots on the average,
        so more than that half of the time: square-root staffing.
        """
        share = self._share(use, limit)
        ahead = self._owes(team) > AHEAD_ROUNDS
        return int(share if ahead else share + math.sqrt(share))

    def _floods(self, team: str, use: _Use, limit: int) -> bool:
        return use.wanted > FLOOD * self._reserve(team, use, limit)

    def _keep(self, team: str, use: _Use, limit: int) -> int:
        if self._floods(team, use, limit):
            return 0
        expected = int(GROWTH * use.recent)
        reserve = min(expected, self._reserve(team, use, limit))
        return max(0, reserve - use.running)

    def _is_due(self, team: str, use: _Use, limit: int) -> bool:
        """Return whether a team may start whatever is kept."""
        share = self._share(use, limit)
        if self._floods(team, use, limit):
            # It gives the others their headroom.
            share -= math.sqrt(share)
        return use.running < max(1, int(share))

    def may_start(self, team: str, running: int, limit: int) -> bool:
        """Return whether a further request leaves others their slots.

        :param running: requests in flight, of all teams
        :param limit: most that may be in flight
        """
        if len(self._uses) > limit:
            # The shares are below one slot.
            return True
        if self._is_due(team, self._uses[team], limit):
            return True
        kept = sum(
            self._keep(other, use, limit)
            for other, use in self._uses.items()
            if other != team
        )
        return running + 1 + kept <= limit
