"""Selection of the chain of agents that runs a request."""

from typing import Callable, Collection, Iterable

from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet as core_fleet
from dunlintide_daemon.entry import fleet

__all__ = [
    'AgentInstance',
    'Chain',
    'build_stages',
    'choose_chain',
    'choose_least_loaded',
    'choose_with_fallback',
    'get_instance',
]

Chain = tuple[fleet.Agent, ...]
# Larger than any load, so that as few agents as possible are replaced.
_REPLACEMENT_COST = 1_000_000
# Agent name and incarnation: a restarted agent is another instance.
AgentInstance = tuple[str, int]


def get_instance(agent: fleet.Agent) -> AgentInstance:
    """Return the name and incarnation of an agent."""
    return agent.peer.name, agent.peer.incarnation


def _estimate_load(agent: fleet.Agent) -> int:
    # The agent's load report also counts the requests of this entry that
    # have reached it, so a sum would count them twice.
    reported = agent.load.running + agent.load.queued
    return max(agent.outstanding, reported)


def choose_least_loaded(
    agents: Iterable[fleet.Agent], avoid: Collection[AgentInstance] = ()
) -> fleet.Agent | None:
    """Return the least loaded agent, or None when there is none.

    :param avoid: agents that must not be chosen
    """
    usable = [one for one in agents if get_instance(one) not in avoid]
    return min(usable, key=_estimate_load, default=None)


def _has_allowed_accelerator(
    endpoint: core_fleet.Endpoint, accelerators: Collection[str]
):
    return not accelerators or endpoint.accelerator in accelerators


def _compute_cost(agent: fleet.Agent, keep: Collection[AgentInstance]) -> int:
    if get_instance(agent) in keep:
        return 0
    return 1 + _estimate_load(agent) + (_REPLACEMENT_COST if keep else 0)


def choose_chain(
    agents: Iterable[fleet.Agent],
    layers: int,
    *,
    accelerators: Collection[str] = (),
    avoid: Collection[AgentInstance] = (),
    is_head: Callable[[fleet.Agent], bool] = lambda agent: True,
    keep: Collection[AgentInstance] = (),
) -> Chain | None:
    """Choose the least loaded chain that holds all layers.

    :param agents: usable agents of one model version
    :param layers: number of layers of the model
    :param accelerators: allowed kinds of accelerator, empty for any
    :param avoid: agents that must not be chosen
    :param is_head: returns whether an agent may hold the first layers
    :param keep: agents to choose wherever possible
    :returns: agents whose adjacent ranges cover all layers, or None
    """
    cheapest: dict[int, tuple[int, Chain]] = {0: (0, ())}
    # Cheapest chain from layer 0 to each boundary. Ranges are visited by
    # their start, so the cheapest chain to a boundary is final before any
    # range that starts there.
    for agent in sorted(agents, key=lambda one: one.peer.endpoint.layer_start):
        endpoint = agent.peer.endpoint
        prefix = cheapest.get(endpoint.layer_start)
        if prefix is None or get_instance(agent) in avoid:
            continue
        if not _has_allowed_accelerator(endpoint, accelerators):
            continue
        if endpoint.layer_start == 0 and not is_head(agent):
            continue
        if endpoint.layer_end <= endpoint.layer_start:
            continue
        cost = prefix[0] + _compute_cost(agent, keep)
        previous = cheapest.get(endpoint.layer_end)
        if previous is None or cost < previous[0]:
            cheapest[endpoint.layer_end] = (cost, (*prefix[1], agent))
    found = cheapest.get(layers)
    return found[1] if found is not None and found[1] else None


def build_stages(chain: Chain) -> list[link_pb2.Stage]:
    """Build the protobuf stages of a chain."""
    return [
        link_pb2.Stage(
            agent=agent.peer.name,
            address=agent.peer.address,
            incarnation=agent.peer.incarnation,
            layer_start=agent.peer.endpoint.layer_start,
            layer_end=agent.peer.endpoint.layer_end,
        )
        for agent in chain
    ]


def choose_with_fallback(
    choose: Callable[[Collection[AgentInstance]], Chain | None],
    avoid: Collection[AgentInstance],
) -> Chain | None:
    """Choose without the given agents, or with them if there is no other.

    An agent whose link was lost is often still sound, and it may be the
    only one that holds its layers.

    :param choose: returns a chain without the given agents, or None
    :param avoid: agents that failed the request
    """
    return choose(avoid) or (choose(()) if avoid else None)
