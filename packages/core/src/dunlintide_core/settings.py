"""Settings with which a daemon starts."""

import enum
from typing import NewType

import attrs

from dunlintide_core import budget
from dunlintide_core import fleet
from dunlintide_core import schemas

__all__ = [
    'EndpointSettings',
    'Limits',
    'Log',
    'LogFormat',
    'LogLevel',
    'CapPolicy',
    'Placement',
    'Queueing',
    'Recovery',
    'Routing',
    'ServerTls',
    'Settings',
    'Timing',
    'Tls',
]

# Checked where they are read, so an error points at the field.
Name = NewType('Name', str)
Listen = NewType('Listen', str)
Address = NewType('Address', str)
Url = NewType('Url', str)
Seconds = NewType('Seconds', float)
Count = NewType('Count', int)
Natural = NewType('Natural', int)
Rate = NewType('Rate', float)
File = NewType('File', str)
HostName = NewType('HostName', str)


class LogLevel(enum.StrEnum):
    """Least grave messages that are logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class LogFormat(enum.StrEnum):
    """How log lines are written; auto is text on a terminal, else JSON."""

    AUTO = 'auto'
    TEXT = 'text'
    JSON = 'json'


class Routing(enum.StrEnum):
    """How an entry chooses chains.

    Round robin is a diagnostic: the baseline of measurements.
    """

    PLANNED = 'planned'
    ROUND_ROBIN = 'round-robin'


class Queueing(enum.StrEnum):
    """In which order an agent starts what waits.

    First come, first served over all teams is a diagnostic: the
    baseline of measurements.
    """

    FAIR = 'fair'
    FIFO = 'fifo'


class CapPolicy(enum.StrEnum):
    """What bounds the requests in flight before an engine.

    All but the budget are diagnostics; see ``dunlintide_core.caps``.
    """

    BUDGET = 'budget'
    FIXED = 'fixed'
    ADAPTIVE = 'adaptive'


class Recovery(enum.StrEnum):
    """What runs again after the death of a stage.

    With ``replay`` the other stages keep their state; with ``restart``
    all layers run again.
    """

    REPLAY = 'replay'
    RESTART = 'restart'


@attrs.frozen
class Log:
    """What is logged and how."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.AUTO


@attrs.frozen
class EndpointSettings:
    """The endpoint beside an agent; other fields as in fleet.Endpoint.

    An engine without a model and layers is a spare one, which loads
    what a leader orders.
    :ivar url: base URL of the endpoint, on the same host
    """

    kind: fleet.EndpointKind
    url: Url
    model: str = ''
    version: str = ''
    layer_start: Natural = 0
    layer_end: Natural = 0
    layer_count: Natural = 0
    accelerator: str = ''
    service: str = ''
    tokens_per_second: Rate = 0.0
    checks_fence: bool = False
    max_in_flight: Natural = 0
    max_layers: Natural = 0

    def to_endpoint(self) -> fleet.Endpoint:
        """Give the part that peers are told."""
        fields = attrs.asdict(self, recurse=False)
        fields.pop('url')
        return fleet.Endpoint(**fields)


@attrs.frozen
class Timing:
    """Time constants, in seconds.

    :ivar ping: quiet time after which a side of a link in use sends a
        ping; one that is idle waits three times as long
    :ivar silence: silence after which a link in use counts as lost; an
        idle one has two ``ping`` more
    :ivar redial: longest pause before a link is dialled again
    :ivar store_timeout: bound on one call to the store
    :ivar endpoint_timeout: bound on connecting to the endpoint and on
        its health check
    :ivar endpoint_silence: least time after which a call to an engine
        that has no answer yet is looked into
    :ivar heartbeat: longest pause in a stream to a caller
    :ivar caller_silence: time after which a caller that stops within its
        request, or takes none of its answer, is cut off
    :ivar host_list_poll: pause between two reads of the host list by one
        of the few processes that follow it
    :ivar configuration_poll: pause between two reads of the head that
        make up for a silent watch
    :ivar quarantine: how long a crash counts against requests, and so
        the longest quarantine
    """

    ping: Seconds = 1.0
    silence: Seconds = 3.0
    redial: Seconds = 1.0
    store_timeout: Seconds = 2.0
    endpoint_timeout: Seconds = 2.0
    endpoint_silence: Seconds = 3.0
    heartbeat: Seconds = 5.0
    caller_silence: Seconds = 30.0
    host_list_poll: Seconds = 2.0
    configuration_poll: Seconds = 30.0
    quarantine: Seconds = 600.0


