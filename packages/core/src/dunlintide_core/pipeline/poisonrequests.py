"""Detection of poison requests, which crash the endpoints that run them.

A run that breaks without an answer counts against the request's fingerprint; a
complete answer clears it. Entries share their counts, since such a request is
repeated at any of them. An endpoint that answers later did not crash: runs
that broke there before are cleared.
"""

import collections
from typing import Iterable

import attrs

__all__ = ['PoisonRequests']

# Number of endpoints with a broken run from which on a request is refused: two
# occur by chance while endpoints fail, and three retries are allowed.
MAX_BROKEN = 3
# How long a broken run counts, in seconds.
MEMORY_SECONDS = 60.0
# Maximum number of fingerprints that are kept.
MAX_REQUESTS = 2048


@attrs.define
class _BrokenRun:
    """A broken run.

    A cleared one is kept, so that older reports of it do not count again.

    :ivar first_seen: when it broke or was first reported, monotonic seconds
    :ivar cleared: whether the request is known not to have caused it
    """

    first_seen: float
    cleared: bool = False

    def is_counted(self, now: float) -> bool:
        """Return whether the run counts against its request."""
        return not self.cleared and now - self.first_seen <= MEMORY_SECONDS


@attrs.define
class _RequestRuns:
    """Broken runs of one request, by endpoint."""

    by_endpoint: dict[str, _BrokenRun] = attrs.field(factory=dict)

    def count(self, now: float) -> int:
        """Count the endpoints with a broken run that counts."""
        return sum(
            1 for each in self.by_endpoint.values() if each.is_counted(now)
        )


class PoisonRequests:
    """Broken runs by fingerprint of the request."""

    def __init__(self) -> None:
        self._requests: collections.OrderedDict[str, _RequestRuns] = (
            collections.OrderedDict()
        )

    def record_broken_run(
        self, fingerprint: str, endpoint: str, now: float
    ) -> int:
        """Record a broken run of this entry.

        :param now: monotonic time in seconds
        :returns: number of endpoints with a broken run that counts
        """
        runs = self._find(fingerprint)
        runs.by_endpoint[endpoint] = _BrokenRun(now)
        return runs.count(now)

    def receive_broken_run(
        self, fingerprint: str, endpoint: str, now: float
    ) -> None:
        """Record a broken run that another entry reported.

        A repeated report keeps the time of the first one; otherwise entries
        would renew it forever by reporting it to each other.
        """
        by_endpoint = self._find(fingerprint).by_endpoint
        known = by_endpoint.get(endpoint)
        if known is None or now - known.first_seen > MEMORY_SECONDS:
            by_endpoint[endpoint] = _BrokenRun(now)

    def _find(self, fingerprint: str) -> _RequestRuns:
        """Return the runs of a request, and mark it as recently used."""
        runs = self._requests.setdefault(fingerprint, _RequestRuns())
        self._requests.move_to_end(fingerprint)
        if len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)
        return runs

    def clear(self, fingerprint: str) -> bool:
        """Clear a request that got a complete answer.

        :returns: whether any broken run was not cleared before
        """
        runs = self._requests.get(fingerprint)
        return runs is not None and _clear(runs.by_endpoint.values()) > 0

    def clear_endpoint_runs(self, endpoint: str, since: float) -> int:
        """Clear the runs that broke on an endpoint that still answers.

        :param since: monotonic time at which a request that it answered was
            sent, in seconds
        :returns: number of runs that were not cleared before
        """
        found = [
            runs.by_endpoint[endpoint]
            for runs in self._requests.values()
            if endpoint in runs.by_endpoint
        ]
        return _clear(each for each in found if each.first_seen < since)

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Return whether the runs of a request broke on too many endpoints."""
        runs = self._requests.get(fingerprint)
        return runs is not None and runs.count(now) >= MAX_BROKEN

    def list_recent(self, since: float) -> list[tuple[str, str]]:
        """List fingerprint and endpoint of the runs broken since a time."""
        return [
            (fingerprint, endpoint)
            for fingerprint, runs in self._requests.items()
            for endpoint, each in runs.by_endpoint.items()
            if each.first_seen >= since and not each.cleared
        ]


def _clear(by_endpoint: Iterable[_BrokenRun]) -> int:
    """Clear broken runs, and return how many were not cleared before."""
    uncleared = [each for each in by_endpoint if not each.cleared]
    for each in uncleared:
        each.cleared = True
    return len(uncleared)
