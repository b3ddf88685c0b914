"""Settings of a daemon."""

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

# The settings reader checks these types, so that errors name the field.
Name = NewType('Name', str)
Listen = NewType('Listen', str)
Address = NewType('Address', str)
Url = NewType('Url', str)
Seconds = NewType('Seconds', float)
Count = NewType('Count', int)
Natural = NewType('Natural', int)
Rate = NewType('Rate', float)
MinimumShare = NewType('MinimumShare', float)
File = NewType('File', str)
HostName = NewType('HostName', str)


class LogLevel(enum.StrEnum):
    """Minimum level of messages that are logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class LogFormat(enum.StrEnum):
    """Format of log lines; auto is text on a terminal, else JSON."""

    AUTO = 'auto'
    TEXT = 'text'
    JSON = 'json'


class Routing(enum.StrEnum):
    """Method by which an entry selects chains.

    Round robin is a diagnostic, used as a baseline in benchmarks.
    """

    PLANNED = 'planned'
    ROUND_ROBIN = 'round-robin'


class Queueing(enum.StrEnum):
    """Order in which an agent starts queued requests.

    FIFO over all teams is a diagnostic, used as a baseline in benchmarks.
    """

    FAIR = 'fair'
    FIFO = 'fifo'


class CapPolicy(enum.StrEnum):
    """Limit on the requests in flight at an engine.

    All but the budget are diagnostics; see ``dunlintide_core.caps``.
    """

    BUDGET = 'budget'
    FIXED = 'fixed'
    ADAPTIVE = 'adaptive'


class Recovery(enum.StrEnum):
    """Recovery of a request after a stage of its chain fails.

    With ``replay`` the other stages keep their state; with ``restart``
    all layers are recomputed.
    """

    REPLAY = 'replay'
    RESTART = 'restart'


@attrs.frozen
class Log:
    """Level and format of the log."""

    level: LogLevel = LogLevel.INFO
    format: LogFormat = LogFormat.AUTO


@attrs.frozen
class EndpointSettings:
    """Endpoint of an agent; other fields as in ``fleet.Endpoint``.

    An engine without a model and layers is a spare, which loads the
    layers that a leader orders.
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
        """Return the description that is shared with peers."""
        fields = attrs.asdict(self, recurse=False)
        fields.pop('url')
        return fleet.Endpoint(**fields)


@attrs.frozen
class Timing:
    """Time constants, in seconds.

    :ivar ping: time without traffic after which either side of a link in
        use sends a ping; three times as long for an idle link
    :ivar silence: time without traffic after which a link in use counts
        as lost; two ``ping`` longer for an idle link
    :ivar redial: longest backoff before a link is reconnected
    :ivar store_timeout: time-out of one call to the store
    :ivar endpoint_timeout: time-out of connecting to the endpoint and of
        its health check
    :ivar endpoint_silence: minimum time without an answer before a call
        to an engine is checked for a failure
    :ivar heartbeat: longest pause in a stream to a caller
    :ivar caller_silence: time after which a caller that stops sending its
        request or reading its response is disconnected
    :ivar host_list_poll: interval at which the few processes that follow
        the host list read it
    :ivar configuration_poll: interval at which the head is read in case
        the watch misses a change
    :ivar quarantine: time for which a crash counts against the requests
        involved, and so the longest quarantine of a request
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
    """Settings of an entry that leads layer placement; times in seconds.

    :ivar lease: time to live of a leadership without renewal
    :ivar candidates: number of entries that compete to lead a model
    :ivar patience: time for which a layer range must lack endpoints
        before one is ordered to load it
    :ivar max_orders: maximum number of open orders per model
    :ivar order_timeout: time after which an order counts as failed
    """

    lease: Count = 6
    candidates: Count = 3
    patience: Seconds = 5.0
    max_orders: Count = 2
    order_timeout: Seconds = 600.0


@attrs.frozen
class Limits:
    """Resource limits of one process.

    :ivar max_body_bytes: largest request body, in bytes
    :ivar max_header_bytes: largest request header section, in bytes
    :ivar threads: number of requests that an entry serves concurrently
    :ivar queue_per_team: maximum number of requests that a team may have
        queued at an agent
    :ivar retry_ratio: retry budget of an entry, as the ratio of retries
        to requests
    :ivar kept_activation_bytes: memory of an agent for activations that
        can be replayed to the replacement of a lost stage; 0 for none
    :ivar cache_news: cached prefixes that an agent announces to each
        entry per second; 0 disables reading of cache events
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
    """Mutual TLS between processes; files in PEM format.

    :ivar certificate: file with this process's certificate followed by
        its intermediate certificates
    :ivar key: file with the unencrypted private key
    :ivar authorities: file with the root certificates of all processes
    :ivar domain: common suffix of the DNS names in all certificates
    :ivar reload: minimum interval between two checks of the files for
        changes, in seconds
    """

    certificate: File
    key: File
    authorities: File
    domain: HostName = 'dunlintide.internal'
    reload: Seconds = 1.0


@attrs.frozen
class ServerTls:
    """TLS on a port for callers or operators; files in PEM format.

    :ivar certificate: file with the server certificate followed by its
        intermediate certificates
    :ivar key: file with the unencrypted private key
    :ivar reload: minimum interval between two checks of the files for
        changes, in seconds
    """

    certificate: File
    key: File
    reload: Seconds = 1.0


@attrs.frozen
class Settings:
    """Settings of one daemon; addresses are ``host:port``.

    :ivar listen: address for callers; entries only
    :ivar admin_listen: address for operators
    :ivar link_listen: address for links from peers
    :ivar advertise: address at which peers reach ``link_listen``; None if
        it is the same
    :ivar endpoint: endpoint of the agent; agents only
    :ivar recovery: recovery after a stage fails; entries only
    :ivar routing: selection of chains; entries only
    :ivar queueing: order of queued requests; agents only
    :ivar cap: limit on requests in flight; agents of engines only
    :ivar tls: TLS between processes; None for plain connections
    :ivar listen_tls: TLS on ``listen``; None for plain connections, for
        example behind a proxy that terminates TLS
    :ivar admin_tls: TLS on ``admin_listen``; None for plain connections
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
