"""Leadership of a model, held by a lease in the store.

A leader measures the validity of its lease from the moment just before it
sent the last renewal, so however slow the answer, its own deadline never
lies after the store's. A process that was paused checks the deadline
against its clock before it acts as leader.
"""

import enum
from typing import Iterable

import attrs

from dunlintide_core import hashing

__all__ = [
    'Candidate',
    'LeaseTiming',
    'Leadership',
    'Phase',
    'Term',
    'pick_candidates',
]

# Allowance for clock drift between two hosts, as a share of the lease.
_DRIFT_SHARE = 0.1
_RENEWALS_PER_LEASE = 3


class Phase(enum.StrEnum):
    """Leadership state of a process for one model.

    ``LAPSED`` means that the lease was not renewed in time.
    """

    CANDIDATE = 'candidate'
    LEADER = 'leader'
    LAPSED = 'lapsed'


@attrs.frozen
class LeaseTiming:
    """Time constants derived from a lease.

    :ivar seconds: time to live of the lease in the store
    """

    seconds: float

    @property
    def renewal(self) -> float:
        """Interval between two renewals, in seconds."""
        return self.seconds / _RENEWALS_PER_LEASE

    @property
    def validity(self) -> float:
        """Time for which a renewal keeps the leader valid, in seconds.

        Shorter than the lease, to allow for clock drift.
        """
        return self.seconds * (1 - _DRIFT_SHARE)


@attrs.frozen
class Term:
    """Uninterrupted leadership of one process.

    :ivar fence: fencing token, the store revision at which the term began;
        increases with every term
    :ivar lease: id of the lease that the leader's key is attached to
    :ivar renewed: monotonic time just before the last renewal was sent
    """

    fence: int
    lease: int
    renewed: float


class Leadership:
    """Leadership state of one process for one model.

    All times are in seconds of the monotonic clock.
    :ivar term: current term, None for a candidate
    """

    def __init__(self, timing: LeaseTiming) -> None:
        """Create a candidate."""
        self.timing = timing
        self.term: Term | None = None

    def begin(self, term: Term) -> None:
        """Become the leader."""
        self.term = term

    def renew(self, sent_at: float) -> None:
        """Record a renewal that the store has confirmed.

        :param sent_at: time just before the renewal was sent
        """
        if self.term is not None and sent_at > self.term.renewed:
            self.term = attrs.evolve(self.term, renewed=sent_at)

    def end(self) -> None:
        """Become a candidate again."""
        self.term = None

    def get_phase(self, now: float) -> Phase:
        """Return the leadership state at a time."""
        if self.term is None:
            return Phase.CANDIDATE
        if now < self.term.renewed + self.timing.validity:
            return Phase.LEADER
        return Phase.LAPSED

    def get_fence(self, now: float) -> int | None:
        """Return the fencing token for orders, None unless leading."""
        if self.get_phase(now) is Phase.LEADER:
            return self.term.fence
        return None

    def needs_renewal(self, now: float) -> bool:
        """Return whether the lease should be renewed now.

        A lapsed term is renewed as well: as long as the lease exists in
        the store, no other process can have become leader.
        """
        term = self.term
        return term is not None and now >= term.renewed + self.timing.renewal


@attrs.frozen
class Candidate:
    """A process that is eligible as leader."""

    name: str
    failure_domain: str = ''


def pick_candidates(
    model: str, entries: Iterable[Candidate], count: int
) -> tuple[str, ...]:
    """Select the processes that compete for the leadership of a model.

    Uses rendezvous hashing, so every process selects the same candidates
    from the same list, and spreads them over as many failure domains as
    possible.

    :param count: maximum number of candidates
    :returns: names by descending preference
    """
    ranked = sorted(
        entries,
        key=lambda entry: hashing.hash_text(f'{model}\n{entry.name}'),
    )
    seen: dict[str, int] = {}
    rounds = []
    for entry in ranked:
        number = seen.get(entry.failure_domain, 0)
        seen[entry.failure_domain] = number + 1
        rounds.append((number, entry.name))
    rounds.sort(key=lambda item: item[0])
    return tuple(name for _, name in rounds[:count])
