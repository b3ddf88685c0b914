"""Which request crashes endpoints, by elimination.

A crash accuses every request whose step was under way. Its accused only
ever become fewer, so copies of the evidence at many processes can be
merged in any order. A request that later gets past the point at which it
was accused is cleared; until then each endpoint runs it alone, so that
the next crash has one accused.
"""

import collections
from typing import Iterable, Iterator

import attrs

__all__ = [
    'Crash',
    'Evidence',
    'Limits',
    'Place',
    'Quarantine',
    'Suspect',
]


@attrs.frozen
class Limits:
    """Constants of the evidence.

    :ivar seconds: how long a crash is remembered, and so the longest
        quarantine
    :ivar team_crashes: crashes that accuse one team alone from which
        on its unknown requests run alone
    :ivar crashes: crashes that are kept, the newest
    :ivar suspects: accused that are kept over all crashes
    :ivar known: requests kept as known to run well
    """

    seconds: float = 600.0
    team_crashes: int = 3
    crashes: int = 256
    suspects: int = 4096
    known: int = 8192


# Crashes that convict a request which was the only accused of one of
# them: on two endpoints, or more often on one, which may be faulty itself.
_ENDPOINTS = 2
_CRASHES = 3


@attrs.frozen
class Place:
    """Layers of a model, at which a request may do harm."""

    model: str
    layer_start: int
    layer_end: int

    def overlaps(self, other: 'Place') -> bool:
        """Tell whether two places share a layer."""
        return (
            self.model == other.model
            and self.layer_start < other.layer_end
            and other.layer_start < self.layer_end
        )


@attrs.frozen
class Suspect:
    """A request that a crash accuses.

    :ivar fingerprint: digest of its team and content
    :ivar position: first position of the step that was under way
    """

    fingerprint: bytes
    team: str
    position: int = 0


@attrs.frozen
class Crash:
    """One crash of an endpoint.

    :ivar name: unique over all crashes
    :ivar endpoint: agent of the endpoint
    :ivar expires: monotonic time in seconds at which it is forgotten
    """

    name: str
    endpoint: str
    place: Place
    suspects: tuple[Suspect, ...]
    expires: float


@attrs.frozen
class Quarantine:
    """A request that is refused for some time.

    :ivar crashes: crashes that accuse it
    :ivar seconds: time left
    """

    fingerprint: bytes
    team: str
    crashes: int
    seconds: float


@attrs.define(eq=False)
class _Case:
    """A crash and who is still accused of it.

    :ivar team: the team that all accused belong to, if it is one
    """

    crash: Crash
    accused: dict[bytes, Suspect]
    team: str = ''

    def find_team(self) -> str:
        teams = {one.team for one in self.accused.values()}
        return teams.pop() if len(teams) == 1 else ''


