"""Identification of poison requests, which crash endpoints.

The suspects of a crash are all requests with a step in progress. A recorded
crash never gains suspects, so that copies of the evidence in several processes
can be merged in any order. A suspect that later runs past the position of
the crash is cleared. Until then endpoints with any of the same layers run
it alone, so that the next crash has a single suspect.
"""

import collections
from typing import Iterable, Iterator

import attrs

__all__ = [
    'Crash',
    'Evidence',
    'LayerRange',
    'Limits',
    'Quarantine',
    'Suspect',
]


@attrs.frozen
class Limits:
    """Limits of the evidence.

    :ivar seconds: time for which a crash is recorded, and therefore the
        longest quarantine
    :ivar team_crashes: number of crashes with suspects of only one team
        from which on the team is isolated: its requests that are not
        known to be good run alone
    :ivar crashes: maximum number of recorded crashes; the newest are kept
    :ivar suspects: maximum number of suspects over all crashes
    :ivar known_good: maximum number of requests recorded as good
    """

    seconds: float = 600.0
    team_crashes: int = 3
    crashes: int = 256
    suspects: int = 4096
    known_good: int = 8192


# A request that was the only suspect of a crash is quarantined after crashes
# of two endpoints. If a single endpoint crashes, which may itself be faulty,
# three crashes are required.
_MIN_ENDPOINTS = 2
_MIN_CRASHES = 3


@attrs.frozen
class LayerRange:
    """Range ``[layer_start, layer_end)`` of the layers of a model."""

    model: str
    layer_start: int
    layer_end: int

    def overlaps(self, other: 'LayerRange') -> bool:
        """Return whether two ranges share a layer."""
        return (
            self.model == other.model
            and self.layer_start < other.layer_end
            and other.layer_start < self.layer_end
        )


@attrs.frozen
class Suspect:
    """A request that may have caused a crash.

    :ivar fingerprint: digest of its team and content
    :ivar position: first position of the step in progress
    """

    fingerprint: bytes
    team: str
    position: int = 0


@attrs.frozen
class Crash:
    """One crash of an endpoint.

    :ivar name: unique name of the crash
    :ivar endpoint: name of the agent of the endpoint
    :ivar layers: layers of the endpoint
    :ivar expires: monotonic time in seconds at which the record expires
    """

    name: str
    endpoint: str
    layers: LayerRange
    suspects: tuple[Suspect, ...]
    expires: float


@attrs.frozen
class Quarantine:
    """A request that is refused until the quarantine ends.

    :ivar crashes: number of crashes of which it is a suspect
    :ivar seconds: remaining time
    """

    fingerprint: bytes
    team: str
    crashes: int
    seconds: float


@attrs.define(eq=False)
class _CrashRecord:
    """A crash and its remaining suspects.

    :ivar suspects: suspects by fingerprint
    :ivar team: the team of all suspects, empty if there are several
    """

    crash: Crash
    suspects: dict[bytes, Suspect]
    team: str = ''

    def find_common_team(self) -> str:
        teams = {one.team for one in self.suspects.values()}
        return teams.pop() if len(teams) == 1 else ''


