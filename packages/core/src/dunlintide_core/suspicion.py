"""Time for which a process must stay suspected before it is declared dead.

The time-out grows with the number of suspects, since many simultaneous
suspects point to a network partition rather than to many failures.
"""

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

    :ivar suspect: time-out with two witnesses in different failure domains
    :ivar suspect_same_domain: time-out if all witnesses share a failure
        domain
    :ivar suspect_many: time-out while several processes are suspected and
        reports of more may be under way
    :ivar suspect_outage: time-out while most of the failure domain or a
        large part of the fleet is suspected; longer than a partition of
        a region is expected to last
    :ivar tombstone: time for which a dead process is remembered
    """

    suspect: float = 10.0
    suspect_same_domain: float = 20.0
    suspect_many: float = 60.0
    suspect_outage: float = 7200.0
    tombstone: float = 10800.0


@attrs.frozen
class SuspectCount:
    """Number of suspects among the processes of one failure domain."""

    suspects: int = 0
    total: int = 0


def count_suspects(
    present: Iterable[records.Record],
) -> dict[str, SuspectCount]:
    """Count suspects and all processes by failure domain.

    :param present: records of all processes that are not dead
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
    """Return the time-out of a suspicion, in seconds.

    :param domain: failure domain of the suspect
    :param witness_domains: number of failure domains of its witnesses
    :param counts: suspects and all processes by failure domain
    """
    own = counts[domain]
    if 2 * own.suspects > own.total >= _MANY_SUSPECTS:
        return timing.suspect_outage
    suspects = sum(each.suspects for each in counts.values())
    total = sum(each.total for each in counts.values())
    # This process may be on the smaller side of a partition. That side can
    # probe only a part of the other one, so even a partition may not show
    # as a majority of suspects in a failure domain.
    if suspects >= max(_MANY_SUSPECTS, total * _OUTAGE_SHARE):
        return timing.suspect_outage
    if suspects >= _MANY_SUSPECTS:
        return timing.suspect_many
    if witness_domains < NEEDED_WITNESSES:
        return timing.suspect_same_domain
    return timing.suspect
