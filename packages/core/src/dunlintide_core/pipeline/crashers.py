"""Requests that seem to crash each endpoint that runs them.

A run that breaks without an answer counts against the request's
fingerprint; a whole answer clears it. Counts are shared by all entries,
since such a request comes again at any of them.
"""

import collections

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
class _Case:
    endpoints: dict[str, float]


class Crashers:
    """Broken runs by fingerprint."""

    def __init__(self) -> None:
        self._cases: collections.OrderedDict[str, _Case] = (
            collections.OrderedDict()
        )

    def report(self, fingerprint: str, endpoint: str, now: float) -> int:
        """Count a broken run.

        :param now: monotonic time in seconds
        :returns: endpoints at which it broke, within the memory
        """
        case = self._cases.setdefault(fingerprint, _Case({}))
        self._cases.move_to_end(fingerprint)
        case.endpoints[endpoint] = now
        if len(self._cases) > MAX_KNOWN:
            self._cases.popitem(last=False)
        return self._count(case, now)

    def clear(self, fingerprint: str) -> bool:
        """Forget a request that got a whole answer.

        :returns: whether anything was known of it
        """
        return self._cases.pop(fingerprint, None) is not None

    def is_refused(self, fingerprint: str, now: float) -> bool:
        """Tell whether a request has broken too many runs."""
        case = self._cases.get(fingerprint)
        return case is not None and self._count(case, now) >= MAX_BROKEN

    def list_recent(self, since: float) -> list[tuple[str, str]]:
        """List fingerprints and endpoints of runs broken since."""
        return [
            (fingerprint, endpoint)
            for fingerprint, case in self._cases.items()
            for endpoint, seen in case.endpoints.items()
            if seen >= since
        ]

    @staticmethod
    def _count(case: _Case, now: float) -> int:
        recent = (seen for seen in case.endpoints.values())
        return sum(1 for seen in recent if now - seen <= MEMORY)