@attrs.frozen
class Placement:
    """How an entry leads the placement of layers; times in seconds.

    :ivar lease: time that a leadership lives without renewal
    :ivar candidates: entries that try to lead a model
    :ivar patience: time for which a layer range must be lost before an
        endpoint is ordered to load it
    :ivar max_orders: orders of one model that are open at a time
    :ivar order_timeout: time after which an order counts as failed
    """

    lease: Count = 6
    candidates: Count = 3
    patience: Seconds = 5.0
    max_orders: Count = 2
    order_timeout: Seconds = 600.0


@attrs.frozen
class Limits:
    """Bounds on what one process holds.

    :ivar max_body_bytes: largest request body
    :ivar max_header_bytes: largest request head
    :ivar threads: requests that an entry serves at the same time
    :ivar queue_per_team: requests that a team may have queued at an
        agent
    :ivar retry_ratio: retries that an entry may make for each request,
        over all of its requests
    :ivar kept_activation_bytes: activations that an agent keeps, to
        replay them to the replacement of a lost stage; 0 for none
    :ivar cache_news: prefixes in its engine's cache that an agent tells
        each entry in a second; 0 to read no cache events
    """

    max_body_bytes: Count = 1 << 20
    max_header_bytes: Count = 64 << 10
    threads: Count = 256
    queue_per_team: Count = attrs.field(
        default=256, metadata=schemas.rename('queue_per_member')
    )
    retry_ratio: Rate = budget.DEFAULT_RATIO
    kept_activation_bytes: Natural = 64 << 20
    cache_news: Natural = 8


@attrs.frozen
class Tls:
    """Mutual TLS between processes; files in PEM.

    :ivar certificate: file of this process's certificate and, behind it,
        what lies between it and a root
    :ivar key: file of its private key, without a password
    :ivar authorities: file of the roots of all processes' certificates
    :ivar domain: ends the DNS names in certificates; the same for all
    :ivar reload: shortest time between two looks at the files, in seconds
    """

    certificate: File
    key: File
    authorities: File
    domain: HostName = 'dunlintide.internal'
    reload: Seconds = 1.0


@attrs.frozen
class ServerTls:
    """TLS on a port for callers or operators; files in PEM.

    :ivar certificate: file of the certificate that clients are shown and,
        behind it, what lies between it and a root
    :ivar key: file of its private key, without a password
    :ivar reload: shortest time between two looks at the files, in seconds
    """

    certificate: File
    key: File
    reload: Seconds = 1.0


@attrs.frozen
class Settings:
    """Settings of one daemon; addresses are ``host:port``.

    :ivar listen: where callers ask; entries only
    :ivar admin_listen: operators' port
    :ivar link_listen: where peers connect
    :ivar advertise: how peers reach ``link_listen``; None for the same
    :ivar endpoint: the endpoint beside it; agents only
    :ivar recovery: what runs again when a stage dies; entries only
    :ivar routing: how an entry chooses chains
    :ivar queueing: order of what waits; agents only
    :ivar cap: bound on what is in flight; agents of engines only
    :ivar tls: TLS between processes; None for plain connections
    :ivar listen_tls: TLS on ``listen``; None where it ends before that
    :ivar admin_tls: TLS on ``admin_listen``
    """

    role: fleet.Role
    name: Name
    failure_domain: Name
    admin_listen: Listen
    link_listen: Listen
    store_url: Url
    host_list_url: Url
    region: str = ''
    listen: Listen | None = None
    advertise: Address | None = None
    endpoint: EndpointSettings | None = None
    log: Log = Log()
    timing: Timing = Timing()
    limits: Limits = Limits()
    placement: Placement = Placement()
    recovery: Recovery = Recovery.REPLAY
    routing: Routing = Routing.PLANNED
    queueing: Queueing = Queueing.FAIR
    cap: CapPolicy = CapPolicy.BUDGET
    tls: Tls | None = None
    listen_tls: ServerTls | None = None
    admin_tls: ServerTls | None = None
