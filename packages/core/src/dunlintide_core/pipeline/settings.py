"""Settings of an entry that runs on a platform's store."""

import enum

import attrs
import result

from dunlintide_core import jsonc
from dunlintide_core.pipeline import mechanisms
from dunlintide_core import schemas
from dunlintide_core import settings
from dunlintide_core import settingsfile

__all__ = [
    'Demand',
    'EdgeSettings',
    'Sharing',
    'load_settings',
]


@attrs.frozen
class Retries:
    """Retry budget of a service, for all entries together.

    :ivar ratio: retries for each request
    :ivar slack: additional retries in any window
    :ivar window: length of the window, in seconds
    """

    ratio: settings.Rate = 0.1
    slack: settings.Rate = 10.0
    window: settings.Seconds = 10.0


class Sharing(enum.StrEnum):
    """Whether the requests of a service are ordered over all entries.

    :cvar AUTO: where its rules or teams name several priorities or weights
    """

    AUTO = 'auto'
    ON = 'on'
    OFF = 'off'


@attrs.frozen
class Demand:
    """How requests compete for the capacity of a service.

    :ivar sharing: whether requests are ordered over all entries
    :ivar minimum_share: share of the starts that each lower priority keeps
    :ivar reserve: whether capacity is reserved for urgent requests
    :ivar shared_reading: whether entries read the store less often while
        others of their failure domain read the same content
    :ivar stop_by_length: whether an entry that stops refuses streams that it
        can't finish
    """

    sharing: Sharing = Sharing.AUTO
    minimum_share: settings.MinimumShare = 0.25
    reserve: bool = True
    shared_reading: bool = False
    stop_by_length: bool = True


@attrs.frozen
class Experiments:
    """Settings for experiments, empty in production.

    :ivar off: mechanisms that are switched off
    """

    off: tuple[mechanisms.Mechanism, ...] = ()


@attrs.frozen
class EdgeSettings:
    """Settings of one entry; addresses are ``host:port``.

    :ivar role: role of the process
    :ivar name: name of the entry
    :ivar failure_domain: failure domain of the entry
    :ivar listen: address for callers
    :ivar ready_listen: address of the readiness check for load balancers
    :ivar admin_listen: admin port, also used by other entries
    :ivar metrics_listen: address that serves only metrics
    :ivar gossip_listen: address for datagrams of other entries
    :ivar store: address of the platform's store
    :ivar drain: longest time for which a draining endpoint may get new
        requests, in seconds
    :ivar apply: longest time from the acknowledgement of a configuration until
        it is in force, in seconds; the same as ``drain`` without it
    :ivar grace: time from SIGTERM to SIGKILL, in seconds
    :ivar retries: retry budget of each service
    :ivar demand: how requests compete for the capacity of a service
    :ivar log_rate: log lines per second
    :ivar memory: memory that the process may use, in MB; by default that of
        the machine
    :ivar experiments: mechanisms that are switched off to measure their effect
    """

    role: str
    name: settings.Name
    failure_domain: settings.Name
    listen: settings.Listen
    ready_listen: settings.Listen
    admin_listen: settings.Listen
    metrics_listen: settings.Listen
    gossip_listen: settings.Listen
    store: settings.Address
    drain: settings.Seconds = 2.0
    apply: settings.Seconds | None = None
    grace: settings.Seconds = 8.0
    retries: Retries = Retries()
    demand: Demand = Demand()
    log_rate: settings.Rate = 300.0
    memory: settings.Rate | None = None
    experiments: Experiments = Experiments()


def load_settings(
    text: str, file: str
) -> result.Result[EdgeSettings, list[jsonc.Problem]]:
    """Read the settings of an entry.

    :param text: JSON with comments
    :param file: file name, for messages
    :returns: the settings, or all problems found
    """
    parsed = jsonc.parse(text, file)
    if parsed.is_err():
        return parsed
    return schemas.structure(
        parsed.unwrap(), EdgeSettings, settingsfile.make_converter()
    )
