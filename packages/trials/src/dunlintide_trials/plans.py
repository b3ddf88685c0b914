"""Plan of a deployment's processes: names, ports, settings, commands."""

import enum
import sys
from typing import Any, Mapping

import attrs

from dunlintide_trials import authority
from dunlintide_trials import blueprints
from dunlintide_trials import ports

__all__ = [
    'DAEMON_MODULE',
    'AgentPlan',
    'EndpointPlan',
    'EntryPlan',
    'Hop',
    'Plan',
    'StandinPlan',
    'make_address',
]

DAEMON_MODULE = 'dunlintide_daemon.main'
_STANDINS = 'dunlintide_standins'


class Hop(enum.StrEnum):
    """Connections between two roles at which a relay can be placed."""

    CALLER_ENTRY = 'caller-entry'
    ENTRY_AGENT = 'entry-agent'
    AGENT_AGENT = 'agent-agent'
    AGENT_ENGINE = 'agent-engine'
    AGENT_SERVICE = 'agent-service'
    ENTRY_STORE = 'entry-store'


def make_address(port: int) -> str:
    """Format the loopback address of a port."""
    return f'{ports.HOST}:{port}'


def _make_url(port: int) -> str:
    return f'http://{make_address(port)}'


@attrs.frozen
class StandinPlan:
    """A stand-in to be started.

    :ivar module: name of its module in the package of stand-ins
    :ivar flags: command line flags other than the address
    """

    name: str
    module: str
    port: int
    flags: tuple[str, ...] = ()

    @property
    def url(self) -> str:
        """Base URL."""
        return _make_url(self.port)

    @property
    def command(self) -> tuple[str, ...]:
        """Program and arguments."""
        listen = f'--listen={make_address(self.port)}'
        module = f'{_STANDINS}.{self.module}'
        return (sys.executable, '-m', module, listen, *self.flags)


@attrs.frozen
class EndpointPlan:
    """An endpoint and its description in the agent's settings.

    :ivar settings: the ``endpoint`` part of the agent's settings
    """

    standin: StandinPlan
    failure_domain: str
    settings: dict[str, Any]

    @property
    def kind(self) -> str:
        """``engine`` or ``service``."""
        return self.settings['kind']

    @property
    def hop(self) -> Hop:
        """Hop from the agent to the endpoint."""
        engine = self.kind == 'engine'
        return Hop.AGENT_ENGINE if engine else Hop.AGENT_SERVICE


@attrs.frozen
class DaemonPlan:
    """Common base of the plans of agents and entries."""

    name: str
    failure_domain: str
    admin_port: int
    link_port: int

    @property
    def admin_url(self) -> str:
        """Base URL of the administration interface."""
        return _make_url(self.admin_port)

    @property
    def address(self) -> str:
        """Address that peers connect to."""
        return make_address(self.link_port)

    @property
    def ports(self) -> tuple[int, ...]:
        """Ports that it binds."""
        return (self.admin_port, self.link_port)

    def _build_settings(self, plan: 'Plan', role: str) -> dict[str, Any]:
        advertised = plan.find_port(Hop.AGENT_AGENT, self.name, self.link_port)
        return {
            'role': role,
            'name': self.name,
            'failure_domain': self.failure_domain,
            'region': plan.blueprint.region,
            'admin_listen': make_address(self.admin_port),
            'link_listen': self.address,
            'advertise': make_address(advertised),
            'store_url': plan.store.url,
            'host_list_url': f'{plan.host_list.url}/hosts',
            'timing': plan.timing,
            **plan.extras.get(role, {}),
        }


@attrs.frozen
class AgentPlan(DaemonPlan):
    """An agent and its endpoint."""

    endpoint: EndpointPlan

    def build_settings(self, plan: 'Plan') -> dict[str, Any]:
        """Build the settings of the daemon."""
        settings = self._build_settings(plan, 'agent')
        endpoint = self.endpoint
        port = endpoint.standin.port
        url = {'url': _make_url(plan.find_port(endpoint.hop, self.name, port))}
        return settings | {'endpoint': self.endpoint.settings | url}


@attrs.frozen
class EntryPlan(DaemonPlan):
    """An entry."""

    port: int

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return _make_url(self.port)

    @property
    def ports(self) -> tuple[int, ...]:
        """Ports that it binds."""
        return (self.port, self.admin_port, self.link_port)

    def build_settings(self, plan: 'Plan') -> dict[str, Any]:
        """Build the settings of the daemon."""
        settings = self._build_settings(plan, 'entry')
        store = plan.find_port(Hop.ENTRY_STORE, self.name, plan.store.port)
        settings |= {
            'listen': make_address(self.port),
            'store_url': _make_url(store),
            'placement': attrs.asdict(plan.blueprint.placement),
        }
        number = plan.entries.index(self)
        if number < len(plan.routings):
            settings['routing'] = plan.routings[number]
        return settings


@attrs.frozen
class Plan:
    """All processes of a deployment, with their ports.

    :ivar relayed: port of the relay at a hop, by hop and daemon
    :ivar timing: the ``timing`` part of every daemon's settings
    :ivar routings: the ``routing`` setting of each entry, by number
    :ivar extras: additional settings of the daemons, by role
    :ivar issuer: issues the daemons' certificates; None for no TLS
    """

    blueprint: blueprints.Blueprint
    store: StandinPlan
    host_list: StandinPlan
    weight_store: StandinPlan
    agents: tuple[AgentPlan, ...]
    entries: tuple[EntryPlan, ...]
    relayed: dict[tuple[Hop, str], int] = attrs.field(factory=dict)
    timing: dict[str, float] = attrs.field(factory=dict)
    routings: tuple[str, ...] = ()
    extras: Mapping[str, Mapping[str, Any]] = attrs.field(factory=dict)
    issuer: authority.Authority | None = None

    def find_port(self, hop: Hop, daemon: str, port: int) -> int:
        """Return the port of the relay at a hop.

        :param port: result when the hop has no relay
        """
        return self.relayed.get((hop, daemon), port)

    def find_url(self, entry: EntryPlan) -> str:
        """Return the URL at which callers reach an entry."""
        port = self.find_port(Hop.CALLER_ENTRY, entry.name, entry.port)
        return _make_url(port)

    @property
    def daemons(self) -> tuple[AgentPlan | EntryPlan, ...]:
        """Agents, then entries."""
        return (*self.agents, *self.entries)
