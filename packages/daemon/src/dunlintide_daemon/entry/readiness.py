"""Whether an entry can serve anything."""

from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet

__all__ = [
    'list_reasons',
]


def _list_unserved(
    snapshot: configuration.Snapshot, fleet_view: fleet.Fleet
) -> list[str]:
    """Name what no agent serves, when nothing at all is served.

    One model that is down must not take the entry from the others.
    """
    unserved = [
        f'no agent for model {model.name}'
        for model in snapshot.models.values()
        if not fleet_view.list_engines(model.name, model.version)
    ]
    unserved += [
        f'no agent for service {service}'
        for service in snapshot.services
        if not fleet_view.list_services(service)
    ]
    offered = len(snapshot.models) + len(snapshot.services)
    return unserved if len(unserved) == offered else []


def list_reasons(
    leaving: bool,
    unready: str,
    snapshot: configuration.Snapshot | None,
    fleet_view: fleet.Fleet,
) -> list[str]:
    """List reasons not to send callers here.

    :param unready: why the fleet's state is not ready, empty when it is
    :returns: empty when the entry is ready
    """
    reasons = ['leaving'] if leaving else []
    if unready:
        reasons.append(unready)
    elif snapshot is None:
        reasons.append('no configuration yet')
    else:
        reasons += _list_unserved(snapshot, fleet_view)
    return reasons
