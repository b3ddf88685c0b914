"""When an engine may begin a long span beside the steps of others.

A span of many positions holds up every step that the engine runs with it.
One at a time bounds that, but one after another leave the others a step
for each of them. So after a long span the engine is left to short ones for
a multiple of the time it took, while another team has any. Prompts of
teams that are alone go on back to back.
"""

import attrs

__all__ = ['LONG_POSITIONS', 'Spans']

LONG_POSITIONS = 256
# So long spans get a quarter of the time.
PAUSES = 3.0
# A team whose last short step is older than this has none.
RECENT_SECONDS = 5.0


@attrs.define
class Spans:
    """Pace of the long spans of one engine; times are in seconds."""

    _until: float = 0.0
    _short: dict[str, float] = attrs.field(factory=dict)

    def note_short(self, team: str, now: float) -> None:
        """Take note of a short step of a team."""
        self._short[team] = now

    def end_long(self, seconds: float, now: float) -> None:
        """Take note that a long span has taken so many seconds."""
        self._until = now + PAUSES * seconds

    def find_pause(self, team: str, now: float) -> float:
        """Return the seconds for which a team's long span must wait."""
        if now >= self._until:
            return 0.0
        oldest = now - RECENT_SECONDS
        for name in [n for n, seen in self._short.items() if seen < oldest]:
            del self._short[name]
        if all(name == team for name in self._short):
            return 0.0
        return self._until - now
