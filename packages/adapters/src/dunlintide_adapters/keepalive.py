"""Keepalive rules of a link: when to ping and when the peer is lost.

A link that carries no work pings at longer intervals, since most links of
a large fleet are idle at any moment. Work in either direction returns both
sides to the short interval and restarts the measurement of silence. So a
sender of work on an idle link detects a lost peer as fast as on a busy one.
"""

__all__ = [
    'IDLE_PING_FACTOR',
    'Keepalive',
]

# Ping interval of an idle link, as a multiple of that of a link in use.
IDLE_PING_FACTOR = 3
# A link is idle after this many ping intervals without work.
_IDLE_AFTER_PINGS = 10


class Keepalive:
    """Keepalive state of one link; times are monotonic, in seconds."""

    def __init__(self, ping: float, silence: float, now: float) -> None:
        """Start with an idle link that has just received data.

        :param ping: time without a send after which a side pings
        :param silence: time without a receive after which a link in use
            counts as lost
        """
        self._ping = ping
        self._silence = silence
        self._received_at = now
        self._work_at = float('-inf')
        self._active_since = now

    def _is_in_use(self, now: float) -> bool:
        return now - self._work_at < self._ping * _IDLE_AFTER_PINGS

    def note_received(self, now: float) -> None:
        """Record that the peer sent anything, pings included."""
        self._received_at = now

    def note_work(self, now: float) -> None:
        """Record work that this side sent or received."""
        if not self._is_in_use(now):
            self._active_since = now
        self._work_at = now

    def is_ping_due(self, sent_at: float, now: float) -> bool:
        """Return whether this side should ping.

        :param sent_at: time of its last send of any kind
        """
        interval = self._ping
        if not self._is_in_use(now):
            interval *= IDLE_PING_FACTOR
        return now - sent_at >= interval

    def is_silent(self, now: float) -> bool:
        """Return whether the peer counts as lost."""
        if self._is_in_use(now):
            return (
                now - max(self._received_at, self._active_since)
                > self._silence
            )
        idle_extra = self._ping * (IDLE_PING_FACTOR - 1)
        return now - self._received_at > self._silence + idle_extra
