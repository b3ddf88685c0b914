"""Rate limits of endpoints, as one entry knows them.

An endpoint names its limit in its answers, so entries observe it at different
times. The newest observation counts, whichever entry made it.
"""

from typing import Iterable

import attrs

__all__ = [
    'Observation',
    'RateLimits',
]

# How long the end of a limit is remembered, in seconds, so that older reports
# of other entries do not restore the limit.
ENDED_SECONDS = 30.0
# How long an observation is repeated to other entries, in seconds.
REPEAT_SECONDS = 5.0


@attrs.frozen
class Observation:
    """A limit that an endpoint named.

    :ivar limit: requests per second from all entries, None for no limit
    :ivar at: monotonic time of the observation, in seconds
    :ivar is_own: whether this entry made it
    """

    limit: float | None
    at: float
    is_own: bool = True


class RateLimits:
    """Newest observation of each endpoint that has named a limit."""

    def __init__(self) -> None:
        self._known: dict[str, Observation] = {}

    def get(self, name: str) -> float | None:
        """Return the limit of an endpoint in requests per second, if any."""
        known = self._known.get(name)
        return known.limit if known else None

    def get_age(self, name: str, now: float) -> float:
        """Return the age of the observation of an endpoint, in seconds."""
        known = self._known.get(name)
        return now - known.at if known else float('inf')

    def list_limited(self) -> dict[str, float]:
        """Return the limits by name of the endpoint."""
        return {
            name: known.limit
            for name, known in self._known.items()
            if known.limit is not None
        }

    def list_recent(self, now: float) -> dict[str, Observation]:
        """Return the own observations to send to other entries."""
        return {
            name: known
            for name, known in self._known.items()
            if known.is_own and now - known.at <= REPEAT_SECONDS
        }

    def record(
        self, name: str, limit: float | None, sent: float, now: float
    ) -> bool:
        """Record the limit in an answer of an endpoint.

        :param limit: requests per second, None if the answer names no limit
        :param sent: monotonic time at which the request was sent, in seconds
        :returns: whether the limit has changed
        """
        known = self._known.get(name)
        # Answers overtake each other: an answer without a limit ends a limit
        # only if its request was sent after the limit was observed.
        if limit is None and (known is None or sent <= known.at):
            return False
        return self._replace(name, Observation(limit, now))

    def receive(
        self, name: str, limit: float | None, age: float, now: float
    ) -> bool:
        """Record an observation of another entry.

        :param age: age of the observation, in seconds
        :returns: whether the limit has changed
        """
        at = now - age
        known = self._known.get(name)
        if known is not None and at <= known.at:
            return False
        if known is None and limit is None:
            return False
        return self._replace(name, Observation(limit, at, is_own=False))

    def _replace(self, name: str, new: Observation) -> bool:
        """Store an observation, and return whether the limit has changed."""
        before = self.get(name)
        self._known[name] = new
        return before != new.limit

    def expire(self, now: float, endpoints: Iterable[str]) -> None:
        """Drop limits that ended long ago, or of endpoints that are gone.

        :param endpoints: names of all listed endpoints
        """
        listed = set(endpoints)
        for name, known in list(self._known.items()):
            needed = known.limit is not None and name in listed
            if not needed and now - known.at > ENDED_SECONDS:
                del self._known[name]

    def forget(self, name: str) -> None:
        """Drop the limit of an endpoint that is gone."""
        self._known.pop(name, None)
