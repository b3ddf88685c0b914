"""Steps of demandsettings.feature."""

import gc
import json
import re
import time

import behave

from dunlintide_adapters import callermessages
from dunlintide_core import configuration
from dunlintide_core.pipeline import callerrequests
from dunlintide_core.pipeline import deployments
from dunlintide_core.pipeline import settings
from dunlintide_daemon.gateway import requesthandler
import edge_settings

_RULES = {
    'priority 1 each': [('x', 1, 1), ('x', 1, 1), ('y', 1, 1)],
    'priorities 0 and 2 at x, 1 at y': [('x', 0, 1), ('x', 2, 1), ('y', 1, 1)],
    'weights 1 and 3 at y, priority 1 each': [
        ('x', 1, 1),
        ('y', 1, 1),
        ('y', 1, 3),
    ],
}
_EXPECTED = {'neither': [], 'x': ['x'], 'y': ['y'], 'both': ['x', 'y']}


def _load(demand):
    document = {**edge_settings.NEEDED, **demand}
    return settings.load_settings(json.dumps(document), 'entry.jsonc')


@behave.when('the demand settings are left out')
def leave_out(context):
    context.demand = _load({}).unwrap().demand


@behave.then(
    'sharing is auto with a minimum share of 0.25, a reserve and stops by'
    ' length'
)
def check_defaults(context):
    assert context.demand == settings.Demand(
        settings.Sharing.AUTO, 0.25, True, False, True
    ), context.demand


@behave.when('the demand settings are {text}')
def load(context, text):
    context.problems = _load({'demand': json.loads(text)}).unwrap_err()


@behave.then('they are refused with {message}')
def check_problem(context, message):
    lines = list(map(str, context.problems))
    assert any(message in line for line in lines), lines


def _make_teams(terms):
    if 'team' not in terms:
        return ()
    words = terms.rpartition('team')[2]
    return tuple(
        configuration.Team(f'team-{number}', priority=int(number))
        for number in re.findall('-?[0-9]+', words)
    )


@behave.given('rules for the services x and y with {terms}')
def build(context, terms):
    context.teams = _make_teams(terms)
    rows = _RULES[terms.partition(' and a team')[0].partition(' and team')[0]]
    context.rules = tuple(
        configuration.Rule(
            f'r{number}',
            configuration.When(),
            configuration.Then(
                services=(configuration.Share(service),),
                priority=priority,
                weight=weight,
            ),
        )
        for number, (service, priority, weight) in enumerate(rows)
    )
    source = configuration.Configuration(
        teams=context.teams, rules=context.rules
    )
    context.deployment = deployments.Deployment.from_configuration(
        1, source, {}, deployments.CallerLimits()
    )


@behave.then('requests for x have the priorities {priorities}')
def check_priorities(context, priorities):
    found = [
        context.deployment.get_priority('x', rule, team)
        for team in context.teams or (None,)
        for rule in context.rules
        if rule.then.services[0].service == 'x'
    ]
    assert found == list(map(int, priorities.split())), found


@behave.then('{contended} is contended')
def check_contended(context, contended):
    found = [name for name in 'xy' if context.deployment.is_contended(name)]
    assert found == _EXPECTED[contended], found


@behave.when('sharing is {sharing}')
def set_sharing(context, sharing):
    demand = settings.Demand(sharing=settings.Sharing(sharing))
    state = edge_settings.make_state(edge_settings.SilentLog(), demand=demand)
    state.deployment = context.deployment
    context.state = state


@behave.then('requests for x are admitted with the priorities {priorities}')
def check_admitted(context, priorities):
    request = callermessages.Request('POST', '/', [], b'', context.state.now)
    caller_request = callerrequests.CallerRequest('r', 'h', '/', 'POST')
    handler = requesthandler.RequestHandler(context.state)
    found = [
        handler._build(
            context.deployment, request, None, caller_request, rule, team
        ).priority
        for team in context.teams or (None,)
        for rule in context.rules
        if rule.then.services[0].service == 'x'
    ]
    assert found == list(map(int, priorities.split())), found


@behave.given(
    'a configuration of {rules:d} rules and {teams:d} teams of {count:d}'
    ' priorities'
)
def make_large(context, rules, teams, count):
    context.teams = tuple(
        configuration.Team(f'team-{number}', priority=number % count)
        for number in range(teams)
    )
    context.rules = tuple(
        configuration.Rule(
            f'r{number}',
            configuration.When(),
            configuration.Then(
                services=(configuration.Share(f's{number % 40}'),),
                priority=number % 4,
                weight=1.0 + number,
            ),
        )
        for number in range(rules)
    )


@behave.then('its rules are compared in steps of at most {seconds:g} s')
def check_steps(context, seconds):
    steps = deployments._Contention.find(context.rules, context.teams)
    taken = []
    is_done = False
    # A collection takes as long as the heap of the test process is large.
    gc.disable()
    while not is_done:
        began = time.process_time()
        is_done = next(steps, 'done') == 'done'
        taken.append(time.process_time() - began)
    gc.enable()
    assert len(taken) > 3 and max(taken) <= seconds, taken
