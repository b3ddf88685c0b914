"""Steps of commands.feature."""

import contextlib
import io
import pathlib
import tempfile
import threading

import behave
import prometheus_client
import urllib3

from dunlintide_adapters import admin
from dunlintide_cli import main
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


@behave.given('the store of the command line is down')
def stop_store(context):
    url = f'{context.store_url}/control'
    answer = urllib3.request('POST', url, json={'down': True})
    assert answer.status == 200, answer.data


def _start_daemon(context, revisions):
    context.drained = threading.Event()
    daemon = admin.AdminServer.from_config(
        '127.0.0.1:0',
        lambda: {'name': 'entry-1', 'configuration': next(revisions)},
        lambda: admin.Readiness(('still starting',)),
        context.drained.set,
        prometheus_client.CollectorRegistry(),
    )
    daemon.start()
    context.add_cleanup(daemon.stop)
    context.daemon_url = f'http://127.0.0.1:{daemon.port}'


@behave.given('a daemon at revision {revision:d} for the command line')
def start_daemon(context, revision):
    # It holds the next revision when it is asked for the third time.
    def follow():
        yield from [{'revision': revision}] * 2
        while True:
            yield {'revision': revision + 1}

    _start_daemon(context, follow())


@behave.given('a daemon stuck at revision {revision:d} for the command line')
def start_stuck_daemon(context, revision):
    def stay():
        while True:
            yield {'revision': revision}

    _start_daemon(context, stay())


def _run(context, *arguments):
    text = io.StringIO()
    with contextlib.redirect_stdout(text), contextlib.redirect_stderr(text):
        context.exit_code = main.main(arguments)
    context.printed = text.getvalue()


def _apply(context, names, *more):
    rules = _TEXT % names.replace(', ', _NEXT)
    context.rules_file.write_text(rules)
    file = str(context.rules_file)
    store = '--store', context.store_url
    _run(context, 'rules', 'apply', file, *store, '--author', 'ann', *more)


@behave.when('the operator applies rules "{names}"')
def apply_rules(context, names):
    _apply(context, names)


@behave.when(
    'the operator applies rules "{names}" made from revision {base:d}'
)
def apply_over_base(context, names, base):
    _apply(context, names, '--base', str(base))


@behave.when('the operator applies rules "{names}" and waits {time} seconds')
def apply_and_wait(context, names, time):
    _apply(context, names, '--wait', time, '--admin', context.daemon_url)


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
