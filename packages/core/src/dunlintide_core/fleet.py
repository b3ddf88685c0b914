"""Description of processes and endpoints as shared within the fleet."""

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
    """Role of a daemon."""

    ENTRY = 'entry'
    AGENT = 'agent'


class EndpointKind(enum.StrEnum):
    """Kind of back end that an agent serves."""

    ENGINE = 'engine'
    SERVICE = 'service'


@attrs.frozen
class Endpoint:
    """Endpoint (back end) of an agent.

    An engine holds the layers ``[layer_start, layer_end)`` of a model with
    ``layer_count`` layers.
    :ivar tokens_per_second: declared capacity over all requests
    :ivar checks_fence: whether the engine itself refuses an order with an
        outdated fencing token
    :ivar max_in_flight: fixed limit on concurrent requests, 0 for none
    :ivar max_layers: maximum number of layers that the engine can hold, 0
        for no limit
    :ivar away: whether the endpoint does not answer its agent
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
        """Whether the endpoint is an engine without layers."""
        return (
            self.kind is EndpointKind.ENGINE
            and self.layer_start >= self.layer_end
        )


@attrs.frozen
class Peer:
    """One incarnation of a process.

    :ivar incarnation: increases with every start of the process
    :ivar address: ``host:port`` of the link server
    :ivar endpoint: endpoint of an agent, None for an entry
    :ivar leaving: whether the process has announced that it leaves
    :ivar edition: increases within an incarnation when the endpoint changes
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
    """Most recent load report of an agent.

    :ivar running: requests that run on the endpoint
    :ivar queued: requests that wait at the agent
    :ivar age: seconds since the report was received
    :ivar away: whether the endpoint does not answer the agent
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
