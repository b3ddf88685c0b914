"""Steps of demandcommand.feature."""

import asyncio
import contextlib
import io
import json
import types

import attrs
import behave
import prometheus_client

from dunlintide_adapters import admin
from dunlintide_cli import main
from dunlintide_core import configuration
from dunlintide_core.pipeline import demandrows
from dunlintide_core.pipeline import demandtable
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import endpoints
from dunlintide_core.pipeline import precedence
from dunlintide_core.pipeline import profiles
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import admin as edge_admin
from dunlintide_daemon.gateway import demanddump
from dunlintide_daemon.gateway import reservations
import edge_settings

SERVICE = 'llm'
TEAMS = ('batch', 'big', 'small', 'ops')
NOW = 10.0


def _get_table(context, entry):
    if not hasattr(context, 'tables'):
        context.tables, context.without_demand, context.unshared = {}, set(), 0
    return context.tables.setdefault(entry, demandtable.DemandTable())


@behave.given(
    'entry {entry}, where {waiting:d} requests of {team} wait at priority'
    ' {priority:d} and {running:d} run'
)
def record_demand(context, entry, waiting, team, priority, running):
    table = _get_table(context, entry)
    kind = demandrows.Kind(SERVICE, priority, team)
    for _ in range(running):
        table.record_start(kind, 1.0, NOW - 0.5, waited=False)
    for _ in range(waiting):
        # The least urgent have waited longest.
        table.record_arrival(kind, 1.0, 3.0 - priority)


@behave.given(
    'entry {entry}, where {waiting:d} requests of {team} wait at priority'
    ' {priority:d}'
)
def record_waiting(context, entry, waiting, team, priority):
    record_demand(context, entry, waiting, team, priority, 0)


@behave.given(
    'entry {entry}, where 1 request of small waits at priority {priority:d}'
)
def record_small(context, entry, priority):
    table = _get_table(context, entry)
    kind = demandrows.Kind(SERVICE, priority, 'small')
    table.record_arrival(kind, 1.0, 3.0)


@behave.given('entry {entry}, whose dump has no demand')
def remove_demand(context, entry):
    _get_table(context, entry)
    context.without_demand.add(entry)


@behave.given(
    'entry {entry}, where {count:d} requests wait for a service that is not'
    ' shared'
)
def make_unshared(context, entry, count):
    _get_table(context, entry)
    context.unshared = count


def _exchange_rows(tables):
    for name, table in tables.items():
        table.set_listed(len(tables) - 1)
        for other, theirs in tables.items():
            if other != name:
                table.receive(other, theirs.list_rows(NOW), NOW)


def _start_daemon(context, name):
    """Serve the dump of an entry, and return its URL."""
    totals = context.tables[name].list_totals(NOW)
    lines = demanddump.make_lines(totals, (SERVICE,), TEAMS, NOW)
    demand = {
        'services': {'web': {'shared': False, 'waiting': context.unshared}},
        'rows': [attrs.asdict(line) for line in lines],
    }
    dump = {'name': name}
    if name not in context.without_demand:
        dump['demand'] = demand
    daemon = admin.AdminServer.from_config(
        '127.0.0.1:0',
        lambda: dump,
        lambda: admin.Readiness(()),
        lambda: None,
        prometheus_client.CollectorRegistry(),
    )
    daemon.start()
    context.stack.callback(daemon.stop)
    return f'http://127.0.0.1:{daemon.port}'


@behave.when('the operator asks entries {names} for the demand')
def ask(context, names):
    _exchange_rows(context.tables)
    arguments = ['demand']
    for name in names.split(' and '):
        arguments += ['--admin', _start_daemon(context, name)]
    text = io.StringIO()
    with contextlib.redirect_stdout(text), contextlib.redirect_stderr(text):
        context.exit_code = main.main(arguments)
    context.printed = text.getvalue()


@behave.then('the command ends with {code:d}')
def check_code(context, code):
    assert context.exit_code == code, context.printed


@behave.then('the demand of {team} is "{expected}"')
def check_row(context, team, expected):
    rows = [
        ' '.join(line.split()[1:])
        for line in context.printed.splitlines()
        if line.split()[2:3] == [team]
    ]
    assert rows == [expected], context.printed


@behave.then('they are listed in the order {teams}')
def check_order(context, teams):
    found = [line.split()[2] for line in context.printed.splitlines()[1:]]
    assert found == teams.split(', '), found


@behave.given(
    'an entry that was told of requests of team {team} and of another'
)
def make_entry(context, team):
    shared = settings.Demand(sharing=settings.Sharing.ON)
    state = context.state = edge_settings.make_state(demand=shared)
    source = configuration.Configuration(teams=(configuration.Team(team),))
    services = {'web': profiles.ServiceProfile('web', '/', 1)}
    state.deployment = deployments.Deployment.from_configuration(
        1, source, services, deployments.CallerLimits()
    )
    state.endpoints['e0'] = endpoints.Endpoint('e0', 'e0:1', 'web', 'a', 10)
    rows = [
        demandrows.Row(
            demandrows.digest('web'), 2, demandrows.digest(name), 3, 0, 0
        )
        for name in (team, 'another')
    ]
    state.demand.receive('two', rows, state.now)


@behave.given('urgent requests that it gets itself')
def record_urgent(context):
    urgent = types.SimpleNamespace(service='web', priority=0)
    least = types.SimpleNamespace(service='web', priority=2)
    for exchange in [urgent] * 100 + [least]:
        reservations.record_arrival(context.state, exchange)


def _ask_entry(context, path):
    """Return the body that the admin port of the entry answers with."""
    bodies = []
    reply = types.SimpleNamespace(
        send=lambda head, body: bodies.append(body.decode())
    )
    request = types.SimpleNamespace(target=path)
    asyncio.run(edge_admin.Admin(context.state).handle(request, reply))
    return bodies[0]


@behave.then('its dump has rows of team {team} and of a digest')
def check_names(context, team):
    context.demand = json.loads(_ask_entry(context, '/debug/state'))['demand']
    digest = f'{demandrows.digest("another"):08x}'
    found = {row['team']: row for row in context.demand['rows']}
    assert found.keys() == {team, digest}, found
    assert all(row['service'] == 'web' for row in found.values()), found
    assert all(row['told_waiting'] == 3 for row in found.values()), found


@behave.then('both have a reserve of {part:g}')
def check_reserves(context, part):
    found = [row['reserved'] for row in context.demand['rows']]
    assert found == [part, part], found


@behave.then('the service has 1 yield that was not used')
def check_yields(context):
    yielding = context.state.get_queue('web').yielding
    yielding.may_start(True, NOW)
    yielding.may_start(True, NOW + precedence.YIELD_SECONDS)
    demand = json.loads(_ask_entry(context, '/debug/state'))['demand']
    found = demand['services']['web']
    assert found['shared'] and found['capacity'] == 10, found
    assert found['yields'] == {'unused': 1}, found


@behave.then('its metrics have "{line}"')
def check_metrics(context, line):
    lines = _ask_entry(context, '/metrics').splitlines()
    assert line in lines, lines
