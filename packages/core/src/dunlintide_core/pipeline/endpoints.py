"""Endpoints as the platform lists them."""

from typing import Iterable

import attrs

__all__ = [
    'Endpoint',
    'Hop',
    'can_replace',
    'covers_exactly',
    'name_incarnation',
]


@attrs.frozen
class Endpoint:
    """One incarnation of an endpoint.

    :ivar name: name of this incarnation; a restarted endpoint has another
    :ivar address: ``host:port``
    :ivar service: name of the service that it belongs to
    :ivar domain: name of its failure domain
    :ivar slots: requests that it runs at once
    :ivar draining: whether it is shutting down and takes no new requests
    :ivar kind: kind of its card, empty for a plain service
    :ivar start: first layer that it holds
    :ivar end: layer behind the last one; equal to ``start`` for none
    :ivar cold_ms: remaining time for which it is slow after its start
    :ivar identity: its id, which may be the same for several incarnations
    :ivar born: start of this incarnation, Unix milliseconds, None if unknown
    :ivar reports: sequence number of its report in this incarnation; ignored
        by comparisons
    """

    name: str
    address: str
    service: str
    domain: str
    slots: int
    draining: bool = False
    kind: str = ''
    start: int = 0
    end: int = 0
    cold_ms: float = 0.0
    identity: str = attrs.field(
        default=attrs.Factory(lambda self: self.name, takes_self=True)
    )
    born: int | None = None
    reports: int = attrs.field(default=0, eq=False)

    def accepts_same_requests(self, other: 'Endpoint') -> bool:
        """Return whether another state of it accepts the same requests."""
        return (
            self.draining == other.draining
            and self.address == other.address
            and self.domain == other.domain
            and self.kind == other.kind
            and (self.start, self.end) == (other.start, other.end)
        )

    def is_superseded_by(self, other: 'Endpoint') -> bool:
        """Return whether another incarnation of it began later.

        One without a start time is older than one with a start time: an
        endpoint that reports its start time always does so.
        """
        if other.born is None:
            return False
        return self.born is None or self.born < other.born


def can_replace(endpoint: Endpoint, others: Iterable[Endpoint]) -> bool:
    """Return whether others of its service can do what an endpoint does.

    :param others: endpoints that are in use, without it
    """
    others = sorted(others, key=lambda each: each.start)
    if endpoint.start == endpoint.end:
        return bool(others)
    covered = endpoint.start
    for each in others:
        if each.start <= covered:
            covered = max(covered, each.end)
    return covered >= endpoint.end


def name_incarnation(identity: str, born: int | None) -> str:
    """Return the name of one incarnation of an endpoint.

    State kept under this name does not carry over to a restarted endpoint.

    :param born: start of the incarnation, None if unknown
    """
    return identity if born is None else f'{identity}@{born}'


@attrs.frozen
class Hop:
    """Layers that one endpoint runs for a request, half open."""

    endpoint: Endpoint
    start: int
    end: int


def covers_exactly(hops: tuple[Hop, ...], layers: int) -> bool:
    """Return whether hops run each layer once, in order, where it is held.

    :param layers: number of layers of the model
    """
    position = 0
    used = set()
    for hop in hops:
        is_held = hop.endpoint.start <= hop.start < hop.end <= hop.endpoint.end
        if hop.start != position or not is_held or hop.endpoint.name in used:
            return False
        used.add(hop.endpoint.name)
        position = hop.end
    return position == layers
