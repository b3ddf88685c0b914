"""Engines of the fleet, for the placement decisions of a model's leader.

The layers that an engine holds are read from the gossip membership, so a
leader needs no link to it. The entry's own links give newer state. A lost
link makes the entry one more witness that the engine is unreachable; a
single witness does not remove an engine.
"""

from typing import Iterable, Protocol

import attrs

from dunlintide_core import fleet as core_fleet
from dunlintide_core import placement
from dunlintide_core import reachability
from dunlintide_daemon.entry import fleet

__all__ = [
    'EngineSnapshot',
    'EngineView',
    'Host',
]

# Request count assumed for an engine without a link, whose load is unknown,
# so that it is chosen for an order last.
_UNCONNECTED_REQUESTS = 1 << 30


class Host(Protocol):
    """Fields of a fleet member that the engine view depends on.

    :ivar peer: None if it is known from the host list only
    """

    name: str
    role: str
    state: str
    failure_domain: str
    witnesses: tuple[str, ...]
    is_leaving: bool
    peer: core_fleet.Peer | None


@attrs.frozen
class EngineSnapshot:
    """Engines that can be placed on, at one moment.

    :ivar has_sufficient_view: whether enough agents are reachable to make
        placement decisions
    """

    engines: tuple[placement.Engine, ...] = ()
    has_sufficient_view: bool = False


def _is_engine(peer: core_fleet.Peer | None) -> bool:
    if peer is None or peer.endpoint is None:
        return False
    return peer.endpoint.kind is core_fleet.EndpointKind.ENGINE


def _build_engine(
    peer: core_fleet.Peer,
    request_count: int = _UNCONNECTED_REQUESTS,
    suspected: bool = False,
) -> placement.Engine:
    endpoint = peer.endpoint
    holding = placement.Holding(
        endpoint.model,
        endpoint.version,
        endpoint.layer_start,
        endpoint.layer_end,
    )
    return placement.Engine(
        peer.name, holding, request_count, endpoint.max_layers, suspected
    )


class EngineView:
    """Engines of the membership, corrected by the links of this entry."""

    def __init__(
        self, name: str, failure_domain: str, fleet_view: fleet.Fleet
    ) -> None:
        """Initialize without engines.

        :param name: name of this entry
        """
        self._name = name
        self._domain = failure_domain
        self._fleet = fleet_view
        self._agents: dict[str, Host] = {}
        self._domains: dict[str, str] = {}
        self._required_domains = 1
        # Results from the membership alone, cached since it changes much
        # less often than snapshots are taken.
        self._engines: dict[str, placement.Engine] = {}
        self._reachable: frozenset[str] = frozenset()

    def update_hosts(self, hosts: Iterable[Host]) -> None:
        """Apply a new member list."""
        hosts = list(hosts)
        self._domains = {host.name: host.failure_domain for host in hosts}
        self._required_domains = reachability.count_needed_domains(
            set(self._domains.values())
        )
        self._agents = {
            host.name: host
            for host in hosts
            if host.role == core_fleet.Role.AGENT and not host.is_leaving
        }
        assessed = {
            name: self._assess(host, host.witnesses)
            for name, host in self._agents.items()
        }
        self._reachable = frozenset(
            name
            for name, state in assessed.items()
            if state is reachability.Reachability.PRESENT
        )
        self._engines = {}
        for name, state in assessed.items():
            self._update_engine(self._engines, name, state)

    def _assess(
        self, host: Host, witnesses: Iterable[str]
    ) -> reachability.Reachability:
        if host.peer is None:
            # The host list has no reachability reports.
            return reachability.Reachability.GONE
        unreached_by = {
            # A witness that is no process of the fleet counts as a failure
            # domain of its own.
            witness: self._domains.get(witness, witness)
            for witness in witnesses
        }
        return reachability.assess(
            host.state, unreached_by, self._required_domains
        )

    def _update_engine(
        self,
        engines: dict[str, placement.Engine],
        name: str,
        state: reachability.Reachability,
    ) -> None:
        """Add or remove an engine according to its reachability."""
        engines.pop(name, None)
        peer = self._agents[name].peer
        if state is reachability.Reachability.GONE or not _is_engine(peer):
            return
        if not peer.endpoint.away:
            suspected = state is reachability.Reachability.SUSPECT
            engines[name] = _build_engine(peer, suspected=suspected)

    def take_snapshot(self) -> EngineSnapshot:
        """Return the current engines by membership and links."""
        engines, reachable = dict(self._engines), set(self._reachable)
        for name in self._fleet.list_unconnected() & self._agents.keys():
            host = self._agents[name]
            state = self._assess(host, (*host.witnesses, self._name))
            self._update_engine(engines, name, state)
            reachable.discard(name)
        for agent in self._fleet.list_agents():
            engines.pop(agent.peer.name, None)
            reachable.add(agent.peer.name)
        for agent in self._fleet.list_usable():
            if _is_engine(agent.peer):
                request_count = agent.load.running + agent.load.queued
                engines[agent.peer.name] = _build_engine(
                    agent.peer, request_count
                )
        has_sufficient_view = placement.has_sufficient_view(
            len(reachable & self._agents.keys()), len(self._agents)
        )
        return EngineSnapshot(tuple(engines.values()), has_sufficient_view)
