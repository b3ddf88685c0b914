"""When an engine may begin a long span beside the steps of others.

A span of many positions holds up every step that the engine runs with it.
One at a time bounds that, but one after another leave the others a step
for each of them. So after a long span the engine is left to short ones for
a multiple of the time it took, while another team has any. Prompts of
teams that are alone go on back to back.
"""

import attrs

__all__ = ['LONG_POSITIONS', 'SpanPacer']

LONG_POSITIONS = 256
# So long spans get a quarter of the time.
PAUSE_FACTOR = 3.0
# A team whose last short step is older than this has none.
RECENT_SECONDS = 5.0


@attrs.define
class SpanPacer:
    """Pace of the long spans of one engine; times are in seconds."""

    _paused_until: float = 0.0
    _last_short_step: dict[str, float] = attrs.field(factory=dict)

    def record_short_step(self, team: str, now: float) -> None:
        """Take note of a short step of a team."""
        self._last_short_step[team] = now

    def record_long_span(self, seconds: float, now: float) -> None:
        """Take note that a long span has taken so many seconds."""
        self._paused_until = now + PAUSE_FACTOR * seconds

    def find_delay(self, team: str, now: float) -> float:
        """Return the seconds for which a team's long span must wait."""
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
