"""Pacing of long spans, which delay the short steps of other teams.

An engine that runs a span of many positions delays every step in the same
batch. Running one long span at a time is not enough: with several in a row
the other teams would get only one step per span. After a long span the
engine therefore runs only short steps for a multiple of the duration of
the span, as long as another team has short steps. If no other team has
any, long spans run back to back.
"""

import attrs

__all__ = ['LONG_POSITIONS', 'SpanPacer']

# Positions; a span with more is long.
LONG_POSITIONS = 256
# Multiple of the duration of a long span; long spans get 1/4 of the time.
PAUSE_FACTOR = 3.0
# Age of its last short step from which on a team counts as having none.
RECENT_SECONDS = 5.0


@attrs.define
class SpanPacer:
    """Delays the long spans of one engine; times are in seconds."""

    _paused_until: float = 0.0
    _last_short_step: dict[str, float] = attrs.field(factory=dict)

    def record_short_step(self, team: str, now: float) -> None:
        """Record a short step of a team."""
        self._last_short_step[team] = now

    def record_long_span(self, seconds: float, now: float) -> None:
        """Record a long span that has just ended.

        :param seconds: duration of the span
        """
        self._paused_until = now + PAUSE_FACTOR * seconds

    def find_delay(self, team: str, now: float) -> float:
        """Return the seconds until a team may start a long span."""
        if now >= self._paused_until:
            return 0.0
        oldest = now - RECENT_SECONDS
        for name in [
            n for n, seen in self._last_short_step.items() if seen < oldest
        ]:
            del self._last_short_step[name]
        if all(name == team for name in self._last_short_step):
            return 0.0
        return self._paused_until - now
