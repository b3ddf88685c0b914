"""Steps for a soak's checks and for the tally of a test run."""

import contextlib
import io
import json
import subprocess
import sys
import threading
from unittest import mock

import behave
import urllib3

from dunlintide_core import outcomes
from dunlintide_standins.engine import server as engine
from dunlintide_trials import client
from dunlintide_trials import faultcontext
from dunlintide_trials import load
from dunlintide_trials import promises
from dunlintide_trials import records
from dunlintide_trials import revisionmonitor

MODEL = 'copy-7b'
LAYERS = 6
TOKENS = 4
WAIT_SECONDS = 10.0
COMPLETE = outcomes.Outcome.COMPLETE


def _answer(request_id, outcome=COMPLETE, text='', body=b''):
    return client.Answer(
        200, outcome, request_id=request_id, text=text, body=body
    )


def _write(prompt):
    return records.compute_text(prompt, TOKENS, model=MODEL, layers=LAYERS)


def _add_completion(context, name, text, outcome=COMPLETE):
    answer = _answer(name, outcome, text)
    asked = records.SentRequest('diner', answer, f'prompt {name}', TOKENS)
    context.requests.completions.append(asked)


def _add_order(context, key, *numbers):
    answers = [
        _answer(
            f'{key}-{number}',
            body=json.dumps(
                {'member': 'diner', 'idempotency_key': key, 'run': number}
            ).encode(),
        )
        for number in numbers
    ]
    call = load.ServiceCall('diner', key, b'', tuple(answers))
    context.requests.calls.append(call)


def _add_order_without_key(context, name, ran):
    # The router generates a key for a request that has none.
    key = f'server-{ran}'
    echo = {'member': 'diner', 'idempotency_key': key, 'request_id': ran}
    answer = _answer(name, body=json.dumps(echo).encode())
    call = load.ServiceCall('diner', '', b'order', (answer,))
    context.requests.calls.append(call)


def _add_run(context, request_id, key='', team='diner', **more):
    run = {'request_id': request_id, 'member': team, 'idempotency_key': key}
    context.kept.append(run | more)


def _add_keyed(context, name, *epochs):
    answer = _answer(name, text=_write(f'prompt {name}'))
    asked = records.SentRequest(
        'diner', answer, f'prompt {name}', TOKENS, name
    )
    context.requests.completions.append(asked)
    for epoch in epochs:
        _add_run(context, name, name, layer_start=0, epoch=epoch)
        _add_run(context, name, name, layer_start=3, epoch=epoch)


def _break(context, fault):
    text = _write('prompt bad')
    tokens = text.split(' ')
    match fault:
        case 'a complete answer that lacks a token':
            _add_completion(context, 'bad', ' '.join(tokens[:-1]))
        case 'a stream with a doubled token':
            doubled = ' '.join([*tokens[:2], *tokens[1:3]])
            _add_completion(context, 'bad', doubled, client.TRUNCATED)
        case 'an answer of another request':
            _add_completion(context, 'bad', _write('prompt good'))
        case 'a refused request that ran':
            _add_completion(context, 'bad', '', outcomes.Outcome.NOT_RUN)
            _add_run(context, 'bad')
        case 'an order that ran twice':
            _add_order(context, 'bad', 1)
            _add_run(context, 'bad-1', 'bad')
            _add_run(context, 'bad-2', 'bad')
        case 'an order that never ran':
            _add_order(context, 'bad', 1)
        case "a run in another team's name":
            _add_completion(context, 'bad', text)
            _add_run(context, 'bad', team='rival')
        case 'a keyed completion begun at two ends':
            _add_keyed(context, 'bad', 1)
            run = context.kept[-2] | {'request_id': 'bad-2', 'epoch': 2}
            context.kept.append(run)
        case 'an order without a key, run twice':
            _add_order_without_key(context, 'bad', 'bad')
            _add_run(context, 'bad')
            _add_run(context, 'bad')
        case "another call's answer to an order without a key":
            _add_order_without_key(context, 'bad', 'other')
        case 'a keyed completion begun twice':
            _add_keyed(context, 'bad', 1, 1)
        case 'two answers to one order':
            _add_order(context, 'bad', 1, 2)
            _add_run(context, 'bad-1', 'bad')


