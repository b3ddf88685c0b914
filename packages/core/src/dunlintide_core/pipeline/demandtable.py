"""Who waits for capacity and who holds it, at this entry and at others.

Entries send each other their demand a few times a second. The table uses no
clock and no network: times are passed as arguments.
"""

from typing import Callable, Iterable, Mapping, Sequence

from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import localdemand
from dunlintide_core.pipeline import remotedemand

__all__ = ['DemandTable']


def _share_all(service: str) -> bool:
    return True


def _ignore() -> None:
    """Do nothing; the default listener."""


class DemandTable:
    """Waiting requests and capacity in use, of this entry and of others.

    Loads are in requests in flight divided by their weight. Counts, loads and
    starts of other entries are scaled by the number of listed entries over
    the number of those with valid rows.
    """

    def __init__(
        self,
        is_shared: Callable[[str], bool] = _share_all,
        notify: Callable[[], None] = _ignore,
    ) -> None:
        """Create an empty table.

        :param is_shared: whether requests of a service are ordered over all
            entries; nothing is recorded, sent or found for other services
        :param notify: called when the first request of a service and priority
            begins to wait here, and when the last one stops waiting
        """
        self._is_shared = is_shared
        self._local = localdemand.LocalDemand(notify)
        self._remote = remotedemand.RemoteDemand()

    def record_arrival(
        self, kind: demandrows.Kind, weight: float, now: float
    ) -> None:
        """Record that a request begins to wait.

        :param weight: weight of the request in its team's share, above 0
        :param now: monotonic time in seconds
        """
        if not self._is_shared(kind.service):
            return
        self._local.record_arrival(kind, weight, now)

    def record_departure(self, kind: demandrows.Kind, now: float) -> None:
        """Record that a request stops waiting without a start.

        :param now: monotonic time in seconds
        """
        self._local.expire(now)
        self._local.record_departure(kind)

    def record_start(
        self,
        kind: demandrows.Kind,
        weight: float,
        now: float,
        waited: bool = True,
    ) -> None:
        """Record that a request begins to hold capacity.

        :param weight: weight of the request in its team's share, above 0
        :param now: monotonic time in seconds
        :param waited: whether its arrival was recorded; its wait ends then
        """
        self._local.expire(now)
        if waited:
            self._local.record_departure(kind)
        if self._is_shared(kind.service):
            self._local.record_start(kind, weight, now)

    def record_end(
        self, kind: demandrows.Kind, weight: float, now: float
    ) -> None:
        """Record that a request no longer holds capacity.

        If its service was not shared when it started, it was not recorded.

        :param weight: the weight that was given at its start
        :param now: monotonic time in seconds
        """
        self._local.expire(now)
        self._local.record_end(kind, weight)

    @property
    def has_waiting(self) -> bool:
        """Whether any request waits at this entry."""
        return self._local.has_waiting

    def list_rows(
        self, now: float, limit: int = localdemand.MAX_SENT_ROWS
    ) -> list[demandrows.Row]:
        """List the rows to send: those that wait, then the largest loads.

        The starts of kinds that are left out count in the first row of their
        service, so that the start rate does not depend on the limit.

        :param now: monotonic time in seconds
        :param limit: number of rows beyond which only those are listed where
            requests wait, at most ``localdemand.MAX_SENT_ROWS`` in all
        """
        self._local.expire(now)
        return self._local.list_rows(
            limit, self._is_shared, self._compute_load
        )

    def set_listed(self, count: int) -> None:
        """Set the number of other entries that are listed."""
        self._remote.set_listed(count)

    def receive(
        self, entry: str, rows: Iterable[demandrows.Row], now: float
    ) -> None:
        """Replace the rows of another entry.

        :param rows: its complete demand, none included
        :param now: monotonic time in seconds
        """
        self._remote.receive(entry, rows, now)

    def drop(self, entry: str) -> None:
        """Drop the rows of an entry that is no longer listed."""
        self._remote.drop(entry)

    def expire(self, now: float) -> bool:
        """Drop the rows of entries that sent none recently.

        :param now: monotonic time in seconds
        :returns: whether any were dropped since the last call
        """
        self._remote.expire(now)
        self._local.expire(now)
        return self._remote.take_expired()

    def _get_remote(
        self, service: str, now: float
    ) -> Mapping[tuple[int, int], remotedemand.Sum]:
        """Return the demand of others for a service, by priority and team."""
        if self._remote.is_empty:
            return {}
        self._remote.expire(now)
        remote = self._remote.get(demandrows.digest(service))
        return remote if remote and self._is_shared(service) else {}

    def _compute_load(self, service: int, key: tuple[int, int]) -> float:
        local = self._local.get(service).get(key)
        remote = self._remote.get(service).get(key)
        load = local.load if local else 0.0
        if remote:
            load += remote.load * demandrows.LOAD_UNIT * self._remote.factor
        return load

    def is_pressed(self, service: str, now: float) -> bool:
        """Return whether requests for a service wait at any entry."""
        if not self._local.has_waiting and self._remote.is_empty:
            return False
        remote = self._get_remote(service, now).values()
        if any(each.waiting for each in remote):
            return True
        local = self._local.get(demandrows.digest(service)).values()
        return any(each.waiting for each in local) and self._is_shared(service)

    def get_load(
        self, service: str, priority: int, team: str, now: float
    ) -> float:
        """Return the load of a team at a priority over all entries.

        :param team: name of the team, empty for none
        :returns: requests in flight divided by their weight
        """
        self._remote.expire(now)
        if not self._is_shared(service):
            return 0.0
        return self._compute_load(
            demandrows.digest(service), (priority, demandrows.digest(team))
        )

    def count_ahead(
        self, service: str, priority: int, load: float, now: float
    ) -> float:
        """Estimate how many requests of other entries precede a request.

        Of the requests that rank equal, half are assumed to.

        :param load: load of the request's team, see ``get_load``
        """
        demand = self._get_remote(service, now)
        if not demand:
            return 0.0
        ahead = 0.0
        for key, remote in demand.items():
            if not remote.waiting or key[0] > priority:
                continue
            if key[0] < priority:
                ahead += remote.waiting
                continue
            lead = load - self._compute_load(demandrows.digest(service), key)
            if lead >= demandrows.MIN_LOAD_DIFFERENCE:
                ahead += remote.waiting
            elif lead > -demandrows.MIN_LOAD_DIFFERENCE:
                ahead += remote.waiting / 2
        return ahead * self._remote.factor

    def find_outranking(
        self, service: str, priority: int, load: float, now: float
    ) -> Sequence[str]:
        """Find the entries whose requests strictly precede a request.

        :param load: load of the request's team, see ``get_load``
        :returns: their names, the one with the most urgent request first
        """
        demand = self._get_remote(service, now)
        if not demand:
            return ()
        place = demandrows.digest(service)
        loads = {
            key: self._compute_load(place, key)
            for key, remote in demand.items()
            if remote.waiting and key[0] <= priority
        }
        ranks = {
            key: (key[0], theirs)
            for key, theirs in loads.items()
            if key[0] < priority
            or load - theirs >= demandrows.MIN_LOAD_DIFFERENCE
        }
        if not ranks:
            return ()
        best = {}
        for entry, keys in self._remote.list_waiting(place):
            found = [ranks[key] for key in keys if key in ranks]
            if found:
                best[entry] = min(found)
        return sorted(best, key=lambda entry: best[entry])

    def find_first(self, service: str, now: float) -> tuple[int, float] | None:
        """Return priority and load of the first request that waits here.

        :returns: None if no request for the service waits at this entry
        """
        self._remote.expire(now)
        place = demandrows.digest(service)
        return min(
            (
                (own.key[0], self._compute_load(place, own.key))
                for own in self._local.get(place).values()
                if own.waiting
            ),
            default=None,
        )

    def get_start_rate(self, service: str, now: float) -> float:
        """Return the starts of all entries, in requests a second."""
        if not self._is_shared(service):
            return 0.0
        self._local.expire(now)
        local = self._local.get(demandrows.digest(service)).values()
        remote = self._get_remote(service, now).values()
        count = sum(each.started for each in local)
        count += sum(each.started for each in remote) * self._remote.factor
        return count / localdemand.START_WINDOW_SECONDS

    def list_totals(self, now: float) -> list[demandrows.Total]:
        """List the demand of all kinds by service, priority and team."""
        self._remote.expire(now)
        self._local.expire(now)
        places = {*self._local.list_keys(), *self._remote.list_keys()}
        return [self._build_total(*place) for place in sorted(places)]

    def _build_total(
        self, service: int, priority: int, team: int
    ) -> demandrows.Total:
        key = priority, team
        local = self._local.get(service).get(key)
        remote = self._remote.get(service).get(key) or remotedemand.Sum()
        factor = self._remote.factor
        return demandrows.Total(
            service,
            priority,
            team,
            local.kind if local else None,
            local.weight if local else None,
            local.waiting_since if local else None,
            local.waiting if local else 0,
            local.load if local else 0.0,
            local.started if local else 0,
            remote.waiting * factor,
            remote.load * demandrows.LOAD_UNIT * factor,
            remote.started * factor,
        )
