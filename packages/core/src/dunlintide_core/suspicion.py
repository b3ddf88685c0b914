"""How long the silence of a process must last before it counts as dead."""

from typing import Iterable, Mapping

import attrs

from dunlintide_core import records

__all__ = [
    'NEEDED_WITNESSES',
    'Silence',
    'Timing',
    'count_silent',
    'find_patience',
]

NEEDED_WITNESSES = 2
_MANY = 4
_MANY_SHARE = 1 / 16


@attrs.frozen
class Timing:
    """Time constants of membership, in seconds.

    :ivar suspect: from two witnesses of different failure domains to death
    :ivar suspect_same_domain: same, when both share a failure domain
    :ivar suspect_many: same, while several processes are silent and the
        news of more may be under way
    :ivar held: most time a process is held suspect while most of its
        failure domain or a large part of the fleet is silent; longer
        than a region is cut off
    :ivar tombstone: how long a dead process is remembered
    """

    suspect: float = 10.0
    suspect_same_domain: float = 20.0
    suspect_many: float = 60.0
    held: float = 7200.0
    tombstone: float = 10800.0


@attrs.frozen
class Silence:
    """Silent and all processes of one failure domain."""

    silent: int = 0
    total: int = 0


def count_silent(present: Iterable[records.Record]) -> dict[str, Silence]:
    """Count silent and all processes by failure domain.

    :param present: records of all that are not dead
    """
    counts: dict[str, Silence] = {}
    for record in present:
        domain = record.peer.failure_domain
        known = counts.get(domain, Silence())
        counts[domain] = Silence(
            known.silent + bool(record.witnesses), known.total + 1
        )
    return counts


def find_patience(
    domain: str,
    witness_domains: int,
    counts: Mapping[str, Silence],
    timing: Timing,
) -> float:
    """Return for how long a silent process is given time, in seconds.

    :param domain: its failure domain
    :param witness_domains: failure domains of those who miss it
    """
    mine = counts[domain]
    if 2 * mine.silent > mine.total >= _MANY:
        return timing.held
    silent = sum(each.silent for each in counts.values())
    total = sum(each.total for each in counts.values())
    # The process that judges may be the one that is cut off: a small part
    # of the fleet cannot probe most of the others, so a majority of each
    # failure domain need not show.
    if silent >= max(_MANY, total * _MANY_SHARE):
        return timing.held
    if silent >= _MANY:
        return timing.suspect_many
    if witness_domains < NEEDED_WITNESSES:
        return timing.suspect_same_domain
    return timing.suspect
