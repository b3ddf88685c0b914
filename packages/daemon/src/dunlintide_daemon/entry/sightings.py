"""The engines of the fleet, as the entry that leads a model sees them.

What they hold comes from the membership, so a leader needs no link to
them. The links that it has tell sooner, and one that is lost makes it a
witness like any other, whose word alone removes nothing.
"""

from typing import Iterable, Protocol

import attrs

from dunlintide_core import fleet as core_fleet
from dunlintide_core import placement
from dunlintide_core import reachability
from dunlintide_daemon.entry import fleet

__all__ = [
    'Host',
    'Sight',
    'Sightings',
]

# An engine without a link to it is the last to be given an order.
_UNREACHED_WORK = 1 << 30


class Host(Protocol):
    """One process of the fleet.

    :ivar peer: None where it is known from the host list only
    """

    name: str
    role: str
    state: str
    failure_domain: str
    witnesses: tuple[str, ...]
    is_leaving: bool
    peer: core_fleet.Peer | None


@attrs.frozen
class Sight:
    """The engines at one moment.

    :ivar enough: whether enough agents are seen to judge
    """

    engines: tuple[placement.Engine, ...] = ()
    enough: bool = False


def _is_engine(peer: core_fleet.Peer | None) -> bool:
    if peer is None or peer.endpoint is None:
        return False
    return peer.endpoint.kind is core_fleet.EndpointKind.ENGINE


def _build_engine(
    peer: core_fleet.Peer, work: int = _UNREACHED_WORK, doubted: bool = False
) -> placement.Engine:
    endpoint = peer.endpoint
    holding = placement.Holding(
        endpoint.model,
        endpoint.version,
        endpoint.layer_start,
        endpoint.layer_end,
    )
    return placement.Engine(
        peer.name, holding, work, endpoint.max_layers, doubted
    )


class Sightings:
    """Engines by the membership, corrected by the links of this entry."""

    def __init__(
        self, name: str, failure_domain: str, fleet_view: fleet.Fleet
    ) -> None:
        """Begin with nobody.

        :param name: of this entry
        """
        self._name = name
        self._domain = failure_domain
        self._fleet = fleet_view
        self._agents: dict[str, Host] = {}
        self._domains: dict[str, str] = {}
        self._needed = 1
        # By the membership alone, which is looked at much more often
        # than it changes.
        self._engines: dict[str, placement.Engine] = {}
        self._present: frozenset[str] = frozenset()

    def note_hosts(self, hosts: Iterable[Host]) -> None:
        """Take in the fleet as it is known now."""
        hosts = list(hosts)
        self._domains = {host.name: host.failure_domain for host in hosts}
        self._needed = reachability.count_needed_domains(
            set(self._domains.values())
        )
        self._agents = {
            host.name: host
            for host in hosts
            if host.role == core_fleet.Role.AGENT and not host.is_leaving
        }
        judged = {
            name: self._judge(host, host.witnesses)
            for name, host in self._agents.items()
        }
        self._present = frozenset(
            name
            for name, held in judged.items()
            if held is reachability.Reachability.PRESENT
        )
        self._engines = {}
        for name, held in judged.items():
            self._set(self._engines, name, held)

    def _judge(
        self, host: Host, witnesses: Iterable[str]
    ) -> reachability.Reachability:
        if host.peer is None:
            # The host list says nothing of who reaches it.
            return reachability.Reachability.GONE
        missed = {
            # Others than processes witness too.
            witness: self._domains.get(witness, witness)
            for witness in witnesses
        }
        return reachability.assess(host.state, missed, self._needed)

    def _set(
        self,
        engines: dict[str, placement.Engine],
        name: str,
        held: reachability.Reachability,
    ) -> None:
        """Put in or take out an engine that is known by the membership."""
        engines.pop(name, None)
        peer = self._agents[name].peer
        if held is reachability.Reachability.GONE or not _is_engine(peer):
            return
        if not peer.endpoint.away:
            doubted = held is reachability.Reachability.SUSPECT
            engines[name] = _build_engine(peer, doubted=doubted)

    def look(self) -> Sight:
        """Return the engines as they are now."""
        engines, present = dict(self._engines), set(self._present)
        for name in self._fleet.list_unreached() & self._agents.keys():
            host = self._agents[name]
            held = self._judge(host, (*host.witnesses, self._name))
            self._set(engines, name, held)
            present.discard(name)
        for agent in self._fleet.list_agents():
            engines.pop(agent.peer.name, None)
            present.add(agent.peer.name)
        for agent in self._fleet.list_usable():
            if _is_engine(agent.peer):
                work = agent.load.running + agent.load.queued
                engines[agent.peer.name] = _build_engine(agent.peer, work)
        enough = placement.has_sufficient_view(
            len(present & self._agents.keys()), len(self._agents)
        )
        return Sight(tuple(engines.values()), enough)
