"""Membership records and their merge.

A record is an element of a join-semilattice: merging is commutative,
associative and idempotent, so records may arrive repeatedly, late or out
of order.
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
    """Membership state of a process."""

    ALIVE = 'alive'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    DEAD = 'dead'


@attrs.frozen
class Record:
    """Latest known state of a process.

    :ivar version: increases within an incarnation; only the process itself
        increments it
    :ivar dead: whether the process was declared dead (a tombstone)
    :ivar witnesses: names of the processes that could not reach it
    """

    peer: fleet.Peer
    version: int = 0
    dead: bool = False
    witnesses: tuple[str, ...] = ()

    @property
    def state(self) -> State:
        """State derived from the record."""
        if self.dead:
            return State.DEAD
        if self.peer.leaving:
            return State.LEAVING
        return State.SUSPECT if self.witnesses else State.ALIVE

    @property
    def order(self) -> tuple[int, int, bool]:
        """Sort key; a newer record has a greater key."""
        return (self.peer.incarnation, self.version, self.dead)


@attrs.frozen
class Digest:
    """Summary of a record for comparison with another view."""

    name: str
    incarnation: int
    version: int
    state: State = State.ALIVE


def _union(first: Record, second: Record) -> tuple[str, ...]:
    names = sorted({*first.witnesses, *second.witnesses})
    return tuple(names[:_MAX_WITNESSES])


def join(first: Record, second: Record) -> Record:
    """Merge two records of one process.

    The higher incarnation wins. Within an incarnation ``leaving`` is kept
    once set, and the higher version determines the other fields. At equal
    versions the witnesses are combined and ``dead`` takes precedence.
    """
    if first.peer.incarnation != second.peer.incarnation:
        return max(first, second, key=lambda each: each.peer.incarnation)
    newer, older = sorted(
        (first, second), key=lambda each: each.order, reverse=True
    )
    if not newer.peer.address and newer.peer.edition > older.peer.edition:
        # A shortened record of an endpoint that is not known yet. The
        # complete record follows, since the versions differ.
        return older
    if newer.version == older.version:
        newer = attrs.evolve(newer, witnesses=_union(newer, older))
    # A shortened record has no address; take it from the complete one.
    peer = newer.peer if newer.peer.address else older.peer
    leaving = newer.peer.leaving or older.peer.leaving
    if peer.leaving != leaving:
        peer = attrs.evolve(peer, leaving=leaving)
    return attrs.evolve(newer, peer=peer)


def shorten(record: Record) -> Record:
    """Return a record without the fields that a peer already has."""
    peer = attrs.evolve(
        record.peer, failure_domain='', region='', address='', endpoint=None
    )
    return attrs.evolve(record, peer=peer)


def make_digest(record: Record) -> Digest:
    """Return the digest of a record."""
    return Digest(
        record.peer.name,
        record.peer.incarnation,
        record.version,
        record.state,
    )


def is_newer(record: Record, digest: Digest | None) -> bool:
    """Return whether a record is newer than a digest of the same process."""
    if digest is None:
        return not record.dead
    theirs = (digest.incarnation, digest.version)
    mine = (record.peer.incarnation, record.version)
    if mine != theirs:
        return mine > theirs
    return record.state is not digest.state


def is_older(record: Record | None, digest: Digest) -> bool:
    """Return whether a record is older than a digest of the same process."""
    if record is None:
        return digest.state is not State.DEAD
    theirs = (digest.incarnation, digest.version)
    mine = (record.peer.incarnation, record.version)
    if mine != theirs:
        return mine < theirs
    return record.state is not digest.state
