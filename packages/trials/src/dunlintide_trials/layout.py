"""Plans the processes of a deployment and writes their settings files."""

import collections
import json
import pathlib
import secrets

from dunlintide_trials import blueprints
from dunlintide_trials import plans
from dunlintide_trials import ports

__all__ = [
    'list_hops',
    'make_keys',
    'make_plan',
    'write_files',
]


def _plan_engine(
    pipeline: blueprints.Pipeline,
    stage: blueprints.Stage,
    name: str,
    failure_domain: str,
    port: int,
    weights_url: str,
) -> plans.EndpointPlan:
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
    standin = plans.StandinPlan(name, 'engine', port, flags)
    return plans.EndpointPlan(standin, failure_domain, settings)


def _plan_engines(
    blueprint: blueprints.Blueprint,
    reserved: ports.Reservations,
    weights_url: str,
) -> list[plans.EndpointPlan]:
    domains = blueprint.failure_domains
    planned = []
    for pipeline in blueprint.pipelines:
        # Several stages may hold the same layers on different accelerators.
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
                        # Adjacent stages of a replica are placed in
                        # different failure domains, so that chains cross
                        # them.
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
) -> list[plans.EndpointPlan]:
    domains = blueprint.failure_domains
    flags = (
        '--model=',
        '--version=',
        '--layer_start=0',
        '--layer_end=0',
        f'--weights_url={weights_url}',
    )
    return [
        plans.EndpointPlan(
            plans.StandinPlan(
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
) -> list[plans.EndpointPlan]:
    domains = blueprint.failure_domains
    return [
        plans.EndpointPlan(
            plans.StandinPlan(
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
) -> plans.Plan:
    """Assign a name, a failure domain and free ports to every process.

    :param folder: work folder, which holds the host list
    :param reserved: source of free ports
    """
    reserve = reserved.reserve
    weight_store = plans.StandinPlan('weight-store', 'weights', reserve())
    endpoints = _plan_engines(blueprint, reserved, weight_store.url)
    endpoints += _plan_spares(blueprint, reserved, weight_store.url)
    endpoints += _plan_services(blueprint, reserved)
    agents = tuple(
        plans.AgentPlan(
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
        plans.EntryPlan(
            f'entry-{number}',
            domains[number % len(domains)],
            reserve(),
            reserve(),
            reserve(),
        )
        for number in range(blueprint.entries)
    )
    hosts = f'--hosts={folder / "hosts.json"}'
    return plans.Plan(
        blueprint,
        plans.StandinPlan('store', 'store', reserve()),
        plans.StandinPlan('host-list', 'hosts', reserve(), (hosts,)),
        weight_store,
        agents,
        entries,
    )


def list_hops(plan: plans.Plan, hop: plans.Hop) -> list[tuple[str, str]]:
    """List the daemons at a hop.

    :returns: name of each daemon and address that the hop connects to
    """
    if hop is plans.Hop.ENTRY_STORE:
        store = plans.make_address(plan.store.port)
        return [(entry.name, store) for entry in plan.entries]
    if hop is plans.Hop.CALLER_ENTRY:
        return [
            (one.name, plans.make_address(one.port)) for one in plan.entries
        ]
    if hop in (plans.Hop.ENTRY_AGENT, plans.Hop.AGENT_AGENT):
        return [(one.name, one.address) for one in plan.agents]
    return [
        (one.name, plans.make_address(one.endpoint.standin.port))
        for one in plan.agents
        if one.endpoint.hop is hop
    ]


def make_keys(teams: list[str]) -> dict[str, str]:
    """Make a new bearer key for each team."""
    return {name: secrets.token_urlsafe(16) for name in teams}


def _list_hosts(plan: plans.Plan) -> list[dict[str, str]]:
    return [
        {
            'name': daemon.name,
            'role': daemon.build_settings(plan)['role'],
            'address': plans.make_address(
                plan.find_port(
                    plans.Hop.ENTRY_AGENT, daemon.name, daemon.link_port
                )
            ),
            'failure_domain': daemon.failure_domain,
            'region': plan.blueprint.region,
        }
        for daemon in plan.daemons
    ]


def write_files(plan: plans.Plan, folder: pathlib.Path) -> None:
    """Write the host list and the settings file of each daemon."""
    hosts = {'hosts': _list_hosts(plan)}
    (folder / 'hosts.json').write_text(json.dumps(hosts))
    for daemon in plan.daemons:
        settings = daemon.build_settings(plan)
        if plan.issuer is not None:
            role = settings['role']
            settings['tls'] = plan.issuer.write(folder, role, daemon.name)
        text = json.dumps(settings, indent=2)
        (folder / f'{daemon.name}.jsonc').write_text(text)
