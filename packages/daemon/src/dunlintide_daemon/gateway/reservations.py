"""Capacity that one entry leaves free for more urgent requests.

An interrupted stream may use the reserve: its caller has a part of the answer
already. So may a request that the minimum share of its priority entitles to
the next start, since the reserve would otherwise keep it from that start.
"""

from typing import Mapping

from dunlintide_core.pipeline import mechanisms
from dunlintide_core.pipeline import reserve
from dunlintide_core.pipeline import servicecapacity
from dunlintide_daemon.gateway import exchange as exchange_module
from dunlintide_daemon.gateway import state as state_module

__all__ = [
    'choose_fraction',
    'estimate_capacity',
    'get_fraction',
    'list_fractions',
    'record_arrival',
    'record_end',
]


def _is_enabled(state: state_module.State, service: str) -> bool:
    """Return whether capacity of a service may be reserved."""
    return (
        state.settings.demand.reserve
        and state.has(mechanisms.Mechanism.RESERVE)
        and state.is_shared(service)
    )


def record_arrival(
    state: state_module.State, exchange: exchange_module.Exchange
) -> None:
    """Record that a request was admitted."""
    if _is_enabled(state, exchange.service):
        found = state.reserves.setdefault(exchange.service, reserve.Reserve())
        found.record_start(exchange.priority, state.now)


def record_end(
    state: state_module.State,
    exchange: exchange_module.Exchange,
    outcome: exchange_module.Outcome,
) -> None:
    """Record the duration of a request that was served."""
    found = state.reserves.get(exchange.service)
    if found is not None and outcome is exchange_module.Outcome.COMPLETE:
        now = state.now
        seconds = now - exchange.request.received_at
        found.record_end(exchange.priority, seconds, now)


def estimate_capacity(state: state_module.State, service: str) -> float:
    """Return how many requests the endpoints of a service run at once."""
    deployment = state.deployment
    listed = deployment.services.get(service) if deployment else None
    if listed is None or listed.engine is None:
        return servicecapacity.count_slots(state.list_all_endpoints(service))
    profile = listed.engine
    version = state.listing_version
    found = state.engine_capacities.get(service)
    if (
        found is None
        or found.version != version
        or found.profile is not profile
    ):
        streams = servicecapacity.estimate_streams(
            profile, state.list_engines(service, profile)
        )
        found = servicecapacity.EngineCapacity(version, profile, streams)
        state.engine_capacities[service] = found
    return found.streams


def get_fraction(
    state: state_module.State, service: str, priority: int
) -> float:
    """Return the fraction of the capacity that a request may not use."""
    found = state.reserves.get(service)
    if found is None or not _is_enabled(state, service):
        return 0.0
    # Avoids counting the slots of all endpoints.
    if not found.has_more_urgent(priority, state.now):
        return 0.0
    return found.get_fraction(
        priority,
        estimate_capacity(state, service),
        len(state.listed_entries) + 1,
        state.now,
    )


def _is_owed(state: state_module.State, service: str, priority: int) -> bool:
    """Return whether the minimum share entitles a priority to a start."""
    queue = state.queues.get(service)
    return queue is not None and queue.shares.is_owed(priority)


def choose_fraction(
    state: state_module.State, exchange: exchange_module.Exchange
) -> float:
    """Return the fraction that the next send of a request may not use."""
    service, priority = exchange.service, exchange.priority
    if exchange.terms.stream and exchange.runs > 0:
        return 0.0
    if _is_owed(state, service, priority):
        return 0.0
    return get_fraction(state, service, priority)


def list_fractions(state: state_module.State) -> Mapping[str, float]:
    """Return what the least urgent recent requests may not use, by service."""
    found = {}
    for service, each in state.reserves.items():
        priority = each.get_lowest(state.now)
        if priority is not None:
            found[service] = get_fraction(state, service, priority)
    return found
