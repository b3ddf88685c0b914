"""Endpoints as the platform lists them."""

import attrs

__all__ = [
    'Endpoint',
    'Hop',
    'covers_exactly',
    'name_incarnation',
]


@attrs.frozen
class Endpoint:
    """One life of an endpoint.

    :ivar name: this life of it; a restart has another one
    :ivar address: ``host:port``
    :ivar slots: requests that it runs at once
    :ivar draining: whether it leaves and takes no new requests
    :ivar kind: kind of its card, empty for a plain service
    :ivar start: first layer that it holds
    :ivar end: layer behind the last one; equal to ``start`` for none
    :ivar cold_ms: how much longer it stays slow after its start
    :ivar identity: its id, which may outlast a life
    :ivar born: start of this life, Unix milliseconds, None if not told
    :ivar reports: number of its report in this life; it makes no difference
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
        """Tell whether it takes the same requests as another state of it."""
        return (
            self.draining == other.draining
            and self.address == other.address
            and self.domain == other.domain
            and self.kind == other.kind
            and (self.start, self.end) == (other.start, other.end)
        )

    def is_superseded_by(self, other: 'Endpoint') -> bool:
        """Tell whether another life of it began later.

        One that does not tell its birth is older than one that does: an
        endpoint that tells it always does.
        """
        if other.born is None:
            return False
        return self.born is None or self.born < other.born


def name_incarnation(identity: str, born: int | None) -> str:
    """Name one life of an endpoint, so that nothing is kept over lives.

    :param born: start of the life, None if it is not told
    """
    return identity if born is None else f'{identity}@{born}'


@attrs.frozen
class Hop:
    """Layers that one endpoint runs for a request, half open."""

    endpoint: Endpoint
    start: int
    end: int


def covers_exactly(hops: tuple[Hop, ...], layers: int) -> bool:
    """Tell whether hops run each layer once, in order, as they are held.

    :param layers: layers of the model
    """
    position = 0
    seen = set()
    for hop in hops:
        held = hop.endpoint.start <= hop.start < hop.end <= hop.endpoint.end
        if hop.start != position or not held or hop.endpoint.name in seen:
            return False
        seen.add(hop.endpoint.name)
        position = hop.end
    return position == layers
