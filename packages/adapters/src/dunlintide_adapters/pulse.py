"""When a side of a link pings, and when it takes the other for silent.

A link that carries no work pings at wider intervals, since most links of
a large fleet are idle at any moment. Work on a link, in either direction,
brings both sides back to the close interval, and a silence is counted anew
from then: whoever sends work learns as soon as ever that nobody is there.
"""

__all__ = [
    'IDLE_PINGS',
    'Pulse',
]

# An idle link pings after so many times the usual quiet time.
IDLE_PINGS = 3
# A link is idle when it has carried no work for so many times that time.
_USE_PINGS = 10


class Pulse:
    """Signs of life of one link; times are monotonic, in seconds."""

    def __init__(self, ping: float, silence: float, now: float) -> None:
        """Begin idle and heard.

        :param ping: quiet time after which a side pings
        :param silence: silence after which a link in use is lost
        """
        self._ping = ping
        self._silence = silence
        self._heard = now
        self._used = float('-inf')
        self._began = now

    def _is_in_use(self, now: float) -> bool:
        return now - self._used < self._ping * _USE_PINGS

    def hear(self, now: float) -> None:
        """Take note of anything that the other side sent."""
        self._heard = now

    def use(self, now: float) -> None:
        """Take note of work that this side sent or got."""
        if not self._is_in_use(now):
            self._began = now
        self._used = now

    def is_due(self, sent: float, now: float) -> bool:
        """Tell whether this side should ping.

        :param sent: when it last sent anything
        """
        wait = self._ping
        if not self._is_in_use(now):
            wait *= IDLE_PINGS
        return now - sent >= wait

    def is_silent(self, now: float) -> bool:
        """Tell whether the other side counts as lost."""
        if self._is_in_use(now):
            return now - max(self._heard, self._began) > self._silence
        later = self._ping * (IDLE_PINGS - 1)
        return now - self._heard > self._silence + later