class Evidence:
    """Recorded crashes, and the suspects and quarantines that follow."""

    def __init__(self, limits: Limits = Limits()) -> None:
        """Start without recorded crashes."""
        self._limits = limits
        self._records: dict[str, _CrashRecord] = {}
        self._records_by_request: dict[bytes, dict[str, _CrashRecord]] = {}
        self._quarantined: set[bytes] = set()
        self._teams: collections.Counter[str] = collections.Counter()
        self._known_good: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._records)

    def add(self, crash: Crash, now: float) -> bool:
        """Record a crash, or fewer suspects of a recorded one.

        :param now: monotonic time in seconds
        :returns: whether the evidence has changed
        """
        self.expire(now)
        if crash.expires <= now:
            return False
        record = self._records.get(crash.name)
        suspects = {one.fingerprint: one for one in crash.suspects}
        if record is not None:
            removed = [one for one in record.suspects if one not in suspects]
            for fingerprint in removed:
                self.clear(crash.name, fingerprint)
            return bool(removed)
        record = _CrashRecord(crash, suspects)
        self._records[crash.name] = record
        for fingerprint in suspects:
            records = self._records_by_request.setdefault(fingerprint, {})
            records[crash.name] = record
        self._draw_conclusions(record)
        self._evict()
        return True

    def clear(self, name: str, fingerprint: bytes) -> bool:
        """Remove a request from the suspects of a crash.

        :param name: name of the crash
        :returns: whether it was a suspect
        """
        record = self._records.get(name)
        if record is None or fingerprint not in record.suspects:
            return False
        del record.suspects[fingerprint]
        self._drop_suspicion(name, fingerprint)
        self._draw_conclusions(record)
        return True

    def record_step(
        self, fingerprint: bytes, layers: LayerRange, end: int
    ) -> list[str]:
        """Record a step that ran without a crash.

        :param layers: layers of the endpoint that ran the step
        :param end: position after the last one of the step
        :returns: names of the crashes of which the request is cleared
        """
        self._known_good[fingerprint] = None
        self._known_good.move_to_end(fingerprint)
        if len(self._known_good) > self._limits.known_good:
            self._known_good.popitem(last=False)
        cleared = [
            name
            for name, record in self._records_by_request.get(
                fingerprint, {}
            ).items()
            if record.crash.layers.overlaps(layers)
            and record.suspects[fingerprint].position < end
        ]
        for name in cleared:
            self.clear(name, fingerprint)
        return cleared

    def _drop_suspicion(self, name: str, fingerprint: bytes) -> None:
        records = self._records_by_request[fingerprint]
        del records[name]
        if not records:
            del self._records_by_request[fingerprint]
        self._review_request(fingerprint)

    def _draw_conclusions(self, record: _CrashRecord) -> None:
        """Update quarantines and suspects after a change of a record."""
        self._count_team(record, record.find_common_team())
        for fingerprint in list(record.suspects):
            self._review_request(fingerprint)
        culprits = [one for one in record.suspects if one in self._quarantined]
        if not culprits or len(culprits) == len(record.suspects):
            return
        # The quarantined request explains the crash; clear the others.
        for fingerprint in list(record.suspects):
            if fingerprint not in self._quarantined:
                self.clear(record.crash.name, fingerprint)

    def _count_team(self, record: _CrashRecord, team: str) -> None:
        if team == record.team:
            return
        if record.team:
            self._teams[record.team] -= 1
            if not self._teams[record.team]:
                del self._teams[record.team]
        record.team = team
        if not team:
            return
        self._teams[team] += 1
        if self._teams[team] == self._limits.team_crashes:
            self._review_team(team)

    def _review_team(self, team: str) -> None:
        for record in list(self._records.values()):
            if record.team == team:
                for fingerprint in list(record.suspects):
                    self._review_request(fingerprint)

    def _review_request(self, fingerprint: bytes) -> None:
        records = list(self._records_by_request.get(fingerprint, {}).values())
        if not self._is_culprit(fingerprint, records):
            self._quarantined.discard(fingerprint)
            return
        if fingerprint in self._quarantined:
            return
        self._quarantined.add(fingerprint)
        for record in records:
            self._draw_conclusions(record)

    def _is_culprit(
        self, fingerprint: bytes, records: list[_CrashRecord]
    ) -> bool:
        if not records:
            return False
        is_sole_suspect = any(len(record.suspects) == 1 for record in records)
        endpoints = {record.crash.endpoint for record in records}
        if is_sole_suspect and len(endpoints) >= _MIN_ENDPOINTS:
            return True
        if is_sole_suspect and self.is_team_isolated(
            records[0].suspects[fingerprint].team
        ):
            return True
        if len(records) < _MIN_CRASHES:
            return False
        common = set.intersection(
            *(set(record.suspects) for record in records)
        )
        return is_sole_suspect or common == {fingerprint}

    def _drop_crash(self, name: str) -> None:
        record = self._records.pop(name)
        self._count_team(record, '')
        for fingerprint in list(record.suspects):
            self._drop_suspicion(name, fingerprint)

    def _evict(self) -> None:
        total = sum(len(record.suspects) for record in self._records.values())
        limits = self._limits
        while len(self._records) > 1 and (
            len(self._records) > limits.crashes or total > limits.suspects
        ):
            oldest = next(iter(self._records))
            total -= len(self._records[oldest].suspects)
            self._drop_crash(oldest)

    def expire(self, now: float) -> None:
        """Remove the crashes whose time has expired."""
        old = [
            name
            for name, record in self._records.items()
            if record.crash.expires <= now
        ]
        for name in old:
            self._drop_crash(name)

    def is_suspected(self, fingerprint: bytes) -> bool:
        """Return whether a request is a suspect of any crash."""
        return fingerprint in self._records_by_request

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Return whether a request must be refused."""
        return fingerprint in self._quarantined

    def is_team_isolated(self, team: str) -> bool:
        """Return whether requests of a team run alone until known good."""
        return self._teams[team] >= self._limits.team_crashes

    def must_run_alone(
        self, fingerprint: bytes, team: str, layers: LayerRange
    ) -> bool:
        """Return whether a step of a request must not be batched.

        :param layers: layers of the endpoint that is to run the step
        """
        records = self._records_by_request.get(fingerprint)
        if records is not None and any(
            record.crash.layers.overlaps(layers) for record in records.values()
        ):
            return True
        return (
            self.is_team_isolated(team) and fingerprint not in self._known_good
        )

    def list_crashes(self) -> Iterator[Crash]:
        """Yield the recorded crashes with their remaining suspects."""
        for record in self._records.values():
            suspects = tuple(record.suspects.values())
            yield attrs.evolve(record.crash, suspects=suspects)

    def list_quarantines(self, now: float) -> Iterable[Quarantine]:
        """Return the current quarantines.

        :param now: monotonic time in seconds
        """
        found = []
        for fingerprint in sorted(self._quarantined):
            records = list(self._records_by_request[fingerprint].values())
            ends = sorted(record.crash.expires for record in records)
            # One crash is enough only for an isolated team, so the quarantine
            # ends when the last crash but one expires.
            end = ends[-min(2, len(ends))]
            team = records[0].suspects[fingerprint].team
            found.append(
                Quarantine(fingerprint, team, len(records), end - now)
            )
        return found

    def list_isolated_teams(self) -> list[str]:
        """Return the names of the isolated teams, sorted."""
        return sorted(filter(self.is_team_isolated, self._teams))
