"""When a side of a link pings, and when it takes the other for silent.

A link that carries no work pings at wider intervals, since most links of
a large fleet are idle at any moment. Work on a link, in either direction,
brings both sides back to the close interval, and a silence is counted anew
from then: whoever sends work learns as soon as ever that nobody is there.
"""

__all__ = [
    'IDLE_PING_FACTOR',
    'Keepalive',
]

# An idle link pings after so many times the usual quiet time.
IDLE_PING_FACTOR = 3
# A link is idle when it has carried no work for so many times that time.
_IDLE_AFTER_PINGS = 10


class Keepalive:
    """Signs of life of one link; times are monotonic, in seconds."""

    def __init__(self, ping: float, silence: float, now: float) -> None:
        """Begin idle and heard.

        :param ping: quiet time after which a side pings
        :param silence: silence after which a link in use is lost
        """
        self._ping = ping
        self._silence = silence
        self._received_at = now
        self._work_at = float('-inf')
        self._active_since = now

    def _is_in_use(self, now: float) -> bool:
        return now - self._work_at < self._ping * _IDLE_AFTER_PINGS

    def note_received(self, now: float) -> None:
        """Take note of anything that the other side sent."""
        self._received_at = now

    def note_work(self, now: float) -> None:
        """Take note of work that this side sent or got."""
        if not self._is_in_use(now):
            self._active_since = now
        self._work_at = now

    def is_ping_due(self, sent_at: float, now: float) -> bool:
        """Tell whether this side should ping.

        :param sent: when it last sent anything
        """
        interval = self._ping
        if not self._is_in_use(now):
            interval *= IDLE_PING_FACTOR
        return now - sent_at >= interval

    def is_silent(self, now: float) -> bool:
        """Tell whether the other side counts as lost."""
        if self._is_in_use(now):
            return (
                now - max(self._received_at, self._active_since)
                > self._silence
            )
        idle_extra = self._ping * (IDLE_PING_FACTOR - 1)
        return now - self._received_at > self._silence + idle_extra
