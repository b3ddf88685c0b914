"""Requests that seem to crash each endpoint that runs them.

A run that breaks without an answer counts against the request's
fingerprint; a whole answer clears it. Counts are shared by all entries,
since such a request comes again at any of them. An endpoint that answers
later did not crash: it is cleared of the runs that broke there before.
"""

import collections
from typing import Iterable

import attrs

__all__ = ['Crashers']

# Broken runs at as many endpoints after which a request is refused: two
# happen by chance while endpoints fail, and three retries are allowed.
MAX_BROKEN = 3
# How long a broken run counts, in seconds.
MEMORY = 60.0
# Most fingerprints that are kept.
MAX_KNOWN = 2048


@attrs.define
class _Break:
    """A broken run.

    A cleared one is kept, so that older news of it does not count again.

    :ivar seen: when it broke or was first heard of, monotonic seconds
    :ivar cleared: whether it is known that the request did no harm
    """

    seen: float
    cleared: bool = False

    def counts(self, now: float) -> bool:
        return not self.cleared and now - self.seen <= MEMORY


@attrs.define
class _Case:
    """Broken runs of a request by endpoint."""

    breaks: dict[str, _Break] = attrs.field(factory=dict)

    def count(self, now: float) -> int:
        return sum(1 for each in self.breaks.values() if each.counts(now))


class Crashers:
    """Broken runs by fingerprint."""

    def __init__(self) -> None:
        self._cases: collections.OrderedDict[str, _Case] = (
            collections.OrderedDict()
        )

    def report(self, fingerprint: str, endpoint: str, now: float) -> int:
        """Count a broken run of this entry.

        :param now: monotonic time in seconds
        :returns: endpoints at which it broke, within the memory
        """
        case = self._find(fingerprint)
        case.breaks[endpoint] = _Break(now)
        return case.count(now)

    def hear(self, fingerprint: str, endpoint: str, now: float) -> None:
        """Count a broken run that another entry tells of.

        News that is repeated is as old as when it was first heard;
        otherwise entries would keep it alive by telling it each other.
        """
        breaks = self._find(fingerprint).breaks
        known = breaks.get(endpoint)
        if known is None or now - known.seen > MEMORY:
            breaks[endpoint] = _Break(now)

    def _find(self, fingerprint: str) -> _Case:
        case = self._cases.setdefault(fingerprint, _Case())
        self._cases.move_to_end(fingerprint)
        if len(self._cases) > MAX_KNOWN:
            self._cases.popitem(last=False)
        return case

    def clear(self, fingerprint: str) -> bool:
        """Clear a request that got a whole answer.

        :returns: whether anything was held against it
        """
        case = self._cases.get(fingerprint)
        return case is not None and _clear(case.breaks.values()) > 0

    def clear_endpoint(self, endpoint: str, since: float) -> int:
        """Clear the runs that broke at an endpoint that is still there.

        :param since: when a request was sent there that it answered,
            monotonic seconds
        :returns: broken runs that don't count any more
        """
        found = [
            case.breaks[endpoint]
            for case in self._cases.values()
            if endpoint in case.breaks
        ]
        return _clear(each for each in found if each.seen < since)

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request has broken too many runs."""
        case = self._cases.get(fingerprint)
        return case is not None and case.count(now) >= MAX_BROKEN

    def list_recent(self, since: float) -> list[tuple[str, str]]:
        """List fingerprints and endpoints of runs broken since."""
        return [
            (fingerprint, endpoint)
            for fingerprint, case in self._cases.items()
            for endpoint, each in case.breaks.items()
            if each.seen >= since and not each.cleared
        ]


def _clear(breaks: Iterable[_Break]) -> int:
    """Clear broken runs, and return how many still counted."""
    held = [each for each in breaks if not each.cleared]
    for each in held:
        each.cleared = True
    return len(held)
