"""Who waits for capacity, why, and by how much, for operators.

Entries report a line for each service, priority and team. Lines of several
entries are combined, since the reason why a request waits at one entry may be
a request at another.
"""

import enum
from typing import Iterable, Mapping, Sequence

import attrs

from dunlintide_core.pipeline import demandrows

__all__ = [
    'Line',
    'Reason',
    'Summary',
    'combine',
]


class Reason(enum.StrEnum):
    """Why requests wait.

    :cvar PRIORITY: more urgent requests wait too
    :cvar TEAM_SHARE: teams with a lower load wait at the same priority
    :cvar NO_CAPACITY: nothing precedes them, but nothing is free
    """

    PRIORITY = 'priority'
    TEAM_SHARE = 'team share'
    NO_CAPACITY = 'no capacity'


@attrs.frozen
class Line:
    """Requests of one service, priority and team, as one entry knows them.

    :ivar team: name of the team, empty for none; its digest if unknown
    :ivar weight: weight of its share, None if it has no request at the entry
    :ivar waiting: requests that wait at the entry
    :ivar told_waiting: requests that wait at the others, estimated
    :ivar load: requests in flight from the entry, divided by their weight
    :ivar told_load: the same of the others, estimated
    :ivar started: starts a second at the entry
    :ivar told_started: starts a second at the others, estimated
    :ivar seconds: time for which some have been waiting at the entry
    :ivar reserved: fraction of the capacity that they may not use
    """

    service: str
    priority: int
    team: str
    weight: float | None = None
    waiting: int = 0
    told_waiting: float = 0.0
    load: float = 0.0
    told_load: float = 0.0
    started: float = 0.0
    told_started: float = 0.0
    seconds: float = 0.0
    reserved: float = 0.0


@attrs.frozen
class Summary:
    """Requests of one service, priority and team over all entries.

    Fields are those of ``Line``, of all entries.

    :ivar entries: names of the entries at which some wait
    :ivar reason: why they wait, None if none does
    """

    service: str
    priority: int
    team: str
    weight: float | None
    waiting: float
    load: float
    started: float
    seconds: float
    reserved: float
    entries: tuple[str, ...]
    reason: Reason | None = None

    def precedes(self, other: 'Summary') -> bool:
        """Return whether the load of its team puts it before another."""
        limit = other.load - demandrows.MIN_LOAD_DIFFERENCE
        return self.priority == other.priority and self.load <= limit


def _sum_field(lines: Iterable[Line], name: str) -> float:
    """Sum up a field over entries.

    If some entries did not report, the largest total that one of the others
    knows is the best estimate.
    """
    pairs = [
        (getattr(each, name), getattr(each, f'told_{name}')) for each in lines
    ]
    largest = max(own + told for own, told in pairs)
    return round(max(largest, sum(own for own, _ in pairs)), 2)


def _summarize(lines: Mapping[str, Line]) -> Summary:
    """Combine the lines of entries about the same requests."""
    rows = list(lines.values())
    weights = (each.weight for each in rows if each.weight is not None)
    return Summary(
        rows[0].service,
        rows[0].priority,
        rows[0].team,
        next(weights, None),
        _sum_field(rows, 'waiting'),
        _sum_field(rows, 'load'),
        _sum_field(rows, 'started'),
        max(each.seconds for each in rows),
        max(each.reserved for each in rows),
        tuple(sorted(name for name, each in lines.items() if each.waiting)),
    )


def _find_reason(
    summary: Summary, waiting: Iterable[Summary]
) -> Reason | None:
    """Return why the requests of a summary wait, None if none does.

    :param waiting: summaries of the service of which requests wait
    """
    if not summary.waiting:
        return None
    rivals = list(waiting)
    if any(each.priority < summary.priority for each in rivals):
        return Reason.PRIORITY
    if any(each.precedes(summary) for each in rivals):
        return Reason.TEAM_SHARE
    return Reason.NO_CAPACITY


def combine(entries: Mapping[str, Iterable[Line]]) -> Sequence[Summary]:
    """Combine the lines of entries, those that wait longest first.

    :param entries: lines by name of the entry
    """
    groups: dict[tuple[str, int, str], dict[str, Line]] = {}
    for name, lines in entries.items():
        for line in lines:
            key = line.service, line.priority, line.team
            groups.setdefault(key, {})[name] = line
    summaries = [_summarize(lines) for lines in groups.values()]
    waiting: dict[str, list[Summary]] = {}
    for each in summaries:
        if each.waiting:
            waiting.setdefault(each.service, []).append(each)
    explained = [
        attrs.evolve(
            each, reason=_find_reason(each, waiting.get(each.service, ()))
        )
        for each in summaries
    ]
    explained.sort(
        key=lambda each: (
            not each.waiting,
            -each.seconds,
            -each.waiting,
            each.service,
            each.priority,
            each.team,
        )
    )
    return explained
