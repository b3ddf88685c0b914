"""Steps for the command that finds causes of losses in entry logs."""

import contextlib
import io
import json

import behave
from dunlintide_cli import main

ENDED = {
    'event': 'request ended',
    'outcome': 'complete',
    'seconds': 2.0,
    'first_event': 0.1,
    'longest_gap': 0.05,
    'target': 0.5,
    'pause': 0.2,
}
SENT = {'event': 'stream sent'}
MOVED = {'event': 'run ended early', 'reason': 'still for 0.120 s'}


def refuse_request(reason):
    return [
        {'event': 'request refused', 'reason': reason},
        {**ENDED, 'outcome': 'not-run'},
    ]


def deny_request(reason):
    return [{'event': 'request denied', 'status': 503, 'reason': reason}]


def end_by_shutdown(outcome):
    return [
        {'event': 'request ended by shutdown'},
        {**ENDED, 'outcome': outcome},
    ]


LINES = {
    'is served': [SENT, ENDED],
    'is cut when the process ends': [SENT],
    'is ended by the shutdown': [SENT, *end_by_shutdown('unknown')],
    'is told to return by the shutdown': end_by_shutdown('not-run'),
    'is refused for "stopping"': refuse_request('stopping'),
    'is refused for "no room"': refuse_request('no room'),
    'is refused for "no budget"': refuse_request('no budget'),
    'is denied for "stopping"': deny_request('stopping'),
    'is denied for "no configuration"': deny_request('no configuration'),
    'is told that it may have run': [SENT, {**ENDED, 'outcome': 'unknown'}],
    'begins late after a move': [SENT, MOVED, {**ENDED, 'first_event': 0.7}],
    'begins late': [SENT, {**ENDED, 'first_event': 0.7}],
    'pauses after a move': [SENT, MOVED, {**ENDED, 'longest_gap': 0.3}],
    'pauses': [SENT, {**ENDED, 'longest_gap': 0.3}],
}


@behave.given('the log of an entry with a request that {happens}')
def write_log(context, happens):
    started = {'event': 'started'}
    rows = [started]
    rows += [{**row, 'request': 's-1'} for row in LINES[happens]]
    rows += [started]
    context.log = context.make_folder() / 'one.log'
    context.log.write_text(
        ''.join(
            json.dumps({'at': float(index), 'host': 'one', **row}) + '\n'
            for index, row in enumerate(rows)
        )
    )


@behave.given('a line that is none')
def add_garbage(context):
    with context.log.open('a') as file:
        file.write('Traceback\n')


@behave.when('the operator asks for losses')
def run_losses(context):
    context.printed, context.told = io.StringIO(), io.StringIO()
    with (
        contextlib.redirect_stdout(context.printed),
        contextlib.redirect_stderr(context.told),
    ):
        status = main.main(['losses', '--json', str(context.log)])
        assert status == 0
        assert main.main(['losses', str(context.log)]) == 0
    text, _, table = context.printed.getvalue().rpartition('}\n')
    context.report, context.shown = json.loads(text + '}'), table


@behave.then('the only cause is "{cause}"')
def check_cause(context, cause):
    causes = [each['cause'] for each in context.report['shortfalls']]
    assert causes == [cause], causes
    assert cause in context.shown
    assert context.report['served'] == 0


@behave.then('no cause is told, and {count:d} request was served in time')
def check_served(context, count):
    assert not context.report['shortfalls']
    assert context.report['served'] == count
    assert f'{count} served in time' in context.shown


@behave.then('the operator hears of {count:d} line that was not read')
def check_unread(context, count):
    assert context.report['unreadable'] == count
    assert f'{count} lines' in context.told.getvalue()


@behave.given('each of its lines begins with a time and a host')
def add_prefixes(context):
    lines = context.log.read_text().splitlines()
    context.log.write_text(
        ''.join(
            f'  {index * 0.25:.4f} one {line}\n'
            for index, line in enumerate(lines)
        )
    )


@behave.given('nothing but lines that are none')
def write_garbage(context):
    context.log.write_text('Traceback\n[1, 2]\n')


@behave.then(
    'the operator who asks for losses gets an error that names {count:d} lines'
)
def check_error(context, count):
    told = io.StringIO()
    with contextlib.redirect_stderr(told):
        status = main.main(['losses', str(context.log)])
    assert status != 0
    assert f'{count} lines' in told.getvalue(), told.getvalue()
