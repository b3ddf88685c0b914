"""Demand and its limits in the state dump of an entry."""

from typing import Any, Iterable, Mapping

import attrs

from dunlintide_core.pipeline import demandreport
from dunlintide_core.pipeline import demandrows
from dunlintide_daemon.gateway import reservations
from dunlintide_daemon.gateway import state as state_module

__all__ = ['describe', 'make_lines']


def _find_name(names: Mapping[int, str], digest: int) -> str:
    """Return the name behind a digest, or the digest itself if unknown."""
    return names.get(digest, f'{digest:08x}')


def _index_by_digest(names: Iterable[str]) -> Mapping[int, str]:
    return {demandrows.digest(name): name for name in names}


def make_lines(
    totals: Iterable[demandrows.Total],
    services: Iterable[str],
    teams: Iterable[str],
    now: float,
) -> list[demandreport.Line]:
    """Build the lines of a table, with names instead of digests.

    :param totals: demand as the table has it
    :param services: known names of services
    :param teams: known names of teams
    :param now: monotonic time in seconds
    """
    service_names = _index_by_digest(services)
    team_names = _index_by_digest(('', *teams))
    lines = []
    for total in totals:
        since = total.waiting_since
        kind = total.kind
        lines.append(
            demandreport.Line(
                (
                    kind.service
                    if kind
                    else _find_name(service_names, total.service)
                ),
                total.priority,
                kind.team if kind else _find_name(team_names, total.team),
                total.weight,
                total.waiting,
                round(total.told_waiting, 2),
                round(total.load, 2),
                round(total.told_load, 2),
                total.started,
                round(total.told_started, 2),
                0.0 if since is None else round(now - since, 3),
            )
        )
    return lines


def _list_names(state: state_module.State) -> tuple[list[str], list[str]]:
    """Return the configured names of services and of teams."""
    deployment = state.deployment
    if deployment is None:
        return [], []
    teams = [each.name for each in deployment.source.teams]
    return list(deployment.services), teams


def describe(state: state_module.State) -> dict[str, Any]:
    """Return who waits and who holds capacity, and what limits them."""
    now = state.now
    services, teams = _list_names(state)
    lines = make_lines(state.demand.list_totals(now), services, teams, now)
    reserved = [
        attrs.evolve(
            line,
            reserved=round(
                reservations.get_fraction(state, line.service, line.priority),
                3,
            ),
        )
        for line in lines
    ]
    return {
        'services': {
            name: _describe_service(state, name) for name in services
        },
        'rows': [attrs.asdict(line) for line in reserved],
    }


def _describe_service(
    state: state_module.State, service: str
) -> dict[str, Any]:
    queue = state.queues.get(service)
    return {
        'shared': state.is_shared(service),
        'waiting': len(state.backlogs.get(service, ())),
        'capacity': round(reservations.estimate_capacity(state, service), 1),
        'yields': dict(queue.yielding.outcomes) if queue else {},
    }
