"""Steps of security.feature: a deployment of real processes with TLS."""

import re
import threading
import time

import behave
from dunlintide_trials import authority
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import launcher
from dunlintide_trials import processes
from dunlintide_trials import records
import urllib3

WAIT_SECONDS = 60.0
PROMPT = 'Announce the harvest supper on Saturday'
SHORT_TOKENS = 8
FEW_TOKENS = 3
EXPIRY = re.compile(r'^dunlintide_tls_expiry_timestamp_seconds (\S+)', re.M)
BAD_KEY = 'Zm9yZ290dGVuLWtleS1vZi1ub2JvZHk'
DEBUG = {'log': {'level': 'debug', 'format': 'json'}}


def wait_until(condition, what):
    assert processes.wait_for(
        condition, WAIT_SECONDS
    ), f'timed out waiting for: {what}'


@behave.given('a small deployment with TLS runs and logs all that it can')
def start(context):
    if 'running' not in context.shared:
        context.shared['issuer'] = authority.Authority()
        running = launcher.run_small(
            context.root / launcher.EXAMPLE,
            issuer=context.shared['issuer'],
            extras={'agent': DEBUG, 'entry': DEBUG},
        )
        context.shared['running'] = context.feature_stack.enter_context(
            running
        )
    context.running = context.shared['running']
    context.team = next(iter(context.running.keys))


class Stream:
    """A stream that a separate thread reads."""

    def __init__(self, running, team, entry, tokens):
        self.answer = client.Answer()
        self.tokens = tokens
        caller = running.make_caller(entry, team)
        self._thread = threading.Thread(
            target=caller.complete,
            args=(PROMPT,),
            kwargs={
                'model': running.model,
                'max_tokens': tokens,
                'stream': True,
                'answer': self.answer,
            },
            daemon=True,
        )
        self._thread.start()
        wait_until(lambda: len(self.answer.texts) >= FEW_TOKENS, 'tokens')

    def is_open(self):
        return self._thread.is_alive()

    def finish(self):
        self._thread.join(WAIT_SECONDS)
        return self.answer


@behave.when('a team streams {tokens:d} tokens from entry {entry:d}')
def begin_stream(context, tokens, entry):
    context.stream = Stream(context.running, context.team, entry, tokens)


@behave.when('the certificates of all processes are renewed under the stream')
def renew(context):
    running = context.running
    for role in (deployment.AGENT, deployment.ENTRY):
        for process in running.list_processes(role):
            context.shared['issuer'].write(running.folder, role, process.name)
    assert context.stream.is_open(), 'the stream ended before the renewal'


@behave.when('entry {number:d} is killed and started again under the stream')
def restart(context, number):
    name = context.running.plan.entries[number].name
    context.running.started[name].kill()
    context.running.restart(name)
    assert context.stream.is_open(), 'the stream ended before the restart'


def check_text(context, answer, tokens):
    running = context.running
    assert answer.is_complete, (answer.outcome, answer.error)
    expected = records.compute_text(
        PROMPT, tokens, model=running.model, layers=running.layers
    )
    assert answer.text == expected, answer.text


@behave.then('the stream is whole')
def check_stream(context):
    stream = context.stream
    check_text(context, stream.finish(), stream.tokens)


@behave.then('a completion from entry {entry:d} is whole')
def check_completion(context, entry):
    answer = context.running.make_caller(entry, context.team).complete(
        PROMPT, model=context.running.model, max_tokens=SHORT_TOKENS
    )
    check_text(context, answer, SHORT_TOKENS)


@behave.then('each agent has used its new files and refused nothing')
def check_reloaded(context):
    for agent in context.running.plan.agents:
        state = context.running.read_state(agent.name)['tls']
        assert state['reloads'] == 1 and not state['refused'], state


@behave.then('each process tells when its certificate ends')
def check_expiry(context):
    now = time.time()
    for name, page in read_metric_pages(context.running):
        found = EXPIRY.findall(page)
        assert len(found) == 1 and float(found[0]) > now, (name, found)


def read_metric_pages(running):
    http = urllib3.PoolManager()
    for daemon in running.plan.daemons:
        page = http.request('GET', f'{daemon.admin_url}/metrics').data.decode()
        assert 'dunlintide_' in page
        yield f'metrics of {daemon.name}', page


def read_all(running):
    """Read all output of the daemons: logs, dumps and metrics."""
    http = urllib3.PoolManager()
    for daemon in running.plan.daemons:
        log = running.started[daemon.name].log.read_text(errors='replace')
        yield f'log of {daemon.name}', log
        url = f'{daemon.admin_url}/debug/state'
        yield f'dump of {daemon.name}', http.request('GET', url).data.decode()
    yield from read_metric_pages(running)


def fill(context, text):
    running = context.running
    key = running.keys[context.team]
    for mark, value in (
        ('KEY', key),
        ('BAD', BAD_KEY),
        ('MODEL', running.model),
        ('SERVICE', running.non_idempotent_path),
    ):
        text = text.replace(mark, value)
    return text


def parse_headers(text):
    pairs = (one.split(': ', 1) for one in text.split('; '))
    return {name: value for name, value in pairs}


@behave.when('callers ask with good keys and bad ones, rightly and wrongly')
def ask_all(context):
    http = urllib3.PoolManager(retries=False)
    for row in context.table:
        for entry in context.running.plan.entries:
            answer = http.request(
                row['method'],
                entry.url + fill(context, row['path']),
                body=fill(context, row['body']).encode(),
                headers=parse_headers(fill(context, row['headers'])),
            )
            told = row['path'], row['headers'], answer.status, answer.data
            expected = row['status']
            assert expected in ('any', str(answer.status)), told


@behave.when('an agent is killed while a team streams')
def kill_agent(context):
    running = context.running
    stream = Stream(running, context.team, 0, 100)
    stopped = running.plan.agents[0].name
    running.started[stopped].kill()
    stream.finish()
    running.restart(stopped)


@behave.then(
    "no log, dump or metric of a daemon holds a team's key or a bad one"
)
def check_keys(context):
    keys = [*context.running.keys.values(), BAD_KEY]
    context.read = list(read_all(context.running))
    assert len(context.read) == 3 * len(context.running.plan.daemons)
    assert all(
        text for _, text in context.read
    ), 'no log, dump or metrics page found'
    found = [
        (name, text[max(0, text.index(key) - 200) : text.index(key)])
        for name, text in context.read
        for key in keys
        if key in text
    ]
    assert not found, found


@behave.then('none holds a private key of a process')
def check_private(context):
    folder = context.running.folder
    for path in folder.glob('*.key.pem'):
        lines = path.read_text().splitlines()
        secret = [one for one in lines if not one.startswith('-----')]
        for name, text in context.read:
            assert not any(one in text for one in secret), name
