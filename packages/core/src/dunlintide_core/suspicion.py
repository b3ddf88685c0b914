"""How long the silence of a process must last before it counts as dead."""

from typing import Iterable, Mapping

import attrs

from dunlintide_core import records

__all__ = [
    'NEEDED_WITNESSES',
    'SuspectCount',
    'Timing',
    'count_suspects',
    'get_timeout',
]

NEEDED_WITNESSES = 2
_MANY_SUSPECTS = 4
_OUTAGE_SHARE = 1 / 16


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
    suspect_outage: float = 7200.0
    tombstone: float = 10800.0


@attrs.frozen
class SuspectCount:
    """Silent and all processes of one failure domain."""

    suspects: int = 0
    total: int = 0


def count_suspects(
    present: Iterable[records.Record],
) -> dict[str, SuspectCount]:
    """Count silent and all processes by failure domain.

    :param present: records of all that are not dead
    """
    counts: dict[str, SuspectCount] = {}
    for record in present:
        domain = record.peer.failure_domain
        count = counts.get(domain, SuspectCount())
        counts[domain] = SuspectCount(
            count.suspects + bool(record.witnesses), count.total + 1
        )
    return counts


def get_timeout(
    domain: str,
    witness_domains: int,
    counts: Mapping[str, SuspectCount],
    timing: Timing,
) -> float:
    """Return for how long a silent process is given time, in seconds.

    :param domain: its failure domain
    :param witness_domains: failure domains of those who miss it
    """
    own = counts[domain]
    if 2 * own.suspects > own.total >= _MANY_SUSPECTS:
        return timing.suspect_outage
    suspects = sum(each.suspects for each in counts.values())
    total = sum(each.total for each in counts.values())
    # The process that judges may be the one that is cut off: a small part
    # of the fleet cannot probe most of the others, so a majority of each
    # failure domain need not show.
    if suspects >= max(_MANY_SUSPECTS, total * _OUTAGE_SHARE):
        return timing.suspect_outage
    if suspects >= _MANY_SUSPECTS:
        return timing.suspect_many
    if witness_domains < NEEDED_WITNESSES:
        return timing.suspect_same_domain
    return timing.suspect
