"""Records of processes and how two of them merge.

A record is an element of a join-semilattice: merging is commutative,
associative and idempotent, so records may arrive twice, late or crossed.
"""

import enum

import attrs

from dunlintide_core import fleet

__all__ = [
    'Digest',
    'Record',
    'State',
    'is_newer',
    'is_older',
    'join',
    'make_digest',
    'shorten',
]

_MAX_WITNESSES = 4


class State(enum.StrEnum):
    """What the fleet holds of a process."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen
class Record:
    """A process and the newest known of it.

    :ivar version: rises within an incarnation; only the process raises it
    :ivar witnesses: names of those who could not reach it
    """

    peer: fleet.Peer
    version: int = 0
    dead: bool = False
    witnesses: tuple[str, ...] = ()

    @property
    def state(self) -> State:
        """State that follows from the record."""
        if self.dead:
            return State.DEAD
        if self.peer.leaving:
            return State.LEAVING
        return State.SUSPECT if self.witnesses else State.ALIVE

    @property
    def order(self) -> tuple[int, int, bool]:
        """What makes one record newer than another."""
        return (self.peer.incarnation, self.version, self.dead)


@attrs.frozen
class Digest:
    """What a view holds of a process, in short."""

    name: str
    incarnation: int
    version: int
    state: State = State.ALIVE


def _union(first: Record, second: Record) -> tuple[str, ...]:
    names = sorted({*first.witnesses, *second.witnesses})
    return tuple(names[:_MAX_WITNESSES])


def join(first: Record, second: Record) -> Record:
    """Merge two records of one process.

    The higher incarnation wins; within one, leaving is never lost and
    the higher version decides the rest. At equal versions the witnesses
    add up and death wins.
    """
    if first.peer.incarnation != second.peer.incarnation:
        return max(first, second, key=lambda each: each.peer.incarnation)
    newer, older = sorted(
        (first, second), key=lambda each: each.order, reverse=True
    )
    if not newer.peer.address and newer.peer.edition > older.peer.edition:
        # In short, but of an endpoint that is not known yet; the whole
        # record follows, since the versions differ.
        return older
    if newer.version == older.version:
        newer = attrs.evolve(newer, witnesses=_union(newer, older))
    # A record in short has no address; the long one fills it in.
    peer = newer.peer if newer.peer.address else older.peer
    leaving = newer.peer.leaving or older.peer.leaving
    if peer.leaving != leaving:
        peer = attrs.evolve(peer, leaving=leaving)
    return attrs.evolve(newer, peer=peer)


def shorten(record: Record) -> Record:
    """Leave out what a peer that knows the process has already."""
    peer = attrs.evolve(
        record.peer, failure_domain='', region='', address='', endpoint=None
    )
    return attrs.evolve(record, peer=peer)


def make_digest(record: Record) -> Digest:
    """Digest a record."""
    return Digest(
        record.peer.name,
        record.peer.incarnation,
        record.version,
        record.state,
    )


def is_newer(record: Record, digest: Digest | None) -> bool:
    """Tell whether a record adds to what a digest stands for."""
    if digest is None:
        return not record.dead
    theirs = (digest.incarnation, digest.version)
    mine = (record.peer.incarnation, record.version)
    if mine != theirs:
        return mine > theirs
    return record.state is not digest.state


def is_older(record: Record | None, digest: Digest) -> bool:
    """Tell whether a digest stands for more than a record."""
    if record is None:
        return digest.state is not State.DEAD
    theirs = (digest.incarnation, digest.version)
    mine = (record.peer.incarnation, record.version)
    if mine != theirs:
        return mine < theirs
    return record.state is not digest.state
