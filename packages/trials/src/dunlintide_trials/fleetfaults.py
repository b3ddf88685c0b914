"""Faults that a soak injects into several hosts or into the host list.

The functions follow the protocol of ``faults``: each injects a fault and
returns a function that reverts it, or None when no target was available.
Processes and relays that are under another fault are skipped.
"""

import json
from typing import Callable

from dunlintide_standins import relay as relays
from dunlintide_trials import deployment
from dunlintide_trials import faults
from dunlintide_trials import field as fields
from dunlintide_trials import plans
from dunlintide_trials import processes

__all__ = ['FAULTS', 'SECONDS']

Field = fields.Field
Heal = fields.Heal

_ENDPOINTS = (deployment.ENGINE, deployment.SERVICE)
# Longer than the failure detection timeout between peers.
_APART_SECONDS = (6.0, 15.0)
_LAG_SECONDS = (0.5, 5.0)
_REPLACED = 3
_HOSTS = 'hosts.json'
_LIVE = 'live'
_LEAVING = 'leaving'


def _list_domain(field: Field, domain: str) -> list[str]:
    """List the names of a failure domain's daemons and endpoints."""
    plan = field.running.plan
    names = [one.name for one in plan.daemons if one.failure_domain == domain]
    return names + [
        agent.endpoint.standin.name
        for agent in plan.agents
        if agent.endpoint.failure_domain == domain
    ]


def _take_domain(field: Field) -> tuple[str, list[processes.Process]] | None:
    """Reserve a failure domain and its processes that are not in a fault."""
    domains = field.running.plan.blueprint.failure_domains
    names = {f'failure domain {domain}': domain for domain in domains}
    # Only one of the three failure domains may be lost at a time.
    if not field.take_name('failure domains'):
        return None
    chosen = field.take_one(list(names))
    started = field.running.started
    found = [
        started[name]
        for name in _list_domain(field, names[chosen])
        if started[name].is_running and field.take_name(name)
    ]
    field.last = chosen
    return chosen, found


def _release_domain(field: Field, chosen: str) -> None:
    field.release(chosen)
    field.release('failure domains')


def kill_domain(field: Field) -> Heal | None:
    """Kill all processes of a failure domain and restart them."""
    taken = _take_domain(field)
    if taken is None:
        return None
    chosen, lost = taken
    # Endpoints are killed last because reading their records takes time.
    for process in lost:
        if process.role not in _ENDPOINTS:
            process.kill()
    for process in lost:
        if process.role in _ENDPOINTS:
            field.kill_endpoint(process)

    def heal() -> None:
        for process in lost:
            field.restart(process)
        _release_domain(field, chosen)

    return heal


def freeze_domain(field: Field) -> Heal | None:
    """Suspend all processes of a failure domain for longer than a lease."""
    taken = _take_domain(field)
    if taken is None:
        return None
    chosen, lost = taken
    for process in lost:
        process.pause()

    def heal() -> None:
        for process in lost:
            process.resume()
            field.release(process.name)
        _release_domain(field, chosen)

    return heal


def replace_hosts(field: Field) -> Heal | None:
    """Stop several daemons gracefully and restart them."""
    stops = [faults.stop_agent, faults.stop_entry]
    stops += [faults.stop_agent] * (_REPLACED - len(stops))
    return _apply_all(field, stops)


def lose_hosts(field: Field) -> Heal | None:
    """Kill several agents at once and restart them."""
    return _apply_all(field, [faults.kill_agent] * _REPLACED)


def _apply_all(field: Field, some: list[fields.Fault]) -> Heal | None:
    heals = [heal for fault in some if (heal := fault(field))]
    if not heals:
        return None

    def heal_all() -> None:
        for heal in heals:
            heal()

    return heal_all


def _hold_relays(field: Field, wanted: Callable[..., bool]) -> Heal | None:
    """Stall matching relays for existing and for new connections.

    :param wanted: predicate of a relay's hop and daemon
    """
    taken = []
    for (hop, daemon), relay in field.running.relays.items():
        name = f'{hop} {daemon}'
        if wanted(hop, daemon) and field.take_name(name):
            relay.stall(relays.Direction.BOTH, new=True)
            taken.append((name, relay))
    if not taken:
        return None

    def heal() -> None:
        for name, relay in taken:
            relay.resume()
            field.release(name)

    return heal


def part_domain(field: Field) -> Heal | None:
    """Partition the agents of a failure domain from all peers."""
    domain = field.rng.choice(field.running.plan.blueprint.failure_domains)
    names = set(_list_domain(field, domain))
    hops = (plans.Hop.ENTRY_AGENT, plans.Hop.AGENT_AGENT)
    return _hold_relays(
        field, lambda hop, daemon: hop in hops and daemon in names
    )


def part_store(field: Field) -> Heal | None:
    """Partition all entries but one from the store."""
    entries = [entry.name for entry in field.running.plan.entries]
    cut_off = set(field.rng.sample(entries, len(entries) - 1))
    return _hold_relays(
        field,
        lambda hop, daemon: (
            hop is plans.Hop.ENTRY_STORE and daemon in cut_off
        ),
    )


def call_leaving(field: Field) -> Heal | None:
    """Make the host list report some live agents as leaving, with a lag."""
    listed = json.loads((field.folder / _HOSTS).read_text())['hosts']
    agents = [host['name'] for host in listed if host['role'] == 'agent']
    chosen = set(field.rng.sample(agents, _REPLACED))
    changed = [
        host | {'state': _LEAVING if host['name'] in chosen else _LIVE}
        for host in listed
    ]
    lag = field.rng.uniform(*_LAG_SECONDS)
    return field.control(
        field.running.plan.host_list.name,
        {'hosts': changed, 'lag_seconds': lag},
        {'hosts': listed, 'lag_seconds': 0.0},
    )


def fail_host_list(field: Field) -> Heal | None:
    """Make the host list close connections without a response."""
    return field.control(
        field.running.plan.host_list.name, {'down': True}, {'down': False}
    )


def hang_host_list(field: Field) -> Heal | None:
    """Make the host list accept requests and never respond."""
    return field.control(
        field.running.plan.host_list.name, {'hang': True}, {'hang': False}
    )


FAULTS: tuple[fields.Fault, ...] = (
    kill_domain,
    freeze_domain,
    replace_hosts,
    lose_hosts,
    part_domain,
    part_store,
    call_leaving,
    fail_host_list,
    hang_host_list,
)
SECONDS: dict[fields.Fault, tuple[float, float]] = {
    freeze_domain: _APART_SECONDS,
    part_domain: _APART_SECONDS,
    part_store: _APART_SECONDS,
}
