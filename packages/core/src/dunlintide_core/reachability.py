"""Assessment of whether a process is reachable, for placement decisions.

This requires less evidence than declaring a process dead, since a needless
replacement does little harm. It requires more than one witness, since a
single witness may be cut off itself.
"""

import enum
from typing import Collection, Mapping

from dunlintide_core import records
from dunlintide_core import suspicion

__all__ = [
    'Reachability',
    'assess',
    'count_needed_domains',
]

_GONE = (records.State.LEAVING, records.State.DEAD)


class Reachability(enum.Enum):
    """Assessed reachability of a process."""

    PRESENT = enum.auto()
    SUSPECT = enum.auto()
    GONE = enum.auto()


def count_needed_domains(domains: Collection[str]) -> int:
    """Return how many failure domains must report a process as unreachable.

    When the network between two failure domains fails, all processes of
    one report those of the other, which a third still reaches.

    :param domains: failure domains of the fleet
    """
    return min(suspicion.NEEDED_WITNESSES, max(1, len(domains)))


def assess(
    state: records.State | str, witnesses: Mapping[str, str], domains: int
) -> Reachability:
    """Assess the reachability of a process from its witnesses.

    :param state: membership state of the process
    :param witnesses: failure domain of each process that could not reach
        it, by name
    :param domains: number of failure domains of the witnesses at which
        the process counts as gone
    """
    if state in _GONE:
        return Reachability.GONE
    if not witnesses:
        return Reachability.PRESENT
    enough = len(witnesses) >= suspicion.NEEDED_WITNESSES
    if enough and len(set(witnesses.values())) >= domains:
        return Reachability.GONE
    return Reachability.SUSPECT
