"""Names, addresses and settings of the processes of a deployment."""

import collections
import enum
import json
import pathlib
import secrets
import sys
from typing import Any, Mapping

import attrs

from dunlintide_trials import authority
from dunlintide_trials import blueprints
from dunlintide_trials import ports

__all__ = [
    'AgentPlan',
    'EndpointPlan',
    'EntryPlan',
    'Hop',
    'Plan',
    'StandinPlan',
    'make_keys',
    'list_hops',
    'make_plan',
    'write_files',
]

DAEMON_MODULE = 'dunlintide_daemon.main'
_STANDINS = 'dunlintide_standins'


class Hop(enum.StrEnum):
    """Who connects to whom, where a relay can be put between them."""

    CALLER_ENTRY = 'caller-entry'
    ENTRY_AGENT = 'entry-agent'
    AGENT_AGENT = 'agent-agent'
    AGENT_ENGINE = 'agent-engine'
    AGENT_SERVICE = 'agent-service'
    ENTRY_STORE = 'entry-store'


def _make_address(port: int) -> str:
    return f'{ports.HOST}:{port}'


def _make_url(port: int) -> str:
    return f'http://{_make_address(port)}'


@attrs.frozen
class StandinPlan:
    """A stand-in to be started.

    :ivar module: module that runs it
    :ivar flags: its flags besides the address
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
        listen = f'--listen={_make_address(self.port)}'
        module = f'{_STANDINS}.{self.module}'
        return (sys.executable, '-m', module, listen, *self.flags)


@attrs.frozen
class EndpointPlan:
    """An endpoint and what its agent is told of it.

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
        """The hop between it and its agent."""
        engine = self.kind == 'engine'
        return Hop.AGENT_ENGINE if engine else Hop.AGENT_SERVICE


@attrs.frozen
class DaemonPlan:
    """What agents and entries have in common."""

    name: str
    failure_domain: str
    admin_port: int
    link_port: int

    @property
    def admin_url(self) -> str:
        """Base URL for operators."""
        return _make_url(self.admin_port)

    @property
    def address(self) -> str:
        """Where peers connect."""
        return _make_address(self.link_port)

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
            'admin_listen': _make_address(self.admin_port),
            'link_listen': self.address,
            'advertise': _make_address(advertised),
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
            'listen': _make_address(self.port),
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

    :ivar relayed: port of the relay on a hop, by hop and daemon
    :ivar timing: the ``timing`` part of every daemon's settings
    :ivar routings: the ``routing`` of entries, by their numbers
    :ivar extras: further settings of daemons, by role
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
        """Give the port of the relay on a hop, or the given one."""
        return self.relayed.get((hop, daemon), port)

    def find_url(self, entry: EntryPlan) -> str:
        """Give the URL at which callers reach an entry."""
        port = self.find_port(Hop.CALLER_ENTRY, entry.name, entry.port)
        return _make_url(port)

    @property
    def daemons(self) -> tuple[AgentPlan | EntryPlan, ...]:
        """Agents, then entries."""
        return (*self.agents, *self.entries)


def _plan_engine(
    pipeline: blueprints.Pipeline,
    stage: blueprints.Stage,
    name: str,
    failure_domain: str,
    port: int,
    weights_url: str,
) -> EndpointPlan:
    flags = (
        f'--weights_url={weights_url}',
        f'--model={pipeline.model}',
        f'--version={pipeline.version}',
        f'--layer_start={stage.layer_start}',
        f'--layer_end={stage.layer_end}',
        f'--base_seconds={stage.step_seconds}',
        f'--seconds_per_token={stage.token_seconds}',
        f'--max_batch_tokens={stage.step_tokens}',
        f'--kv_tokens={stage.kv_tokens}',
        f'--preempts={str(stage.preempts).lower()}',
        f'--checks_fence={str(stage.checks_fence).lower()}',
        f'--crash_marker={blueprints.CRASH_MARKER}',
        f'--crash_word={blueprints.make_crash_word(stage.layer_start)}',
    )
    settings = {
        'kind': 'engine',
        'model': pipeline.model,
        'version': pipeline.version,
        'layer_start': stage.layer_start,
        'layer_end': stage.layer_end,
        'layer_count': pipeline.layers,
        'accelerator': stage.accelerator,
        'tokens_per_second': stage.tokens_per_second,
        'checks_fence': stage.checks_fence,
        'max_in_flight': stage.max_in_flight,
    }
    standin = StandinPlan(name, 'engine', port, flags)
    return EndpointPlan(standin, failure_domain, settings)


