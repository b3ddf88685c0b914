"""Faults that a soak injects into several hosts or into the host list.

The functions follow the protocol of ``faults``: each injects a fault and
returns a function that reverts it, or None when no target was available.
Processes and relays that are under another fault are skipped.
"""

import json
from typing import Callable

from dunlintide_standins import relay as relays
from dunlintide_trials import deployment
from dunlintide_trials import faultcontext
from dunlintide_trials import faults
from dunlintide_trials import plans
from dunlintide_trials import processes

__all__ = ['FAULTS', 'SECONDS']

FaultContext = faultcontext.FaultContext
Heal = faultcontext.Heal

_ENDPOINTS = (deployment.ENGINE, deployment.SERVICE)
# Longer than the failure detection timeout between peers.
_PARTITION_SECONDS = (6.0, 15.0)
_LAG_SECONDS = (0.5, 5.0)
_AFFECTED_HOSTS = 3
_HOSTS_FILE = 'hosts.json'
_LIVE = 'live'
_LEAVING = 'leaving'


def _list_domain(context: FaultContext, domain: str) -> list[str]:
    """List the names of a failure domain's daemons and endpoints."""
    plan = context.running.plan
    names = [one.name for one in plan.daemons if one.failure_domain == domain]
    return names + [
        agent.endpoint.standin.name
        for agent in plan.agents
        if agent.endpoint.failure_domain == domain
    ]


def _reserve_domain(
    context: FaultContext,
) -> tuple[str, list[processes.Process]] | None:
    """Reserve a failure domain and its processes that are not in a fault."""
    domains = context.running.plan.blueprint.failure_domains
    names = {f'failure domain {domain}': domain for domain in domains}
    # Only one of the three failure domains may be lost at a time.
    if not context.reserve_name('failure domains'):
        return None
    chosen = context.reserve_any(list(names))
    started = context.running.started
    found = [
        started[name]
        for name in _list_domain(context, names[chosen])
        if started[name].is_running and context.reserve_name(name)
    ]
    context.last_target = chosen
    return chosen, found


def _release_domain(context: FaultContext, chosen: str) -> None:
    context.release(chosen)
    context.release('failure domains')


def kill_domain(context: FaultContext) -> Heal | None:
    """Kill all processes of a failure domain and restart them."""
    stalled = _reserve_domain(context)
    if stalled is None:
        return None
    chosen, affected = stalled
    # Endpoints are killed last because reading their records takes time.
    for process in affected:
        if process.role not in _ENDPOINTS:
            process.kill()
    for process in affected:
        if process.role in _ENDPOINTS:
            context.kill_endpoint(process)

    def heal() -> None:
        for process in affected:
            context.restart(process)
        _release_domain(context, chosen)

    return heal


def freeze_domain(context: FaultContext) -> Heal | None:
    """Suspend all processes of a failure domain for longer than a lease."""
    stalled = _reserve_domain(context)
    if stalled is None:
        return None
    chosen, affected = stalled
    for process in affected:
        process.pause()

    def heal() -> None:
        for process in affected:
            process.resume()
            context.release(process.name)
        _release_domain(context, chosen)

    return heal


def replace_hosts(context: FaultContext) -> Heal | None:
    """Stop several daemons gracefully and restart them."""
    stops = [faults.stop_agent, faults.stop_entry]
    stops += [faults.stop_agent] * (_AFFECTED_HOSTS - len(stops))
    return _inject_all(context, stops)


def lose_hosts(context: FaultContext) -> Heal | None:
    """Kill several agents at once and restart them."""
    return _inject_all(context, [faults.kill_agent] * _AFFECTED_HOSTS)


def _inject_all(
    context: FaultContext, chosen: list[faultcontext.Fault]
) -> Heal | None:
    heals = [heal for fault in chosen if (heal := fault(context))]
    if not heals:
        return None

    def heal_all() -> None:
        for heal in heals:
            heal()

    return heal_all


def _stall_relays(
    context: FaultContext, matches: Callable[..., bool]
) -> Heal | None:
    """Stall matching relays for existing and for new connections.

    :param matches: predicate of a relay's hop and daemon
    """
    stalled = []
    for (hop, daemon), relay in context.running.relays.items():
        name = f'{hop} {daemon}'
        if matches(hop, daemon) and context.reserve_name(name):
            relay.stall(relays.Direction.BOTH, new=True)
            stalled.append((name, relay))
    if not stalled:
        return None

    def heal() -> None:
        for name, relay in stalled:
            relay.resume()
            context.release(name)

    return heal


def part_domain(context: FaultContext) -> Heal | None:
    """Partition the agents of a failure domain from all peers."""
    domain = context.rng.choice(context.running.plan.blueprint.failure_domains)
    names = set(_list_domain(context, domain))
    hops = (plans.Hop.ENTRY_AGENT, plans.Hop.AGENT_AGENT)
    return _stall_relays(
        context, lambda hop, daemon: hop in hops and daemon in names
    )


def part_store(context: FaultContext) -> Heal | None:
    """Partition all entries but one from the store."""
    entries = [entry.name for entry in context.running.plan.entries]
    cut_off = set(context.rng.sample(entries, len(entries) - 1))
    return _stall_relays(
        context,
        lambda hop, daemon: (
            hop is plans.Hop.ENTRY_STORE and daemon in cut_off
        ),
    )


def call_leaving(context: FaultContext) -> Heal | None:
    """Make the host list report some live agents as leaving, with a lag."""
    listed = json.loads((context.folder / _HOSTS_FILE).read_text())['hosts']
    agents = [host['name'] for host in listed if host['role'] == 'agent']
    chosen = set(context.rng.sample(agents, _AFFECTED_HOSTS))
    changed = [
        host | {'state': _LEAVING if host['name'] in chosen else _LIVE}
        for host in listed
    ]
    lag = context.rng.uniform(*_LAG_SECONDS)
    return context.control(
        context.running.plan.host_list.name,
        {'hosts': changed, 'lag_seconds': lag},
        {'hosts': listed, 'lag_seconds': 0.0},
    )


def fail_host_list(context: FaultContext) -> Heal | None:
    """Make the host list close connections without a response."""
    return context.control(
        context.running.plan.host_list.name, {'down': True}, {'down': False}
    )


def hang_host_list(context: FaultContext) -> Heal | None:
    """Make the host list accept requests and never respond."""
    return context.control(
        context.running.plan.host_list.name, {'hang': True}, {'hang': False}
    )


FAULTS: tuple[faultcontext.Fault, ...] = (
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
SECONDS: dict[faultcontext.Fault, tuple[float, float]] = {
    freeze_domain: _PARTITION_SECONDS,
    part_domain: _PARTITION_SECONDS,
    part_store: _PARTITION_SECONDS,
}
