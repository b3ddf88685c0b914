"""Settings of an entry that runs on a platform's store."""

import result

import attrs

from dunlintide_core import jsonc
from dunlintide_core.pipeline import mechanisms
from dunlintide_core import schemas
from dunlintide_core import settings
from dunlintide_core import settingsfile

__all__ = [
    'EdgeSettings',
    'load_settings',
]


@attrs.frozen
class Retries:
    """Second sends that a service may get, of all entries together.

    :ivar ratio: for each request
    :ivar slack: besides, in any window
    :ivar window: length of the window, in seconds
    """

    ratio: settings.Rate = 0.1
    slack: settings.Rate = 10.0
    window: settings.Seconds = 10.0


@attrs.frozen
class Experiments:
    """What is tried out; nothing on a deployment that serves.

    :ivar off: mechanisms that are switched off
    """

    off: tuple[mechanisms.Mechanism, ...] = ()


@attrs.frozen
class EdgeSettings:
    """Settings of one entry; addresses are ``host:port``.

    :ivar listen: where callers ask
    :ivar ready_listen: where the balancer asks whether the entry is ready
    :ivar admin_listen: operators' port, also asked by other entries
    :ivar metrics_listen: where the metrics alone are served
    :ivar gossip_listen: where datagrams of other entries arrive
    :ivar store: address of the platform's store
    :ivar drain: longest time that a leaving endpoint may get new requests,
        in seconds
    :ivar grace: time from SIGTERM to SIGKILL, in seconds
    :ivar log_rate: log lines a second
    :ivar experiments: what is switched off to measure its worth
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
    grace: settings.Seconds = 8.0
    retries: Retries = Retries()
    log_rate: settings.Rate = 300.0
    experiments: Experiments = Experiments()


def load_settings(
    text: str, file: str
) -> result.Result[EdgeSettings, list[jsonc.Problem]]:
    """Read the settings of an entry.

    :param text: JSON with comments
    :param file: its name, for messages
    :returns: the settings, or every problem that was found
    """
    parsed = jsonc.parse(text, file)
    if parsed.is_err():
        return parsed
    return schemas.structure(
        parsed.unwrap(), EdgeSettings, settingsfile.make_converter()
    )
