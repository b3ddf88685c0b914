"""Steps for the example deployments and the choice of test ports."""

import contextlib
import itertools
import subprocess
import sys

import behave

from dunlintide_core import checker
from dunlintide_core import documents
from dunlintide_core import fleet
from dunlintide_trials import blueprints
from dunlintide_trials import layout
from dunlintide_trials import ports


def _plan(context, blueprint):
    reserved = context.stack.enter_context(
        contextlib.closing(ports.Reservations())
    )
    return layout.make_plan(blueprint, context.make_folder(), reserved)


@behave.when('the example "{name}" is checked with all its endpoints')
def check_example(context, name):
    folder = context.root / 'examples'
    blueprint = blueprints.load_blueprint(folder / f'{name}.jsonc')
    context.plan = _plan(context, blueprint)
    endpoints = [
        fleet.Endpoint(
            **agent.endpoint.settings
            | {'kind': fleet.EndpointKind(agent.endpoint.kind)}
        )
        for agent in context.plan.agents
    ]
    path = folder / blueprint.rules
    loaded = documents.load_configuration(path.read_text(), str(path))
    assert loaded.is_ok(), list(map(str, loaded.unwrap_err()))
    context.problems = checker.check(loaded.unwrap(), endpoints)


@behave.then('the checker finds nothing to say')
def check_problems(context):
    assert not context.problems, list(map(str, context.problems))


@behave.then(
    'it has {engines:d} engines and {services:d} plain services'
    ' in {domains:d} failure domains'
)
def check_counts(context, engines, services, domains):
    kinds = [agent.endpoint.kind for agent in context.plan.agents]
    found = (kinds.count('engine'), kinds.count('service'))
    assert found == (engines, services), found
    names = {agent.failure_domain for agent in context.plan.agents}
    assert len(names) == domains, names


@behave.then(
    'neighbouring stages of a replica stand in different failure domains'
)
def check_domains(context):
    chains = {}
    for agent in context.plan.agents:
        settings = agent.endpoint.settings
        if agent.endpoint.kind == 'engine':
            replica = agent.name.rpartition('-')[2]
            chain = chains.setdefault((settings['model'], replica), [])
            chain.append((settings['layer_start'], agent.failure_domain))
    for chain in chains.values():
        for one, other in itertools.pairwise(sorted(chain)):
            assert one[1] != other[1], chain


@behave.given('the example "{name}" with "{word}" misspelt in line {line:d}')
def misspell(context, name, word, line):
    source = context.root / 'examples' / f'{name}.jsonc'
    lines = source.read_text().splitlines()
    assert word in lines[line - 1], lines[line - 1]
    lines[line - 1] = lines[line - 1].replace(word, 'replicsa')
    context.file = context.make_folder() / 'broken.jsonc'
    context.file.write_text('\n'.join(lines))


@behave.when('that deployment file is read')
def read_broken(context):
    context.error = ''
    try:
        blueprints.load_blueprint(context.file)
    except blueprints.BlueprintError as error:
        context.error = str(error)


@behave.then('the error names line {line:d} and the field "{field}"')
def check_error(context, line, field):
    assert f':{line}:' in context.error, context.error
    assert f'"{field}"' in context.error, context.error


# Picks ports, prints them and runs until its standard input closes.
_PICK = """
import sys
from dunlintide_trials import ports
print(*ports.pick_ports({count}), flush=True)
sys.stdin.read()
"""


@behave.when(
    '{processes:d} processes pick {count:d} ports each and hold none of them'
)
def pick_side_by_side(context, processes, count):
    command = [sys.executable, '-c', _PICK.format(count=count)]
    context.picked = []
    for _ in range(processes):
        picker = subprocess.Popen(
            command,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        context.stack.callback(picker.communicate)
        context.picked += picker.stdout.readline().split()


@behave.then('no port was picked twice')
def check_picked(context):
    assert context.picked
    assert len(set(context.picked)) == len(context.picked)
