"""Leadership of a model by a lease of the store, as one process sees it.

A lease that was renewed at some moment is held for its whole duration
from then on. That moment is taken to be the one before the renewal was
sent, so a leader's own deadline never lies behind the store's, however
slow the answer. A process that was paused sees by its clock that the
deadline has passed before it does anything.
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

# Clocks of two hosts may drift apart by this share of the lease.
_DRIFT_SHARE = 0.1
_RENEWALS_PER_LEASE = 3


class Phase(enum.StrEnum):
    """How a process stands to the leadership of a model."""

    CANDIDATE = 'candidate'
    LEADER = 'leader'
    LAPSED = 'lapsed'


@attrs.frozen
class LeaseTiming:
    """Time constants that follow from a lease.

    :ivar seconds: time that the lease lives without renewal
    """

    seconds: float

    @property
    def renewal(self) -> float:
        """Seconds between two renewals."""
        return self.seconds / _RENEWALS_PER_LEASE

    @property
    def validity(self) -> float:
        """Seconds for which a renewal is relied on."""
        return self.seconds * (1 - _DRIFT_SHARE)


@attrs.frozen
class Term:
    """One unbroken leadership of one process.

    :ivar fence: revision of the store at which it began; a later term
        always has a higher one
    :ivar lease: lease that the leader's key hangs on
    :ivar renewed: monotonic time just before the last renewal was sent
    """

    fence: int
    lease: int
    renewed: float


class Leadership:
    """State of one process towards one model; times are monotonic."""

    def __init__(self, timing: LeaseTiming) -> None:
        """Begin as a candidate."""
        self.timing = timing
        self.term: Term | None = None

    def begin(self, term: Term) -> None:
        """Become the leader."""
        self.term = term

    def renew(self, sent_at: float) -> None:
        """Take a renewal that the store has confirmed.

        :param sent_at: time just before it was sent
        """
        if self.term is not None and sent_at > self.term.renewed:
            self.term = attrs.evolve(self.term, renewed=sent_at)

    def end(self) -> None:
        """Become a candidate again."""
        self.term = None

    def get_phase(self, now: float) -> Phase:
        """Tell how this process stands now."""
        if self.term is None:
            return Phase.CANDIDATE
        if now < self.term.renewed + self.timing.validity:
            return Phase.LEADER
        return Phase.LAPSED

    def get_fence(self, now: float) -> int | None:
        """Give the fencing number to order with, None for no leader."""
        if self.get_phase(now) is Phase.LEADER:
            return self.term.fence
        return None

    def needs_renewal(self, now: float) -> bool:
        """Tell whether the lease should be renewed now.

        A lapsed term is renewed as well: where the store still has the
        lease, nobody else can have led since.
        """
        term = self.term
        return term is not None and now >= term.renewed + self.timing.renewal


@attrs.frozen
class Candidate:
    """A process that could lead."""

    name: str
    failure_domain: str = ''


def pick_candidates(
    model: str, entries: Iterable[Candidate], count: int
) -> tuple[str, ...]:
    """Pick the processes that try to lead a model.

    Every process picks the same ones of the same list, by rendezvous
    hashing, and from as many failure domains as there are.

    :param count: how many, at most
    :returns: their names, best first
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
