"""Deterministic subsetting: the agents that each entry connects to.

Interchangeable agents form a group: those with one layer range of one
model version, or one plain service. Each entry is assigned a few agents
of every group, so that it can build complete chains with a choice at each
range. Within a group the entries take turns and select by rendezvous
hashing. Agents that have their share of entries are selected last. Every
process computes the same assignment.
"""

import math
from typing import Iterable, Mapping, NamedTuple, Sequence

from dunlintide_core import fleet
from dunlintide_core import hashing

__all__ = ['DEFAULT_AGENTS', 'FULL_MESH_AGENTS', 'assign']

DEFAULT_AGENTS = 24
# Up to this number of agents, every entry connects to all of them: a subset
# would save few links and reduce the choice of chains.
FULL_MESH_AGENTS = 64
MIN_CHOICES = 2
# Preferred upper limit of links per agent, relative to the mean.
_MAX_LOAD_FACTOR = 1.15


class _Group(NamedTuple):
    """Key of a group of interchangeable agents."""

    kind: str
    model: str
    version: str
    layer_start: int
    layer_end: int
    service: str


def _group_agents(
    agents: Iterable[fleet.Peer],
) -> dict[_Group, list[fleet.Peer]]:
    groups: dict[_Group, list[fleet.Peer]] = {}
    for agent in agents:
        endpoint = agent.endpoint
        if endpoint is None:
            continue
        key = _Group(
            endpoint.kind,
            endpoint.model,
            endpoint.version,
            endpoint.layer_start,
            endpoint.layer_end,
            endpoint.service,
        )
        groups.setdefault(key, []).append(agent)
    return groups


def _rank(entry: fleet.Peer, agents: list[fleet.Peer]) -> list[fleet.Peer]:
    return sorted(
        agents,
        key=lambda agent: hashing.hash_text(f'{entry.name}/{agent.name}'),
    )


def _pick_agent(
    ranked: list[fleet.Peer],
    taken: Sequence[fleet.Peer],
    links: Mapping[str, int],
    max_links: int,
) -> fleet.Peer:
    """Select the next agent of a group for one entry.

    Prefers agents that have not reached their limit of links, and among
    them agents of a failure domain that is new to the entry.

    :param ranked: agents of the group by rendezvous rank
    :param taken: agents that the entry has already
    :param links: number of entries assigned to each agent
    :param max_links: limit of entries per agent
    """
    domains = {agent.failure_domain for agent in taken}
    free = [agent for agent in ranked if agent not in taken]
    return min(
        free,
        key=lambda agent: (
            links[agent.name] >= max_links,
            agent.failure_domain in domains,
        ),
    )


def _assign_group(
    entries: Sequence[fleet.Peer], agents: list[fleet.Peer], choices: int
) -> dict[str, list[fleet.Peer]]:
    choices = min(choices, len(agents))
    max_links = math.ceil(
        _MAX_LOAD_FACTOR * choices * len(entries) / len(agents)
    )
    links = {agent.name: 0 for agent in agents}
    chosen: dict[str, list[fleet.Peer]] = {e.name: [] for e in entries}
    ranks = {entry.name: _rank(entry, agents) for entry in entries}
    for _ in range(choices):
        for entry in entries:
            taken = chosen[entry.name]
            agent = _pick_agent(ranks[entry.name], taken, links, max_links)
            links[agent.name] += 1
            taken.append(agent)
    return chosen


def assign(
    entries: Iterable[fleet.Peer],
    agents: Iterable[fleet.Peer],
    target: int = DEFAULT_AGENTS,
) -> dict[str, tuple[fleet.Peer, ...]]:
    """Assign agents to every entry.

    :param target: preferred number of agents per entry; exceeded if needed
        for two choices in each group
    :return: agents by name of the entry
    """
    entries = sorted(entries, key=lambda peer: hashing.hash_text(peer.name))
    groups = _group_agents(agents)
    if not groups:
        return {entry.name: () for entry in entries}
    choices = max(MIN_CHOICES, target // len(groups))
    result: dict[str, list[fleet.Peer]] = {e.name: [] for e in entries}
    for key in sorted(groups):
        group = sorted(groups[key], key=lambda agent: agent.name)
        for name, chosen in _assign_group(entries, group, choices).items():
            result[name].extend(chosen)
    return {name: tuple(chosen) for name, chosen in result.items()}
