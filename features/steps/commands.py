"""Steps for the operators' command line."""

import contextlib
import io
import itertools
import json
import pathlib
import tempfile
import threading

import attrs
import behave
import prometheus_client
import urllib3

from dunlintide_adapters import admin
from dunlintide_cli import main
from dunlintide_core import fleet
from dunlintide_standins.store import server

_TEXT = '''{"members": [{"name": "diner"}],
"models": [{"name": "copy-7b", "layers": 24}], "rules": [{"name": "%s",
"when": {}, "then": {}}]}'''
_NEXT = '",\n"when": {"member": "diner"}, "then": {}}, {"name": "'


@behave.given('a store for the command line')
def start_store(context):
    standin = server.Store.from_config(server.Config())
    standin.start()
    context.add_cleanup(standin.stop)
    context.store_url = f'http://127.0.0.1:{standin.port}'
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    context.rules_file = pathlib.Path(directory.name, 'rules.jsonc')
    context.copy = pathlib.Path(directory.name, 'copy.jsonc')


@behave.given('the store of the command line is down')
def stop_store(context):
    url = f'{context.store_url}/control'
    answer = urllib3.request('POST', url, json={'down': True})
    assert answer.status == 200, answer.data


def _start_daemon(context, revisions, agents=(), **more):
    context.drained = threading.Event()

    def dump():
        configuration = next(revisions)
        known = {'agents': agents}
        return {'configuration': configuration, 'fleet': known} | more

    daemon = admin.AdminServer.from_config(
        '127.0.0.1:0',
        dump,
        lambda: admin.Readiness(('still starting',)),
        context.drained.set,
        prometheus_client.CollectorRegistry(),
    )
    daemon.start()
    context.add_cleanup(daemon.stop)
    context.daemon_url = f'http://127.0.0.1:{daemon.port}'


@behave.given('a daemon at revision {revision:d} for the command line')
def start_daemon(context, revision):
    # Reports the next revision from the third request on.
    first = itertools.repeat({'revision': revision}, 2)
    later = itertools.repeat({'revision': revision + 1})
    _start_daemon(context, itertools.chain(first, later))


@behave.given('a daemon stuck at revision {revision:d} for the command line')
def start_stuck_daemon(context, revision):
    _start_daemon(context, itertools.repeat({'revision': revision}))


@behave.given("an agent's daemon that {tells} for the command line")
def start_agent_daemon(context, tells):
    state = {} if tells == 'tells no revision' else {'revision': 1}
    _start_daemon(context, itertools.repeat(None), state=state)


@behave.given('a daemon that knows one range of layers, for the command line')
def start_daemon_with_agents(context):
    kind = fleet.EndpointKind.ENGINE
    endpoint = fleet.Endpoint(kind, 'copy-7b', '1', 0, 8, 24)
    agents = [{'name': 'agent-1', 'endpoint': attrs.asdict(endpoint)}]
    _start_daemon(context, itertools.repeat({'revision': 1}), agents)


def _run(context, *arguments):
    text = io.StringIO()
    with contextlib.redirect_stdout(text), contextlib.redirect_stderr(text):
        context.exit_code = main.main(arguments)
    context.printed = text.getvalue()


def _write(context, names):
    rules = _TEXT % names.replace(', ', _NEXT)
    context.rules_file.write_text(rules)


def _apply(context, names, *more):
    _write(context, names)
    _apply_file(context, *more)


def _apply_file(context, *more):
    file = str(context.rules_file)
    store = '--store', context.store_url
    _run(context, 'rules', 'apply', file, *store, '--author', 'ann', *more)


@behave.when('the operator applies rules "{names}"')
def apply_rules(context, names):
    _apply(context, names)


@behave.when('the operator puts a rule for team "{name}" before "{names}"')
def apply_after_team(context, names, name):
    _write(context, names)
    document = json.loads(context.rules_file.read_text())
    document['members'].append({'name': name, 'key_hashes': ['0' * 64]})
    document['rules'].insert(
        0, {'name': name, 'when': {'member': name}, 'then': {}}
    )
    context.rules_file.write_text(json.dumps(document))
    _apply_file(context)


@behave.when(
    'the operator applies rules "{names}" made from revision {base:d}'
)
def apply_over_base(context, names, base):
    _apply(context, names, '--base', str(base))


@behave.when('the operator applies rules "{names}" and waits {time} seconds')
def apply_and_wait(context, names, time):
    _apply(context, names, '--wait', time, '--admin', context.daemon_url)


@behave.when('the operator keeps what was printed as a copy')
def keep_copy(context):
    context.copy.write_text(context.printed)


@behave.when('the operator applies the copy with "{old}" changed to "{new}"')
def apply_copy(context, old, new):
    text = context.copy.read_text()
    assert old in text, text
    context.copy.write_text(text.replace(old, new))
    file = str(context.copy)
    _run(context, 'rules', 'apply', file, '--store', context.store_url)


@behave.when('the operator checks rules "{names}" against the daemon')
def check_rules(context, names):
    _write(context, names)
    file = str(context.rules_file)
    _run(context, 'rules', 'check', file, '--admin', context.daemon_url)


@behave.when('the operator runs "{line}"')
def run_line(context, line):
    words = [
        context.daemon_url if word == 'DAEMON' else word
        for word in line.split()
    ]
    if words[0] == 'rules':
        words += ['--store', context.store_url]
    _run(context, *words)


@behave.then('the command ends with {code:d} and prints "{text}"')
def check_command(context, code, text):
    assert context.exit_code == code, (context.exit_code, context.printed)
    assert text in context.printed, context.printed


@behave.then('it prints "{text}"')
def check_printed(context, text):
    assert text in context.printed, context.printed


@behave.then('it does not print "{text}"')
def check_not_printed(context, text):
    assert text not in context.printed, context.printed


@behave.given(
    "an agent's daemon at revision {revision:d} whose fleet has trouble"
)
def start_troubled_daemon(context, revision):
    state = {
        'revision': revision,
        'store_revision': 2,
        'store_behind': True,
        'conflicts': [3],
        'not_alive': [
            {'name': 'entry-7', 'state': 'suspect', 'witnesses': ['a', 'b']},
            {'name': 'entry-8', 'state': 'leaving', 'witnesses': []},
        ],
    }
    _start_daemon(context, itertools.repeat(None), state=state)


@behave.when('the operator asks for the status')
def ask_status(context):
    _run(context, 'status', '--admin', context.daemon_url)


@behave.then('it prints no "{text}"')
def check_unprinted(context, text):
    assert text not in context.printed, context.printed


@behave.then('the first row has revision {revision:d}')
def check_row(context, revision):
    row = context.printed.splitlines()[1].split()
    assert row[2] == str(revision), row
