"""Requests that seem to crash each endpoint that runs them.

A run that breaks without an answer counts against the request's
fingerprint; a whole answer clears it. Counts are shared by all entries,
since such a request comes again at any of them. An endpoint that answers
later did not crash: it is cleared of the runs that broke there before.
"""

import collections
from typing import Iterable

import attrs

__all__ = ['PoisonRequests']

# Broken runs at as many endpoints after which a request is refused: two
# happen by chance while endpoints fail, and three retries are allowed.
MAX_BROKEN = 3
# How long a broken run counts, in seconds.
MEMORY_SECONDS = 60.0
# Most fingerprints that are kept.
MAX_REQUESTS = 2048


@attrs.define
class _BrokenRun:
    """A broken run.

    A cleared one is kept, so that older news of it does not count again.

    :ivar seen: when it broke or was first heard of, monotonic seconds
    :ivar cleared: whether it is known that the request did no harm
    """

    first_seen: float
    cleared: bool = False

    def is_counted(self, now: float) -> bool:
        return not self.cleared and now - self.first_seen <= MEMORY_SECONDS


@attrs.define
class _RequestRuns:
    """Broken runs of a request by endpoint."""

    by_endpoint: dict[str, _BrokenRun] = attrs.field(factory=dict)

    def count(self, now: float) -> int:
        return sum(
            1 for each in self.by_endpoint.values() if each.is_counted(now)
        )


class PoisonRequests:
    """Broken runs by fingerprint."""

    def __init__(self) -> None:
        self._requests: collections.OrderedDict[str, _RequestRuns] = (
            collections.OrderedDict()
        )

    def record_broken_run(
        self, fingerprint: str, endpoint: str, now: float
    ) -> int:
        """Count a broken run of this entry.

        :param now: monotonic time in seconds
        :returns: endpoints at which it broke, within the memory
        """
        runs = self._find(fingerprint)
        runs.by_endpoint[endpoint] = _BrokenRun(now)
        return runs.count(now)

    def receive_broken_run(
        self, fingerprint: str, endpoint: str, now: float
    ) -> None:
        """Count a broken run that another entry tells of.

        News that is repeated is as old as when it was first heard;
        otherwise entries would keep it alive by telling it each other.
        """
        by_endpoint = self._find(fingerprint).by_endpoint
        known = by_endpoint.get(endpoint)
        if known is None or now - known.first_seen > MEMORY_SECONDS:
            by_endpoint[endpoint] = _BrokenRun(now)

    def _find(self, fingerprint: str) -> _RequestRuns:
        runs = self._requests.setdefault(fingerprint, _RequestRuns())
        self._requests.move_to_end(fingerprint)
        if len(self._requests) > MAX_REQUESTS:
            self._requests.popitem(last=False)
        return runs

    def clear(self, fingerprint: str) -> bool:
        """Clear a request that got a whole answer.

        :returns: whether anything was held against it
        """
        runs = self._requests.get(fingerprint)
        return runs is not None and _clear(runs.by_endpoint.values()) > 0

    def clear_endpoint_runs(self, endpoint: str, since: float) -> int:
        """Clear the runs that broke at an endpoint that is still there.

        :param since: when a request was sent there that it answered,
            monotonic seconds
        :returns: broken runs that don't count any more
        """
        found = [
            runs.by_endpoint[endpoint]
            for runs in self._requests.values()
            if endpoint in runs.by_endpoint
        ]
        return _clear(each for each in found if each.first_seen < since)

    def is_poison(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request has broken too many runs."""
        runs = self._requests.get(fingerprint)
        return runs is not None and runs.count(now) >= MAX_BROKEN

    def list_recent(self, since: float) -> list[tuple[str, str]]:
        """List fingerprints and endpoints of runs broken since."""
        return [
            (fingerprint, endpoint)
            for fingerprint, runs in self._requests.items()
            for endpoint, each in runs.by_endpoint.items()
            if each.first_seen >= since and not each.cleared
        ]


def _clear(by_endpoint: Iterable[_BrokenRun]) -> int:
    """Clear broken runs, and return how many still counted."""
    held = [each for each in by_endpoint if not each.cleared]
    for each in held:
        each.cleared = True
    return len(held)
