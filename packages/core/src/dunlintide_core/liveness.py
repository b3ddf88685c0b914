"""Whether a process is there, for who decides what to replace.

Less than what it takes to declare a process dead, since a replacement
that turns out needless does little harm, and more than one opinion, since
one process may be cut off by a fault of its own.
"""

import enum
from typing import Collection, Mapping

from dunlintide_core import records
from dunlintide_core import suspicion

__all__ = [
    'Liveness',
    'assess',
    'count_needed_domains',
]

_GONE = (records.State.LEAVING, records.State.DEAD)


class Liveness(enum.Enum):
    """What is held of a process."""

    PRESENT = enum.auto()
    SUSPECT = enum.auto()
    GONE = enum.auto()


def count_needed_domains(domains: Collection[str]) -> int:
    """Return from how many failure domains a process has to be missed.

    A cut between two failure domains makes all of one miss the other,
    which a third still reaches.

    :param domains: failure domains of the fleet
    """
    return min(suspicion.NEEDED_WITNESSES, max(1, len(domains)))


def assess(
    state: records.State | str, witnesses: Mapping[str, str], domains: int
) -> Liveness:
    """Judge a process by who misses it.

    :param witnesses: who could not reach it, each with its failure domain
    :param domains: from how many failure domains it has to be missed
    """
    if state in _GONE:
        return Liveness.GONE
    if not witnesses:
        return Liveness.PRESENT
    enough = len(witnesses) >= suspicion.NEEDED_WITNESSES
    if enough and len(set(witnesses.values())) >= domains:
        return Liveness.GONE
    return Liveness.SUSPECT
