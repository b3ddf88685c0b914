"""Throughput planning: maximum flow over layer ranges, split into chains.

The nodes of the flow network are layer boundaries of a model, and its
edges are endpoints and links. Links are aggregated by pairs of failure
domains, so that the graph grows linearly with the number of endpoints.
"""

from collections.abc import Iterable, Mapping
import itertools

import attrs
import networkx
from networkx.algorithms import flow as flows

__all__ = [
    'Chain',
    'EMPTY',
    'LinkQuality',
    'Links',
    'Plan',
    'Stage',
    'make_plan',
]

# Integer flows are exact, and ties are resolved deterministically.
_UNITS_PER_TOKEN = 1000
# Latencies are integer microseconds, for the same reason.
_COST_PER_SECOND = 1_000_000
_SOURCE = 0
_SINK = 1


@attrs.frozen
class Stage:
    """An endpoint that runs a range of layers.

    The layers are the half-open range ``[layer_start, layer_end)``.

    :ivar agent: name of the agent of the endpoint
    :ivar capacity: tokens/s over all sessions
    """

    agent: str
    layer_start: int
    layer_end: int
    capacity: float
    failure_domain: str = ''


@attrs.frozen
class LinkQuality:
    """Latency and throughput of a link.

    :ivar latency: one-way latency in seconds
    :ivar tokens_per_second: positions whose activations it carries per
        second
    """

    latency: float = 0.0005
    tokens_per_second: float = 1e6


@attrs.frozen
class Links:
    """Qualities of all links, by direction.

    :ivar default: quality of links that are not listed
    :ivar domains: quality by (source, target) failure domain, for all
        agents of the two together at one layer boundary
    :ivar boundaries: quality by (layer boundary, source, target) failure
        domain, where it differs from that at other boundaries
    :ivar agents: measured quality by (source, target) agent; it only
        affects which agents of two failure domains are paired
    """

    default: LinkQuality = LinkQuality()
    domains: Mapping[tuple[str, str], LinkQuality] = attrs.field(factory=dict)
    boundaries: Mapping[tuple[int, str, str], LinkQuality] = attrs.field(
        factory=dict
    )
    agents: Mapping[tuple[str, str], LinkQuality] = attrs.field(factory=dict)

    def between_domains(
        self, boundary: int, source: str, target: str
    ) -> LinkQuality:
        """Return the quality of the link between two failure domains.

        :param boundary: first layer after the link
        """
        known = self.boundaries.get((boundary, source, target))
        if known is not None:
            return known
        return self.domains.get((source, target), self.default)

    def between(self, source: Stage, target: Stage) -> LinkQuality:
        """Return the quality of the link between two stages."""
        measured = self.agents.get((source.agent, target.agent))
        if measured is not None:
            return measured
        return self.between_domains(
            target.layer_start, source.failure_domain, target.failure_domain
        )


@attrs.frozen
class Chain:
    """Stages whose layer ranges cover the model, in order.

    :ivar share: tokens/s that the plan assigns to the chain
    :ivar latency: sum of the link latencies in seconds, including the
        link from the last stage back to the first (the head)
    """

    stages: tuple[Stage, ...]
    share: float = 0.0
    latency: float = 0.0

    @property
    def agents(self) -> tuple[str, ...]:
        """Names of the agents, starting with the head."""
        return tuple(stage.agent for stage in self.stages)


@attrs.frozen
class Plan:
    """The throughput bound and the chains that reach it.

    :ivar bound: tokens/s that the endpoints and links allow
    :ivar chains: chains whose shares add up to the bound
    """

    bound: float
    chains: tuple[Chain, ...] = ()


EMPTY = Plan(0.0)


def _to_units(tokens_per_second: float) -> int:
    return int(tokens_per_second * _UNITS_PER_TOKEN)


class _Network:
    """Flow network; its nodes are integers.

    A stage is an edge between two nodes of its own. Hubs collect the
    stages of a failure domain that start or end at a layer boundary, and
    the edges between hubs are the links.
    """

    def __init__(self, stages: list[Stage], layers: int, links: Links) -> None:
        self.stages = stages
        self.graph = networkx.DiGraph()
        self._hubs: dict[tuple[str, int, str], int] = {}
        self._links = links
        self._layers = layers
        self.graph.add_nodes_from((_SOURCE, _SINK))
        for index in range(len(stages)):
            self._add_stage(index)
        self._join_hubs()

    def get_stage(self, node: int) -> Stage | None:
        """Return the stage of a node, None for a hub, source or sink."""
        index = (node - 2) // 2
        if node < 2 or index >= len(self.stages):
            return None
        return self.stages[index]

    def _get_hub(self, side: str, boundary: int, domain: str) -> int:
        key = (side, boundary, domain)
        hub = self._hubs.get(key)
        if hub is None:
            hub = 2 + 2 * len(self.stages) + len(self._hubs)
            self._hubs[key] = hub
        return hub

    def _add_edge(self, source: int, target: int, quality: LinkQuality):
        self.graph.add_edge(
            source,
            target,
            capacity=_to_units(quality.tokens_per_second),
            cost=int(quality.latency * _COST_PER_SECOND),
        )

    def _add_stage(self, index: int) -> None:
        stage = self.stages[index]
        start_node, end_node = 2 + 2 * index, 3 + 2 * index
        quality = LinkQuality(0.0, stage.capacity)
        self._add_edge(start_node, end_node, quality)
        if stage.layer_start == 0:
            self._add_edge(_SOURCE, start_node, quality)
        else:
            hub = self._get_hub('in', stage.layer_start, stage.failure_domain)
            self._add_edge(hub, start_node, quality)
        if stage.layer_end == self._layers:
            self._add_edge(end_node, _SINK, quality)
        else:
            hub = self._get_hub('out', stage.layer_end, stage.failure_domain)
            self._add_edge(end_node, hub, quality)

    def _join_hubs(self) -> None:
        exits = [key for key in self._hubs if key[0] == 'out']
        entrances = [key for key in self._hubs if key[0] == 'in']
        for exit_key in exits:
            for entrance_key in entrances:
                if exit_key[1] == entrance_key[1]:
                    quality = self._links.between_domains(
                        exit_key[1], exit_key[2], entrance_key[2]
                    )
                    self._add_edge(
                        self._hubs[exit_key], self._hubs[entrance_key], quality
                    )


