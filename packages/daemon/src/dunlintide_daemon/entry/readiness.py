"""Whether an entry can serve what the configuration offers."""

from typing import Iterator

from dunlintide_core import configuration as core_configuration
from dunlintide_core import coverage
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet

__all__ = [
    'STARTUP_SECONDS',
    'list_reasons',
]

# A start takes this long at most to link to agents, one silent one
# included; whatever is still missing then is taken to be down.
STARTUP_SECONDS = 5.0


def _check_model(
    model: core_configuration.Model, fleet_view: fleet.Fleet
) -> Iterator[str]:
    agents = fleet_view.list_engines(model.name, model.version)
    if not agents:
        yield f'no agent for model {model.name}'
        return
    endpoints = [agent.peer.endpoint for agent in agents]
    reach = coverage.find_reach(
        (one.layer_start, one.layer_end) for one in endpoints
    )
    if reach != model.layers:
        yield (
            f'agents for model {model.name} reach layer {reach}'
            f' of {model.layers}'
        )


def _list_unserved(
    snapshot: configuration.Snapshot, fleet_view: fleet.Fleet
) -> list[str]:
    """Name the models and services that no chain or agent serves."""
    unserved = []
    for model in snapshot.models.values():
        unserved += _check_model(model, fleet_view)
    unserved += [
        f'no agent for service {service}'
        for service in snapshot.services
        if not fleet_view.list_services(service)
    ]
    return unserved


def list_reasons(
    leaving: bool,
    unready: str,
    snapshot: configuration.Snapshot | None,
    fleet_view: fleet.Fleet,
    is_starting: bool = False,
) -> list[str]:
    """List reasons not to send callers here.

    An entry that has just started waits until it can serve all that is
    offered. Later one model that is down must not take the entry from
    the others, so any that is served will do.

    :param unready: why the fleet's state is not ready, empty when it is
    :param is_starting: whether the entry is still linking to agents
    :returns: empty when the entry is ready
    """
    reasons = ['leaving'] if leaving else []
    if unready:
        return [*reasons, unready]
    if snapshot is None:
        return [*reasons, 'no configuration yet']
    unserved = _list_unserved(snapshot, fleet_view)
    offered = len(snapshot.models) + len(snapshot.services)
    if is_starting or len(unserved) == offered:
        reasons += unserved
    return reasons
