"""Processes of the deployment as the others know them."""

import enum

import attrs

__all__ = [
    'Endpoint',
    'EndpointKind',
    'LoadReport',
    'Peer',
    'Role',
]


class Role(enum.StrEnum):
    """What a daemon does."""

    ENTRY = 'entry'
    AGENT = 'agent'


class EndpointKind(enum.StrEnum):
    """What stands behind an agent."""

    ENGINE = 'engine'
    SERVICE = 'service'


@attrs.frozen
class Endpoint:
    """What an agent stands before.

    Layers are the half-open range ``[layer_start, layer_end)`` of a
    model with ``layer_count`` layers.
    :ivar tokens_per_second: declared capacity over all requests
    :ivar checks_fence: whether the engine itself refuses an order that
        carries an old fencing number
    :ivar max_in_flight: fixed bound on concurrent requests, 0 for none
    :ivar max_layers: most layers that it can hold, 0 for any number
    :ivar away: whether it does not answer its agent
    """

    kind: EndpointKind
    model: str = ''
    version: str = ''
    layer_start: int = 0
    layer_end: int = 0
    layer_count: int = 0
    accelerator: str = ''
    service: str = ''
    tokens_per_second: float = 0.0
    checks_fence: bool = False
    max_in_flight: int = 0
    max_layers: int = 0
    away: bool = False

    @property
    def is_spare(self) -> bool:
        """Whether it is an engine that holds no layers."""
        return (
            self.kind is EndpointKind.ENGINE
            and self.layer_start >= self.layer_end
        )


@attrs.frozen
class Peer:
    """One process, in one life of it.

    :ivar incarnation: rises with every start of the same name
    :ivar address: ``host:port`` of its link server
    :ivar edition: rises within an incarnation when the endpoint changes
    """

    name: str
    role: Role
    incarnation: int
    failure_domain: str
    region: str
    address: str
    endpoint: Endpoint | None = None
    leaving: bool = False
    edition: int = 0


@attrs.frozen
class LoadReport:
    """Load of one agent as it last told it.

    :ivar age: seconds since it was received
    :ivar away: whether the endpoint does not answer
    :ivar step_seconds: recent mean duration of one engine step
    """

    running: int = 0
    queued: int = 0
    cap: int = 0
    kv_usage: float = 0.0
    step_seconds: float = 0.0
    tokens_per_second: float = 0.0
    generation: int = 0
    age: float = 0.0
    away: bool = False