def _plan_engines(
    blueprint: blueprints.Blueprint,
    reserved: ports.Reservations,
    weights_url: str,
) -> list[EndpointPlan]:
    domains = blueprint.failure_domains
    planned = []
    for pipeline in blueprint.pipelines:
        # Stages of several accelerators may hold the same layers.
        counts: collections.Counter[int] = collections.Counter()
        starts = sorted({stage.layer_start for stage in pipeline.stages})
        for stage in pipeline.stages:
            for _ in range(stage.replicas):
                number = starts.index(stage.layer_start)
                replica = counts[stage.layer_start]
                counts[stage.layer_start] += 1
                planned.append(
                    _plan_engine(
                        pipeline,
                        stage,
                        f'{pipeline.model}-{stage.layer_start}-{replica}',
                        # Neighbouring stages of one replica stand apart,
                        # so that a chain crosses failure domains.
                        domains[(number + replica) % len(domains)],
                        reserved.reserve(),
                        weights_url,
                    )
                )
    return planned


def _plan_spares(
    blueprint: blueprints.Blueprint,
    reserved: ports.Reservations,
    weights_url: str,
) -> list[EndpointPlan]:
    domains = blueprint.failure_domains
    flags = (
        '--model=',
        '--version=',
        '--layer_start=0',
        '--layer_end=0',
        f'--weights_url={weights_url}',
    )
    return [
        EndpointPlan(
            StandinPlan(
                f'{pipeline.model}-spare-{number}',
                'engine',
                reserved.reserve(),
                flags,
            ),
            domains[number % len(domains)],
            {'kind': 'engine'},
        )
        for pipeline in blueprint.pipelines
        for number in range(pipeline.spares)
    ]


def _plan_services(
    blueprint: blueprints.Blueprint, reserved: ports.Reservations
) -> list[EndpointPlan]:
    domains = blueprint.failure_domains
    return [
        EndpointPlan(
            StandinPlan(
                f'{service.name}-{replica}', 'service', reserved.reserve()
            ),
            domains[(number + replica) % len(domains)],
            {'kind': 'service', 'service': service.name},
        )
        for number, service in enumerate(blueprint.services)
        for replica in range(service.replicas)
    ]


def make_plan(
    blueprint: blueprints.Blueprint,
    folder: pathlib.Path,
    reserved: ports.Reservations,
) -> Plan:
    """Give every process a name, a failure domain and free ports.

    :param folder: work folder, for the file of hosts
    """
    reserve = reserved.reserve
    weight_store = StandinPlan('weight-store', 'weights', reserve())
    endpoints = _plan_engines(blueprint, reserved, weight_store.url)
    endpoints += _plan_spares(blueprint, reserved, weight_store.url)
    endpoints += _plan_services(blueprint, reserved)
    agents = tuple(
        AgentPlan(
            f'agent-{endpoint.standin.name}',
            endpoint.failure_domain,
            reserve(),
            reserve(),
            endpoint,
        )
        for endpoint in endpoints
    )
    domains = blueprint.failure_domains
    entries = tuple(
        EntryPlan(
            f'entry-{number}',
            domains[number % len(domains)],
            reserve(),
            reserve(),
            reserve(),
        )
        for number in range(blueprint.entries)
    )
    hosts = f'--hosts={folder / "hosts.json"}'
    return Plan(
        blueprint,
        StandinPlan('store', 'store', reserve()),
        StandinPlan('host-list', 'hosts', reserve(), (hosts,)),
        weight_store,
        agents,
        entries,
    )


def list_hops(plan: Plan, hop: Hop) -> list[tuple[str, str]]:
    """List the daemons with such a hop, and where it leads."""
    if hop is Hop.ENTRY_STORE:
        store = _make_address(plan.store.port)
        return [(entry.name, store) for entry in plan.entries]
    if hop is Hop.CALLER_ENTRY:
        return [(one.name, _make_address(one.port)) for one in plan.entries]
    if hop in (Hop.ENTRY_AGENT, Hop.AGENT_AGENT):
        return [(one.name, one.address) for one in plan.agents]
    return [
        (one.name, _make_address(one.endpoint.standin.port))
        for one in plan.agents
        if one.endpoint.hop is hop
    ]


def make_keys(teams: list[str]) -> dict[str, str]:
    """Make a new bearer key for each team."""
    return {name: secrets.token_urlsafe(16) for name in teams}


def _list_hosts(plan: Plan) -> list[dict[str, str]]:
    return [
        {
            'name': daemon.name,
            'role': daemon.build_settings(plan)['role'],
            'address': _make_address(
                plan.find_port(Hop.ENTRY_AGENT, daemon.name, daemon.link_port)
            ),
            'failure_domain': daemon.failure_domain,
            'region': plan.blueprint.region,
        }
        for daemon in plan.daemons
    ]


def write_files(plan: Plan, folder: pathlib.Path) -> None:
    """Write the list of hosts and the settings of each daemon."""
    hosts = {'hosts': _list_hosts(plan)}
    (folder / 'hosts.json').write_text(json.dumps(hosts))
    for daemon in plan.daemons:
        settings = daemon.build_settings(plan)
        if plan.issuer is not None:
            role = settings['role']
            settings['tls'] = plan.issuer.write(folder, role, daemon.name)
        text = json.dumps(settings, indent=2)
        (folder / f'{daemon.name}.jsonc').write_text(text)
