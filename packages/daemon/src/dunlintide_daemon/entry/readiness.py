"""Whether an entry can serve anything."""

from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet

__all__ = [
    'list_reasons',
]


def list_reasons(
    snapshot: configuration.Snapshot | None, fleet_view: fleet.Fleet
) -> list[str]:
    """Name what no agent serves, when nothing at all is served.

    One model that is down must not take the entry from the others.
    :returns: reasons not to send callers here, empty when it is ready
    """
    if snapshot is None:
        return ['no configuration yet']
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
