"""What endpoints carry: own reservations and those told by other entries.

Each entry reserves memory for its own requests before it sends them and
tells the others the sums a few times a second, so a choice errs by at
most what the others began since their last message.
"""

from typing import Iterable, Mapping

import attrs

from dunlintide_core.pipeline import endpoints as endpoints_module

__all__ = [
    'Occupancy',
    'Reservation',
    'Usage',
]

# Sums of an entry that fell silent count for so many times the usual pause
# between its messages, as some may be lost, and so long at least, in seconds.
# Entries of other failure domains speak seldom where there are many; if
# their sums lapsed between two messages, their engines would look idle and
# all others would send there.
REMOTE_INTERVALS = 2.0
MIN_REMOTE_SECONDS = 2.0
# The longest that they count, in seconds: a dead entry's requests end soon.
MAX_REMOTE_SECONDS = 20.0


@attrs.define
class Usage:
    """What requests take of one endpoint.

    :ivar sequences: requests in flight
    :ivar started: those whose chain begins there
    :ivar cache: reserved memory, in tokens times layers
    """

    sequences: int = 0
    started: int = 0
    cache: int = 0

    def add(self, other: 'Usage', sign: int = 1) -> None:
        """Add what another use takes, or take it off with -1."""
        self.sequences += sign * other.sequences
        self.started += sign * other.started
        self.cache += sign * other.cache

    @property
    def is_empty(self) -> bool:
        """Whether nothing is in use."""
        return not (self.sequences or self.started or self.cache)


@attrs.frozen(eq=False)
class Reservation:
    """What one run of a request takes, by name of endpoint."""

    parts: tuple[tuple[str, Usage], ...]


@attrs.define
class _Remote:
    """Sums of another entry.

    :ivar heard: when they were told, monotonic, in seconds
    :ivar pause: time between its last two messages, in seconds
    """

    received_at: float
    usages: Mapping[str, Usage]
    interval: float = 0.0

    def has_expired(self, now: float) -> bool:
        """Tell whether its sender is silent for too long."""
        max_age = max(MIN_REMOTE_SECONDS, REMOTE_INTERVALS * self.interval)
        return now - self.received_at > min(max_age, MAX_REMOTE_SECONDS)


def _add_usage(
    table: dict[str, Usage], name: str, part: Usage, sign: int
) -> None:
    """Add a use to a table of those in use, or take it off with -1."""
    usage = table.get(name)
    if usage is None:
        usage = table[name] = Usage()
    usage.add(part, sign)
    if usage.is_empty:
        del table[name]


class Occupancy:
    """Use of all endpoints as one entry knows it."""

    def __init__(self) -> None:
        self._own: dict[str, Usage] = {}
        self._remote: dict[str, _Remote] = {}
        # When each entry spoke last, also after its sums have lapsed.
        self._received_at: dict[str, float] = {}
        self._sums: dict[str, Usage] = {}

    def reserve(
        self,
        hops: Iterable[endpoints_module.Hop],
        tokens: int,
        pipes: Iterable[str] = (),
    ) -> Reservation:
        """Take memory and a place at each endpoint of a chain.

        :param tokens: tokens kept by each layer
        :param pipes: pipes that the chain crosses, counted alike
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
        """Give back what a run took."""
        for name, part in reservation.parts:
            self._change(name, part, -1)

    def _change(self, name: str, part: Usage, sign: int) -> None:
        for table in (self._own, self._sums):
            _add_usage(table, name, part, sign)

    @property
    def usages(self) -> Mapping[str, Usage]:
        """Use of endpoints and pipes by all entries; those in use only."""
        return self._sums

    def get(self, name: str) -> Usage:
        """Give the use of an endpoint by all entries."""
        return self._sums.get(name) or Usage()

    def list_own(self) -> Mapping[str, Usage]:
        """Give the use by this entry, to tell the others."""
        return self._own

    def set_remote(
        self, entry: str, usages: Mapping[str, Usage], now: float
    ) -> bool:
        """Take in what another entry tells of its own use.

        :param now: monotonic time in seconds
        :returns: whether it takes less of anything than it did
        """
        before = self._remote.get(entry)
        freed = self._replace(before.usages if before else {}, usages)
        interval = now - self._received_at.get(entry, now)
        self._received_at[entry] = now
        self._remote[entry] = _Remote(now, usages, interval)
        return freed

    def _replace(
        self, before: Mapping[str, Usage], after: Mapping[str, Usage]
    ) -> bool:
        """Put the sums of an entry in place of those it told before.

        Most of them are the same from one message to the next.

        :returns: whether less is taken of anything
        """
        freed = False
        for name, new in after.items():
            old = before.get(name)
            if old is None:
                _add_usage(self._sums, name, new, 1)
            elif old != new:
                freed = freed or new.cache < old.cache
                freed = freed or new.started < old.started
                _add_usage(self._sums, name, old, -1)
                _add_usage(self._sums, name, new, 1)
        for name, old in before.items():
            if name not in after:
                _add_usage(self._sums, name, old, -1)
                freed = True
        return freed

    def drop_remote(self, entry: str) -> None:
        """Forget an entry that is not listed any more."""
        self._received_at.pop(entry, None)
        self._discard_remote(entry)

    def _discard_remote(self, entry: str) -> None:
        remote = self._remote.pop(entry, None)
        if remote is not None:
            self._replace(remote.usages, {})

    def expire(self, now: float) -> bool:
        """Forget what entries told that have been silent for long.

        :returns: whether there were any
        """
        count = len(self._remote)
        for entry, remote in list(self._remote.items()):
            if remote.has_expired(now):
                self._discard_remote(entry)
        return len(self._remote) < count
