"""Slots in flight that a member finds free when it comes back.

A queue decides who is next, but not how soon a slot frees: a flood of
long requests would hold them all. So what a member has used in the last
seconds, up to half more than its share, is kept for it. Members that sent
nothing lately have nothing kept, and one alone may fill all slots.
"""

import attrs

__all__ = ['Slots']

WINDOW_SECONDS = 5.0
# A member at its share holds just as many slots on the average, so more
# than that half of the time.
HEADROOM = 1.5


@attrs.define
class _Use:
    """What one member has under way.

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
    """Slots of one endpoint, by member."""

    def __init__(self, now: float) -> None:
        self._uses: dict[str, _Use] = {}
        self._weights = 0.0
        self._began = now

    def want(self, member: str, weight: float) -> None:
        """Take note of a request that waits or starts."""
        use = self._uses.get(member)
        if use is None:
            use = self._uses[member] = _Use(0.0)
        self._weights += weight - use.weight
        use.weight = weight
        use.wanted += 1
        use.peak = max(use.peak, use.wanted)

    def start(self, member: str) -> None:
        """Take note that one of the wanted requests runs."""
        self._uses[member].running += 1

    def end(self, member: str, ran: bool) -> None:
        """Take note that a wanted request is gone.

        :param ran: whether it had been started
        """
        use = self._uses[member]
        use.wanted -= 1
        use.running -= ran

    def tick(self, now: float) -> None:
        """Forget what was wanted long ago."""
        if now - self._began < WINDOW_SECONDS:
            return
        self._began = now
        for member, use in list(self._uses.items()):
            use.before, use.peak = use.peak, use.wanted
            if not use.recent:
                del self._uses[member]
        self._weights = sum(use.weight for use in self._uses.values())

    def _share(self, use: _Use, limit: int) -> int:
        return int(limit * use.weight / self._weights)

    def _keep(self, use: _Use, limit: int) -> int:
        return int(HEADROOM * limit * use.weight / self._weights)

    def may_start(self, member: str, running: int, limit: int) -> bool:
        """Return whether a further request leaves others their slots.

        :param running: requests in flight, of all members
        :param limit: most that may be in flight
        """
        if len(self._uses) > limit:
            # The shares are below one slot.
            return True
        own = self._uses[member]
        if not own.running or own.running < self._share(own, limit):
            return True
        kept = sum(
            max(0, min(self._keep(use, limit), use.recent) - use.running)
            for use in self._uses.values()
            if use is not own
        )
        return running + 1 + kept <= limit