@behave.given('records of good requests and {fault}')
def make_records(context, fault):
    context.requests = mock.Mock(completions=[], calls=[])
    context.kept = []
    _add_completion(context, 'good', _write('prompt good'))
    half = _write('prompt half').split(' ')[:2]
    _add_completion(context, 'half', ' '.join(half), client.TRUNCATED)
    _add_completion(context, 'refused', '', outcomes.Outcome.NOT_RUN)
    _add_run(context, 'good')
    _add_order(context, 'order', 1, 1)
    _add_run(context, 'order-1', 'order')
    _add_keyed(context, 'keyed', 1, 2)
    _add_order_without_key(context, 'single', 'single')
    _break(context, fault)


@behave.when('the promises are checked')
def check_promises(context):
    runs = records.RunRecords()
    runs.replace_runs('endpoint', context.kept)
    running = mock.Mock(model=MODEL, layers=LAYERS)
    context.wrong = promises.check(running, context.requests, runs)


@behave.when('3 engines crashed by one prompt and 4 by another')
def count_crashes(context):
    context.wrong = promises.check_crashes(['good'] * 3 + ['bad'] * 4, 3)


@behave.when('entries show revisions {shown} after 4 and 5 were accepted')
def compare_revisions(context, shown):
    first, second = map(int, shown.split(', '))
    entries = {'entry-0': first, 'entry-1': second}
    context.wrong = [
        line
        for line in promises.check_revisions(entries, [5, 4])
        if not line.startswith('entry-1 shows')
    ]


@behave.when('an entry shows revisions {shown}')
def show_revisions(context, shown):
    watch = revisionmonitor.RevisionMonitor(mock.Mock())
    watch.stop()
    for revision in shown.split(', '):
        watch.record('entry-0', int(revision))
    context.wrong = watch.violations


@behave.when('an engine crashes by a prompt')
def crash_engine(context):
    config = engine.Config(crash_marker='bang', layer_end=2)
    crashed = threading.Event()
    one = engine.Engine.from_config(config, crashed.set)
    context.stack.callback(one.stop)
    one.start()
    printed = io.StringIO()
    url = f'http://127.0.0.1:{one.port}/v1/steps'
    with contextlib.redirect_stdout(printed):
        for prompt in ('well', 'bang'):
            step = {'session': prompt, 'prompt': prompt, 'member': 'diner'}
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                body = {'steps': [step]}
                urllib3.request('POST', url, json=body, retries=False)
        assert crashed.wait(WAIT_SECONDS)
    context.left = faultcontext.find_crash_records(printed.getvalue())


@behave.then('its record of runs is found in what it printed')
def check_left(context):
    assert context.left['crashed_by'] == ['bang'], context.left
    ran = [run['request_id'] for run in context.left['runs']]
    assert ran == ['well'], context.left


@behave.then('exactly one is reported, about "{words}"')
def check_one(context, words):
    assert len(context.wrong) == 1, context.wrong
    assert words in context.wrong[0], context.wrong


@behave.then('none is reported')
def check_none(context):
    assert not context.wrong, context.wrong


@behave.given(
    'a report with {passed:d} passed, {failed:d} failed and "{name}" listed'
)
@behave.given(
    'a report with {passed:d} passed, {failed:d} failed and "" listed'
)
def write_report(context, passed, failed, name=''):
    context.folder = context.make_folder()
    scenarios = [(f'good {n}', 'passed') for n in range(passed)]
    scenarios += [(f'bad {n}', 'failed') for n in range(failed)]
    elements = [
        {'type': 'scenario', 'name': one, 'status': status}
        for one, status in scenarios
    ]
    report = json.dumps([{'elements': elements}])
    (context.folder / 'report.json').write_text(report)
    if name:
        line = f'{name}, a known fault, 12\n'
        (context.folder / 'KNOWN-RED.txt').write_text(line)
    context.behave_code = '1' if failed else '0'


@behave.given('the listed failure names no issue')
def drop_issue(context):
    path = context.folder / 'KNOWN-RED.txt'
    path.write_text(path.read_text().replace(', 12', ''))


@behave.when('the run is tallied')
def tally(context):
    context.done = subprocess.run(
        [
            sys.executable,
            str(context.root / '.ci' / 'tally.py'),
            str(context.folder / 'report.json'),
            str(context.folder / 'KNOWN-RED.txt'),
            context.behave_code,
        ],
        stdout=subprocess.PIPE,
        text=True,
        check=False,
    )


@behave.then('its last line is "{line}" and its exit code is {code:d}')
def check_tally(context, line, code):
    found = (context.done.stdout.splitlines()[-1], context.done.returncode)
    assert found == (line, code), context.done
