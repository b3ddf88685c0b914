"""Builds the gate of an agent from its settings."""

from dunlintide_core import caps
from dunlintide_core import fleet
from dunlintide_core import queueing
from dunlintide_core import settings as settings_module
from dunlintide_daemon.agent import counts as counting
from dunlintide_daemon.agent import gate as gates

__all__ = [
    'build_gate',
    'count_slots',
]

MAX_IN_FLIGHT = 256
SERVICE_THREADS = 32


def count_slots(endpoint: fleet.Endpoint) -> int:
    """Return the maximum number of requests in flight at an endpoint."""
    if endpoint.max_in_flight:
        return endpoint.max_in_flight
    if endpoint.kind is fleet.EndpointKind.SERVICE:
        return SERVICE_THREADS
    return MAX_IN_FLIGHT


def _build_cap(
    policy: settings_module.CapPolicy, endpoint: fleet.Endpoint
) -> caps.Cap:
    slots = count_slots(endpoint)
    if endpoint.kind is fleet.EndpointKind.SERVICE:
        policy = settings_module.CapPolicy.FIXED
    match policy:
        case settings_module.CapPolicy.FIXED:
            return caps.build_fixed(slots)
        case settings_module.CapPolicy.ADAPTIVE:
            return caps.build_adaptive(caps.INITIAL_REQUESTS, slots)
    return caps.build_budget(slots)


def build_gate(
    settings: settings_module.Settings,
    endpoint: fleet.Endpoint,
    incarnation: int,
    counts: counting.Counts,
) -> gates.Gate:
    """Build the gate with its queue limits and its in-flight cap."""
    limits = queueing.Limits(
        per_team=settings.limits.queue_per_team,
        fair=settings.queueing is settings_module.Queueing.FAIR,
    )
    chosen = gates.GateSettings(settings.name, incarnation, queue=limits)
    return gates.Gate(chosen, _build_cap(settings.cap, endpoint), counts)