class Evidence:
    """Crashes and what follows from them at one process."""

    def __init__(self, limits: Limits = Limits()) -> None:
        """Begin with no crash."""
        self._limits = limits
        self._cases: dict[str, _Case] = {}
        self._accused: dict[bytes, dict[str, _Case]] = {}
        self._convicted: set[bytes] = set()
        self._teams: collections.Counter[str] = collections.Counter()
        self._known: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    def __len__(self) -> int:
        return len(self._cases)

    def add(self, crash: Crash, now: float) -> bool:
        """Take in a crash, or fewer accused of one that is known.

        :returns: whether anything was new
        """
        self.expire(now)
        if crash.expires <= now:
            return False
        case = self._cases.get(crash.name)
        accused = {one.fingerprint: one for one in crash.suspects}
        if case is not None:
            gone = [one for one in case.accused if one not in accused]
            for fingerprint in gone:
                self.clear(crash.name, fingerprint)
            return bool(gone)
        case = _Case(crash, accused)
        self._cases[crash.name] = case
        for fingerprint in accused:
            cases = self._accused.setdefault(fingerprint, {})
            cases[crash.name] = case
        self._settle(case)
        self._evict()
        return True

    def clear(self, name: str, fingerprint: bytes) -> bool:
        """Accuse a request of a crash no more.

        :returns: whether it was accused of it
        """
        case = self._cases.get(name)
        if case is None or fingerprint not in case.accused:
            return False
        del case.accused[fingerprint]
        self._drop_accusation(name, fingerprint)
        self._settle(case)
        return True

    def note_step(
        self, fingerprint: bytes, place: Place, end: int
    ) -> list[str]:
        """Take note of a step that ran without a crash.

        :param end: position behind the step
        :returns: names of the crashes that it is cleared of
        """
        self._known[fingerprint] = None
        self._known.move_to_end(fingerprint)
        if len(self._known) > self._limits.known:
            self._known.popitem(last=False)
        cleared = [
            name
            for name, case in self._accused.get(fingerprint, {}).items()
            if case.crash.place.overlaps(place)
            and case.accused[fingerprint].position < end
        ]
        for name in cleared:
            self.clear(name, fingerprint)
        return cleared

    def _drop_accusation(self, name: str, fingerprint: bytes) -> None:
        cases = self._accused[fingerprint]
        del cases[name]
        if not cases:
            del self._accused[fingerprint]
        self._review(fingerprint)

    def _settle(self, case: _Case) -> None:
        """Draw conclusions from a case that has changed."""
        self._count_team(case, case.find_team())
        for fingerprint in list(case.accused):
            self._review(fingerprint)
        guilty = [one for one in case.accused if one in self._convicted]
        if not guilty or len(guilty) == len(case.accused):
            return
        # The crash is explained, so its other accused are innocent.
        for fingerprint in list(case.accused):
            if fingerprint not in self._convicted:
                self.clear(case.crash.name, fingerprint)

    def _count_team(self, case: _Case, team: str) -> None:
        if team == case.team:
            return
        if case.team:
            self._teams[case.team] -= 1
            if not self._teams[case.team]:
                del self._teams[case.team]
        case.team = team
        if not team:
            return
        self._teams[team] += 1
        if self._teams[team] == self._limits.team_crashes:
            self._review_team(team)

    def _review_team(self, team: str) -> None:
        for case in list(self._cases.values()):
            if case.team == team:
                for fingerprint in list(case.accused):
                    self._review(fingerprint)

    def _review(self, fingerprint: bytes) -> None:
        cases = list(self._accused.get(fingerprint, {}).values())
        if not self._is_guilty(fingerprint, cases):
            self._convicted.discard(fingerprint)
            return
        if fingerprint in self._convicted:
            return
        self._convicted.add(fingerprint)
        for case in cases:
            self._settle(case)

    def _is_guilty(self, fingerprint: bytes, cases: list[_Case]) -> bool:
        if not cases:
            return False
        alone = any(len(case.accused) == 1 for case in cases)
        endpoints = {case.crash.endpoint for case in cases}
        if alone and len(endpoints) >= _ENDPOINTS:
            return True
        if alone and self.is_watched(cases[0].accused[fingerprint].team):
            return True
        if len(cases) < _CRASHES:
            return False
        common = set.intersection(*(set(case.accused) for case in cases))
        return alone or common == {fingerprint}

    def _forget(self, name: str) -> None:
        case = self._cases.pop(name)
        self._count_team(case, '')
        for fingerprint in list(case.accused):
            self._drop_accusation(name, fingerprint)

    def _evict(self) -> None:
        total = sum(len(case.accused) for case in self._cases.values())
        limits = self._limits
        while len(self._cases) > 1 and (
            len(self._cases) > limits.crashes or total > limits.suspects
        ):
            oldest = next(iter(self._cases))
            total -= len(self._cases[oldest].accused)
            self._forget(oldest)

    def expire(self, now: float) -> None:
        """Forget the crashes whose time has passed."""
        old = [
            name
            for name, case in self._cases.items()
            if case.crash.expires <= now
        ]
        for name in old:
            self._forget(name)

    def is_accused(self, fingerprint: bytes) -> bool:
        """Tell whether any crash accuses a request."""
        return fingerprint in self._accused

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tell whether a request is to be refused."""
        return fingerprint in self._convicted

    def is_watched(self, team: str) -> bool:
        """Tell whether a team's unknown requests are to run alone."""
        return self._teams[team] >= self._limits.team_crashes

    def runs_alone(self, fingerprint: bytes, team: str, place: Place) -> bool:
        """Tell whether a request's step must share the endpoint with none."""
        cases = self._accused.get(fingerprint)
        if cases is not None and any(
            case.crash.place.overlaps(place) for case in cases.values()
        ):
            return True
        return self.is_watched(team) and fingerprint not in self._known

    def list_crashes(self) -> Iterator[Crash]:
        """Yield the crashes with those who are still accused."""
        for case in self._cases.values():
            suspects = tuple(case.accused.values())
            yield attrs.evolve(case.crash, suspects=suspects)

    def list_quarantines(self, now: float) -> Iterable[Quarantine]:
        """Return the requests that are refused now."""
        found = []
        for fingerprint in sorted(self._convicted):
            cases = list(self._accused[fingerprint].values())
            ends = sorted(case.crash.expires for case in cases)
            # The last crash by itself convicts only a watched team's.
            end = ends[-min(2, len(ends))]
            team = cases[0].accused[fingerprint].team
            found.append(Quarantine(fingerprint, team, len(cases), end - now))
        return found

    def list_watched(self) -> list[str]:
        """Return the teams whose unknown requests run alone."""
        return sorted(filter(self.is_watched, self._teams))
