"""Requests that wait and that hold capacity at this entry."""

import collections
from typing import Callable, Iterable, Mapping

import attrs

from dunlintide_core.pipeline import demandrows

__all__ = [
    'Demand',
    'LocalDemand',
    'MAX_SENT_ROWS',
    'START_WINDOW_SECONDS',
]

# Window over which starts are counted, in seconds.
START_WINDOW_SECONDS = 1.0
# Maximum number of starts that are kept; a process starts fewer a second.
MAX_STARTS = 8192
# Maximum number of rows that an entry sends.
MAX_SENT_ROWS = 32


@attrs.define
class Demand:
    """Demand of one kind at this entry.

    :ivar key: priority, and digest of the name of the team
    :ivar weight: weight of the last request
    :ivar waiting_since: monotonic time since which requests wait, in seconds,
        None if none does
    :ivar waiting: number of waiting requests
    :ivar held: number of requests in flight
    :ivar load: requests in flight divided by their weight
    :ivar started: number of starts within ``START_WINDOW_SECONDS``
    """

    kind: demandrows.Kind
    key: tuple[int, int]
    weight: float = 1.0
    waiting_since: float | None = None
    waiting: int = 0
    held: int = 0
    load: float = 0.0
    started: int = 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing waits, is in flight or started recently."""
        return not (self.waiting or self.held or self.started)


class LocalDemand:
    """Demand of this entry by service, priority and team."""

    def __init__(self, notify: Callable[[], None]) -> None:
        """Create a state without demand.

        :param notify: called when the first request of a service and priority
            begins to wait, and when the last one stops waiting
        """
        self._notify = notify
        self._demand: dict[int, dict[tuple[int, int], Demand]] = {}
        # Number of waiting requests by service and priority.
        self._waiting: dict[tuple[int, int], int] = {}
        self._starts: collections.deque[tuple[float, Demand]] = (
            collections.deque()
        )

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits."""
        return bool(self._waiting)

    def get(self, service: int) -> Mapping[tuple[int, int], Demand]:
        """Return the demand for a service, by priority and team.

        :param service: digest of the name of the service
        """
        return self._demand.get(service, {})

    def list_keys(self) -> Iterable[tuple[int, int, int]]:
        """List service, priority and team of all demand."""
        for service, demand in self._demand.items():
            for key in demand:
                yield service, *key

    def record_arrival(
        self, kind: demandrows.Kind, weight: float, now: float
    ) -> None:
        """Record that a request begins to wait.

        :param weight: weight of the request in its team's share, above 0
        :param now: monotonic time in seconds
        """
        demand = self._get_or_create(kind)
        demand.weight = weight
        if not demand.waiting:
            demand.waiting_since = now
        demand.waiting += 1
        place = demandrows.digest(kind.service), kind.priority
        self._waiting[place] = self._waiting.get(place, 0) + 1
        if self._waiting[place] == 1:
            self._notify()

    def record_departure(self, kind: demandrows.Kind) -> None:
        """Record that a request stops waiting; ignored if none waits."""
        demand = self._find(kind)
        if demand is None or not demand.waiting:
            return
        demand.waiting -= 1
        if not demand.waiting:
            demand.waiting_since = None
        place = demandrows.digest(kind.service), kind.priority
        self._waiting[place] -= 1
        if not self._waiting[place]:
            del self._waiting[place]
            self._notify()
        self._discard_idle(demand)

    def record_start(
        self, kind: demandrows.Kind, weight: float, now: float
    ) -> None:
        """Record that a request begins to hold capacity.

        :param weight: weight of the request in its team's share, above 0
        :param now: monotonic time in seconds
        """
        demand = self._get_or_create(kind)
        demand.weight = weight
        demand.held += 1
        demand.load += 1 / weight
        demand.started += 1
        self._starts.append((now, demand))
        if len(self._starts) > MAX_STARTS:
            self._drop_oldest_start()

    def record_end(self, kind: demandrows.Kind, weight: float) -> None:
        """Record that a request no longer holds capacity.

        Ignored if none holds any.

        :param weight: the weight that was given at its start
        """
        demand = self._find(kind)
        if demand is None or not demand.held:
            return
        demand.held -= 1
        load = max(0.0, demand.load - 1 / weight)
        demand.load = load if demand.held else 0.0
        self._discard_idle(demand)

    def expire(self, now: float) -> None:
        """Drop starts that are older than ``START_WINDOW_SECONDS``.

        :param now: monotonic time in seconds
        """
        starts = self._starts
        while starts and starts[0][0] <= now - START_WINDOW_SECONDS:
            self._drop_oldest_start()

    def _get_or_create(self, kind: demandrows.Kind) -> Demand:
        key = kind.priority, demandrows.digest(kind.team)
        service = demandrows.digest(kind.service)
        by_key = self._demand.setdefault(service, {})
        demand = by_key.get(key)
        if demand is None:
            demand = by_key[key] = Demand(kind, key)
        return demand

    def _find(self, kind: demandrows.Kind) -> Demand | None:
        by_key = self._demand.get(demandrows.digest(kind.service), {})
        return by_key.get((kind.priority, demandrows.digest(kind.team)))

    def _discard_idle(self, demand: Demand) -> None:
        if demand.is_idle:
            service = demandrows.digest(demand.kind.service)
            del self._demand[service][demand.key]
            if not self._demand[service]:
                del self._demand[service]

    def _drop_oldest_start(self) -> None:
        _, demand = self._starts.popleft()
        demand.started -= 1
        self._discard_idle(demand)

    def list_rows(
        self,
        limit: int,
        is_shared: Callable[[str], bool],
        get_load: Callable[[int, tuple[int, int]], float],
    ) -> list[demandrows.Row]:
        """List the rows to send: those that wait, then the largest loads.

        The starts of kinds that are left out count in the first row of their
        service, so that the start rate does not depend on the limit.

        :param limit: number of rows beyond which only those are listed where
            requests wait, at most ``MAX_SENT_ROWS`` in all
        :param is_shared: whether the rows of a service are sent
        :param get_load: load over all entries, by service and key
        """
        ranked = [
            (_rank_row(demand, get_load(service, demand.key)), service, demand)
            for service, by_key in self._demand.items()
            for demand in by_key.values()
            if is_shared(demand.kind.service)
        ]
        ranked.sort(key=lambda item: item[0])
        waiting = sum(1 for *_, demand in ranked if demand.waiting)
        count = min(MAX_SENT_ROWS, max(limit, waiting))
        left_out: collections.Counter[int] = collections.Counter()
        for _, service, demand in ranked[count:]:
            left_out[service] += demand.started
        return [
            _build_row(service, demand, left_out.pop(service, 0))
            for _, service, demand in ranked[:count]
        ]


def _rank_row(demand: Demand, load: float) -> tuple[bool, int, float, int]:
    """Return the sort key of a row.

    :param load: load of the kind over all entries
    """
    if demand.waiting:
        return False, demand.key[0], load, -demand.waiting
    return True, 0, -demand.load, 0


def _build_row(service: int, demand: Demand, extra: int) -> demandrows.Row:
    """Build a row.

    :param extra: starts of kinds that have no row
    """
    return demandrows.Row(
        service,
        demandrows.clamp(demand.kind.priority),
        demand.key[1],
        demandrows.clamp(demand.waiting),
        demandrows.clamp(demand.load / demandrows.LOAD_UNIT),
        demandrows.clamp(demand.started + extra),
    )
