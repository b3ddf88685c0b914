"""Readiness of an entry: reasons why it should get no callers."""

from typing import Iterator

from dunlintide_core import configuration as core_configuration
from dunlintide_core import coverage
from dunlintide_daemon.entry import configuration
from dunlintide_daemon.entry import fleet

__all__ = [
    'STARTUP_SECONDS',
    'list_reasons',
]

# Bound on opening the links to all agents at start, including the timeout
# of an agent that does not respond. Agents without a link by then count as
# down.
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
    """List a reason for each model and service that can't be served."""
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
    """List the reasons why the entry is not ready.

    While starting, an entry is ready only when it can serve all configured
    models and services. Later it is ready when it can serve any of them,
    so that one model that is down does not make the others unavailable.

    :param leaving: whether the entry is draining
    :param unready: why the fleet's state is not ready, empty if it is
    :param snapshot: configuration in force, None before the first
    :param is_starting: whether the entry is still linking to agents
    :returns: empty if the entry is ready
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