def _find_flow(graph: networkx.DiGraph) -> dict[int, dict[int, int]]:
    """Find the maximum flow with the least total latency.

    :returns: positive flows by source and target node
    """
    bound = networkx.maximum_flow_value(
        graph, _SOURCE, _SINK, flow_func=flows.preflow_push
    )
    graph.nodes[_SOURCE]['demand'] = -bound
    graph.nodes[_SINK]['demand'] = bound
    _, flow = networkx.network_simplex(graph, weight='cost')
    return {
        source: {
            target: amount for target, amount in targets.items() if amount
        }
        for source, targets in flow.items()
    }


class _Decomposition:
    """Splits a flow into chains, following the fastest links first."""

    def __init__(
        self,
        network: _Network,
        flow: dict[int, dict[int, int]],
        links: Links,
    ) -> None:
        self._network = network
        self._flow = flow
        self._links = links

    def list_chains(self) -> Iterable[Chain]:
        """Yield chains until no flow remains.

        The graph is acyclic, so each walk along positive flow ends at the
        sink. Each walk removes the flow of at least one edge.
        """
        while self._flow.get(_SOURCE):
            path = self._walk()
            pairs = list(zip(path, path[1:]))
            amount = min(self._flow[one][two] for one, two in pairs)
            for source, target in pairs:
                self._flow[source][target] -= amount
                if not self._flow[source][target]:
                    del self._flow[source][target]
            yield self._build_chain(path, amount)

    def _walk(self) -> list[int]:
        path = [_SOURCE]
        last: Stage | None = None
        while path[-1] != _SINK:
            path.append(self._choose_next(path[-1], last))
            last = self._network.get_stage(path[-1]) or last
        return path

    def _choose_next(self, node: int, last: Stage | None) -> int:
        edges = self._network.graph[node]

        def rank(item: tuple[int, int]) -> tuple[float, int]:
            target, amount = item
            stage = self._network.get_stage(target)
            if stage is None or last is None or stage is last:
                return edges[target]['cost'], -amount
            return self._links.between(last, stage).latency, -amount

        return min(self._flow[node].items(), key=rank)[0]

    def _build_chain(self, path: list[int], amount: int) -> Chain:
        found = (self._network.get_stage(node) for node in path)
        stages = tuple(stage for stage, _ in itertools.groupby(found) if stage)
        share = amount / _UNITS_PER_TOKEN
        for hop in zip(stages, stages[1:]):
            measured = self._links.agents.get((hop[0].agent, hop[1].agent))
            if measured is not None:
                share = min(share, measured.tokens_per_second)
        ring = zip(stages, stages[1:] + stages[:1])
        latency = sum(self._links.between(*hop).latency for hop in ring)
        return Chain(stages, share, latency)


def make_plan(
    stages: Iterable[Stage], layers: int, links: Links = Links()
) -> Plan:
    """Compute the maximum throughput and the chains that achieve it.

    The same input gives the same plan in every process. Planning takes
    tens of milliseconds for 600 endpoints, so call it on a background
    thread.

    :param stages: live endpoints of one model version
    :param layers: number of layers of the model
    :param links: qualities of the links between them
    """
    usable = sorted(
        (
            stage
            for stage in stages
            if stage.capacity > 0.0
            and 0 <= stage.layer_start < stage.layer_end <= layers
        ),
        key=lambda stage: (stage.agent, stage.layer_start),
    )
    network = _Network(usable, layers, links)
    flow = _find_flow(network.graph)
    merged: dict[tuple[Stage, ...], Chain] = {}
    for chain in _Decomposition(network, flow, links).list_chains():
        known = merged.get(chain.stages)
        if known is not None:
            chain = attrs.evolve(chain, share=chain.share + known.share)
        merged[chain.stages] = chain
    chains = tuple(merged.values())
    return Plan(sum(chain.share for chain in chains), chains)
