"""Demand that other entries sent.

The rows of an entry are valid for a short time only, so an entry that sends
none counts as having no demand, and nobody waits for it.
"""

import collections
from typing import Iterable, Mapping, Sequence

import attrs

from dunlintide_core.pipeline import demandrows

__all__ = ['RemoteDemand', 'Sum']

# How long the rows of another entry are valid, in seconds: a round of notices
# over up to 27 others takes 0.45 s.
VALID_SECONDS = 0.5
# Maximum numbers of other entries, and of rows of each, that are kept.
MAX_ENTRIES = 512
MAX_ROWS = 64
# Number of entries with valid rows below which demand is not scaled up
# further. The first notices after a calm come from the few entries where
# requests wait; scaled to all listed ones, a single queue would look like
# hundreds.
MIN_SAMPLE = 12


@attrs.define
class Sum:
    """Demand of one kind, summed over the rows of other entries.

    :ivar rows: number of rows that are summed
    :ivar load: load in ``demandrows.LOAD_UNIT``
    """

    rows: int = 0
    waiting: int = 0
    load: int = 0
    started: int = 0

    def add(self, row: demandrows.Row, sign: int) -> None:
        """Add a row, or subtract it with -1."""
        self.rows += sign
        self.waiting += sign * row.waiting
        self.load += sign * row.load
        self.started += sign * row.started


@attrs.frozen
class _Notice:
    """Rows that another entry sent.

    :ivar received_at: monotonic time of their receipt, in seconds
    :ivar waiting: priorities and teams that wait there, by service
    """

    received_at: float
    rows: Sequence[demandrows.Row]
    waiting: Mapping[int, Sequence[tuple[int, int]]]

    @classmethod
    def from_rows(
        cls, rows: Sequence[demandrows.Row], now: float
    ) -> '_Notice':
        """Index the rows that were received."""
        waiting: dict[int, list[tuple[int, int]]] = {}
        for row in rows:
            if row.waiting:
                key = row.priority, row.team
                waiting.setdefault(row.service, []).append(key)
        return cls(now, rows, waiting)


class RemoteDemand:
    """Demand of the other entries by service, priority and team."""

    def __init__(self) -> None:
        # In the order of their receipt, so that only the first may expire.
        self._notices: collections.OrderedDict[str, _Notice] = (
            collections.OrderedDict()
        )
        self._sums: dict[int, dict[tuple[int, int], Sum]] = {}
        self._listed = 0
        self._has_expired = False

    @property
    def is_empty(self) -> bool:
        """Whether there are rows of no other entry, expired or not."""
        return not self._notices

    @property
    def factor(self) -> float:
        """Number of listed entries over the number of those with rows."""
        sample = max(len(self._notices), min(MIN_SAMPLE, self._listed), 1)
        return max(1.0, self._listed / sample)

    def get(self, service: int) -> Mapping[tuple[int, int], Sum]:
        """Return the demand for a service, by priority and team.

        :param service: digest of the name of the service
        """
        return self._sums.get(service, {})

    def list_keys(self) -> Iterable[tuple[int, int, int]]:
        """List service, priority and team of all demand."""
        for service, sums in self._sums.items():
            for key in sums:
                yield service, *key

    def list_waiting(
        self, service: int
    ) -> Iterable[tuple[str, Sequence[tuple[int, int]]]]:
        """List the priorities and teams that wait, for each entry.

        :param service: digest of the name of the service
        """
        for entry, notice in self._notices.items():
            yield entry, notice.waiting.get(service, ())

    def set_listed(self, count: int) -> None:
        """Set the number of other entries that are listed."""
        self._listed = count

    def receive(
        self, entry: str, rows: Iterable[demandrows.Row], now: float
    ) -> None:
        """Replace the rows of another entry.

        Rows beyond ``MAX_ROWS`` and entries beyond ``MAX_ENTRIES`` are
        ignored.

        :param now: monotonic time in seconds
        """
        self.expire(now)
        self.drop(entry)
        if len(self._notices) >= MAX_ENTRIES:
            return
        notice = _Notice.from_rows(tuple(rows)[:MAX_ROWS], now)
        self._notices[entry] = notice
        for row in notice.rows:
            sums = self._sums.setdefault(row.service, {})
            key = row.priority, row.team
            sums.setdefault(key, Sum()).add(row, 1)

    def drop(self, entry: str) -> None:
        """Drop the rows of an entry."""
        notice = self._notices.pop(entry, None)
        for row in notice.rows if notice else ():
            sums = self._sums[row.service]
            key = row.priority, row.team
            sums[key].add(row, -1)
            if not sums[key].rows:
                del sums[key]
            if not sums:
                del self._sums[row.service]

    def expire(self, now: float) -> None:
        """Drop the rows that are older than ``VALID_SECONDS``.

        :param now: monotonic time in seconds
        """
        while self._notices:
            entry = next(iter(self._notices))
            if now - self._notices[entry].received_at <= VALID_SECONDS:
                return
            self.drop(entry)
            self._has_expired = True

    def take_expired(self) -> bool:
        """Return whether any rows expired since the last call."""
        has_expired, self._has_expired = self._has_expired, False
        return has_expired
