"""Usage of endpoints: own reservations and those of other entries.

Each entry reserves memory for its own requests before it sends them, and
reports the sums to the other entries a few times a second. A choice therefore
misses at most what other entries began since their last report.
"""

from typing import Iterable, Mapping

import attrs

from dunlintide_core.pipeline import endpoints as endpoints_module

__all__ = [
    'Occupancy',
    'Reservation',
    'Usage',
]

# Sums of a silent entry count for this multiple of the interval between its
# last messages, since messages may be lost, but at least for
# MIN_REMOTE_SECONDS. In large deployments entries of other failure domains
# report seldom; if their sums expired between two messages, their engines
# would look idle and all other entries would send there.
REMOTE_INTERVALS = 2.0
MIN_REMOTE_SECONDS = 2.0
# Longest time for which they count, in seconds: a dead entry's requests end
# soon.
MAX_REMOTE_SECONDS = 20.0


@attrs.define
class Usage:
    """Resources of one endpoint or pipe that requests occupy.

    :ivar sequences: requests in flight
    :ivar started: requests whose chain begins on the endpoint
    :ivar cache: reserved memory, in tokens times layers
    """

    sequences: int = 0
    started: int = 0
    cache: int = 0

    def add(self, other: 'Usage', sign: int = 1) -> None:
        """Add another usage, or subtract it.

        :param sign: 1 to add, -1 to subtract
        """
        self.sequences += sign * other.sequences
        self.started += sign * other.started
        self.cache += sign * other.cache

    @property
    def is_empty(self) -> bool:
        """Whether nothing is occupied."""
        return not (self.sequences or self.started or self.cache)


@attrs.frozen(eq=False)
class Reservation:
    """Resources that one run of a request occupies, by endpoint or pipe."""

    parts: tuple[tuple[str, Usage], ...]


@attrs.define
class _Remote:
    """Sums that another entry reported.

    :ivar received_at: monotonic time of the report, in seconds
    :ivar usages: usage by that entry, by name of the endpoint or pipe
    :ivar interval: time between its last two reports, in seconds
    """

    received_at: float
    usages: Mapping[str, Usage]
    interval: float = 0.0

    def has_expired(self, now: float) -> bool:
        """Return whether the entry has been silent for too long."""
        max_age = max(MIN_REMOTE_SECONDS, REMOTE_INTERVALS * self.interval)
        return now - self.received_at > min(max_age, MAX_REMOTE_SECONDS)


def _add_usage(
    table: dict[str, Usage], name: str, part: Usage, sign: int
) -> None:
    """Add a usage to a table without empty rows, or subtract it with -1."""
    usage = table.get(name)
    if usage is None:
        usage = table[name] = Usage()
    usage.add(part, sign)
    if usage.is_empty:
        del table[name]


class Occupancy:
    """Usage of all endpoints as one entry knows it."""

    def __init__(self) -> None:
        self._own: dict[str, Usage] = {}
        self._remote: dict[str, _Remote] = {}
        # Time of each entry's last report, kept after its sums expired.
        self._received_at: dict[str, float] = {}
        self._sums: dict[str, Usage] = {}

    def reserve(
        self,
        hops: Iterable[endpoints_module.Hop],
        tokens: int,
        pipes: Iterable[str] = (),
    ) -> Reservation:
        """Reserve memory and a slot on each endpoint of a chain.

        :param tokens: tokens that each layer keeps
        :param pipes: names of the pipes that the chain crosses
        """
        parts = []
        for pipe in pipes:
            part = Usage(1)
            self._change(pipe, part, 1)
            parts.append((pipe, part))
        for index, hop in enumerate(hops):
            cache = tokens * (hop.end - hop.start)
            part = Usage(1, int(index == 0), cache)
            self._change(hop.endpoint.name, part, 1)
            parts.append((hop.endpoint.name, part))
        return Reservation(tuple(parts))

    def release(self, reservation: Reservation) -> None:
        """Release the resources of a run."""
        for name, part in reservation.parts:
            self._change(name, part, -1)

    def _change(self, name: str, part: Usage, sign: int) -> None:
        """Change own usage and the sums of all entries."""
        for table in (self._own, self._sums):
            _add_usage(table, name, part, sign)

    @property
    def usages(self) -> Mapping[str, Usage]:
        """Usage of endpoints and pipes by all entries, without idle ones."""
        return self._sums

    def get(self, name: str) -> Usage:
        """Return the usage of an endpoint by all entries."""
        return self._sums.get(name) or Usage()

    def list_own(self) -> Mapping[str, Usage]:
        """Return the usage by this entry, as reported to the others."""
        return self._own

    def set_remote(
        self, entry: str, usages: Mapping[str, Usage], now: float
    ) -> set[str]:
        """Replace the usage that another entry reported.

        :param now: monotonic time in seconds
        :returns: names of what it occupies less of than before
        """
        before = self._remote.get(entry)
        freed = self._replace(before.usages if before else {}, usages)
        interval = now - self._received_at.get(entry, now)
        self._received_at[entry] = now
        self._remote[entry] = _Remote(now, usages, interval)
        return freed

    def _replace(
        self, before: Mapping[str, Usage], after: Mapping[str, Usage]
    ) -> set[str]:
        """Replace the sums of an entry by its latest ones.

        Most of them are the same from one message to the next.

        :returns: names of what is occupied less
        """
        freed = set()
        for name, new in after.items():
            old = before.get(name)
            if old is None:
                _add_usage(self._sums, name, new, 1)
            elif old != new:
                if new.cache < old.cache or new.started < old.started:
                    freed.add(name)
                _add_usage(self._sums, name, old, -1)
                _add_usage(self._sums, name, new, 1)
        for name, old in before.items():
            if name not in after:
                _add_usage(self._sums, name, old, -1)
                freed.add(name)
        return freed

    def drop_remote(self, entry: str) -> None:
        """Drop the usage of an entry that is no longer listed."""
        self._received_at.pop(entry, None)
        self._discard_remote(entry)

    def _discard_remote(self, entry: str) -> None:
        """Remove another entry's usage from the sums."""
        remote = self._remote.pop(entry, None)
        if remote is not None:
            self._replace(remote.usages, {})

    def expire(self, now: float) -> bool:
        """Drop the usage of entries that have been silent for too long.

        :returns: whether there were any
        """
        count = len(self._remote)
        for entry, remote in list(self._remote.items()):
            if remote.has_expired(now):
                self._discard_remote(entry)
        return len(self._remote) < count
