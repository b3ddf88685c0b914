"""Back-off periods that endpoints ask this entry for.

An endpoint that turns a request away may say for how long it wants nothing
from this entry. Each such answer binds until its own end, so of several the
latest end counts, in whatever order they arrive. Other entries are not bound:
they would lose an endpoint that serves them.
"""

import attrs

__all__ = [
    'DEFAULT_SECONDS',
    'Backoffs',
    'EndedBackoff',
]

# Back-off for an endpoint that asks for one that can't be read, in seconds.
DEFAULT_SECONDS = 1.0
# Longest back-off, in seconds, so that records of endpoints that are gone end.
MAX_SECONDS = 86400.0


@attrs.define
class _Record:
    """Back-off of one endpoint.

    :ivar began: monotonic time of the first answer that asked, in seconds
    :ivar until: monotonic time of its end, in seconds
    """

    began: float
    until: float


@attrs.frozen
class EndedBackoff:
    """A back-off that is over.

    :ivar name: name of the endpoint
    :ivar seconds: how long it lasted
    """

    name: str
    seconds: float


class Backoffs:
    """Back-offs of all endpoints that asked for one."""

    def __init__(self) -> None:
        self._records: dict[str, _Record] = {}

    def begin(self, name: str, seconds: float, now: float) -> bool:
        """Begin or extend the back-off of an endpoint.

        :param seconds: how long the endpoint wants nothing from now on
        :param now: monotonic time in seconds
        :returns: whether it ends later than before
        """
        until = now + min(seconds, MAX_SECONDS)
        record = self._records.get(name)
        if record is None or record.until <= now:
            if until <= now:
                return False
            self._records[name] = _Record(now, until)
            return True
        if until <= record.until:
            return False
        record.until = until
        return True

    def get_left(self, name: str, now: float) -> float:
        """Return the rest of an endpoint's back-off, 0 for none, in seconds.

        :param now: monotonic time in seconds
        """
        record = self._records.get(name)
        return max(0.0, record.until - now) if record else 0.0

    def can_send(self, name: str, now: float) -> bool:
        """Return whether an endpoint may get a request now.

        :param now: monotonic time in seconds
        """
        record = self._records.get(name)
        return record is None or now >= record.until

    def list_closed(self, now: float) -> set[str]:
        """Return the names of endpoints that must not get a request now."""
        return {name for name in self._records if not self.can_send(name, now)}

    def list_left(self, now: float) -> dict[str, float]:
        """Return the rest of each back-off by endpoint, in seconds."""
        return {
            name: record.until - now
            for name, record in self._records.items()
            if record.until > now
        }

    def end_expired(self, now: float) -> list[EndedBackoff]:
        """Forget the back-offs that are over, and return them."""
        ended = [
            EndedBackoff(name, record.until - record.began)
            for name, record in self._records.items()
            if record.until <= now
        ]
        for each in ended:
            del self._records[each.name]
        return ended
