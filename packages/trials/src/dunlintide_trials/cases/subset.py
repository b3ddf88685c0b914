"""Balance of the subsets of agents that entries connect to."""

import collections
import statistics
import time
from typing import Iterator

from dunlintide_core import fleet
from dunlintide_core import subset
from dunlintide_trials import figures
from dunlintide_trials import fleets
from dunlintide_trials import network

__all__ = ['CASES']

_BALANCE_BOUND = 1.3
_LOAD_BOUND = 1.3
_SIZES = ((19, 31), (38, 62), (76, 124), (152, 248), (370, 600))


def _find_load_spread(
    chosen: dict[str, tuple[fleet.Peer, ...]], agents: list[fleet.Peer]
) -> float:
    """Return the highest load of an agent relative to its group's mean.

    Each entry spreads one unit of load evenly over its agents of a group.
    The agents of a group serve the same layer range.
    """
    groups = collections.Counter(agent.endpoint for agent in agents)
    loads: collections.Counter[fleet.Peer] = collections.Counter()
    for chosen_agents in chosen.values():
        counts = collections.Counter(agent.endpoint for agent in chosen_agents)
        for agent in chosen_agents:
            loads[agent] += 1 / counts[agent.endpoint]
    return max(
        loads[agent] * groups[agent.endpoint] / len(chosen) for agent in agents
    )


def _find_link_spread(
    links: collections.Counter[str], agents: list[fleet.Peer]
) -> float:
    """Return the most links of an agent relative to its group's mean.

    Agents are compared within their group only, because groups differ in
    size and the single agent of a group has a link to every entry.
    """
    groups: dict[fleet.Endpoint, list[int]] = {}
    for agent in agents:
        groups.setdefault(agent.endpoint, []).append(links[agent.name])
    return max(max(each) / statistics.mean(each) for each in groups.values())


def measure_balance() -> Iterator[figures.Figure]:
    """Measure the spread of links and load, and the churn of one loss."""
    for entry_count, agent_count in _SIZES:
        peers = network.make_peers(entry_count, agent_count, fleets.DOMAINS)
        entries, agents = peers[:entry_count], peers[entry_count:]
        start = time.process_time()
        chosen = subset.assign(entries, agents)
        spent = time.process_time() - start
        links = collections.Counter(
            agent.name
            for chosen_agents in chosen.values()
            for agent in chosen_agents
        )
        mean = statistics.mean(links[agent.name] for agent in agents)
        prefix = f'subset.balance.{entry_count + agent_count}'
        yield figures.at_most(
            prefix,
            round(_find_link_spread(links, agents), 3),
            'ratio',
            _BALANCE_BOUND,
            baseline=1.0,
            note='links of the busiest agent against its group',
        )
        yield figures.plain(
            f'{prefix}.links',
            max(links.values()),
            'links',
            baseline=float(entry_count),
            note=f'at most; mean {mean:.1f}; baseline full mesh',
        )
        yield figures.at_most(
            f'{prefix}.load',
            round(_find_load_spread(chosen, agents), 3),
            'ratio',
            _LOAD_BOUND,
            baseline=1.0,
            note='equal entries; baseline full mesh',
        )
        fewer = subset.assign(entries, agents[1:])
        changed = sum(
            len(set(fewer[name]) - set(chosen[name])) for name in chosen
        )
        yield figures.plain(
            f'{prefix}.changed',
            changed,
            'links',
            baseline=float(links[agents[0].name]),
            note='new links when an agent goes; baseline: links it had',
        )
        yield figures.plain(f'{prefix}.cpu', round(spent, 4), 's')


CASES = [measure_balance]
