"""Back-off periods that endpoints ask this entry for.

An endpoint that turns a request away may say for how long it wants nothing
from this entry. Each such answer binds until its own end, so of several the
latest end counts, in whatever order they arrive. Other entries are not bound:
they would lose an endpoint that serves them.

An endpoint whose back-off is over looks idle, and would draw all waiting load
at once. So it gets one request, and two more for each that it accepts, until
it has shown that it keeps up (slow start).
"""

import attrs

__all__ = [
    'DEFAULT_SECONDS',
    'Backoffs',
    'EndedBackoff',
]

# Back-off for an endpoint that asks for one that can't be read, in seconds.
DEFAULT_SECONDS = 1.0
# Requests that an endpoint must accept, and seconds without another back-off,
# either of which ends its slow start.
RECOVERED_ACCEPTED = 8
RECOVERY_SECONDS = 3.0
# Further requests for each that is accepted in slow start.
GROWTH = 2
# Time after which another request may try an endpoint that has not accepted
# one in slow start, in seconds: the last one may have been lost.
TRIAL_SECONDS = 0.5
# Longest back-off, in seconds, so that records of endpoints that are gone end.
MAX_SECONDS = 86400.0


@attrs.define
class _Record:
    """Back-off of one endpoint.

    :ivar began: monotonic time of the first answer that asked, in seconds
    :ivar until: monotonic time of its end, in seconds
    :ivar allowed: requests that may be sent now in slow start
    :ivar accepted: requests that the endpoint accepted in slow start
    :ivar sent: monotonic time of the last request in slow start, in seconds
    :ivar is_reported: whether its end was reported
    """

    began: float
    until: float
    allowed: int = 1
    accepted: int = 0
    sent: float = 0.0
    is_reported: bool = False

    def is_recovered(self, now: float) -> bool:
        """Return whether the endpoint needs no slow start any more."""
        return (
            self.accepted >= RECOVERED_ACCEPTED
            or now >= self.until + RECOVERY_SECONDS
        )

    def can_send(self, now: float) -> bool:
        """Return whether a request may be sent now."""
        if now < self.until:
            return False
        return (
            self.allowed > 0
            or self.is_recovered(now)
            or now >= self.sent + TRIAL_SECONDS
        )


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

    def record_sent(self, name: str, now: float) -> None:
        """Record a request to an endpoint, which counts in slow start.

        :param now: monotonic time in seconds
        """
        record = self._records.get(name)
        if record is not None:
            record.allowed = max(0, record.allowed - 1)
            record.sent = now

    def record_accepted(self, name: str, sent: float) -> bool:
        """Record that an endpoint accepted a request.

        :param sent: monotonic time at which it was sent, in seconds
        :returns: whether that allows further requests
        """
        record = self._records.get(name)
        # One that was sent before the back-off shows nothing about its end.
        if record is None or sent < record.until:
            return False
        record.accepted += 1
        record.allowed += GROWTH
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
        return record is None or record.can_send(now)

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

    def report_ended(self, now: float) -> list[EndedBackoff]:
        """Return the back-offs that ended since the last call."""
        ended = []
        for name, record in self._records.items():
            if record.until <= now and not record.is_reported:
                record.is_reported = True
                ended.append(EndedBackoff(name, record.until - record.began))
        return ended

    def drop_recovered(self, now: float) -> dict[str, int]:
        """Forget endpoints whose slow start is over.

        :returns: requests that each accepted in it, by name
        """
        recovered = {
            name: record.accepted
            for name, record in self._records.items()
            if now >= record.until and record.is_recovered(now)
        }
        for name in recovered:
            del self._records[name]
        return recovered
