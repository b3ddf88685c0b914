"""Steps for the outcomes that an entry gives its callers' requests."""

from concurrent import futures
import json
import logging as standard_logging

from absl import logging as absl_logging
import attrs
import behave
from dunlintide_adapters import logs
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import claims
import entry_scene
import prometheus_client

WAIT_SECONDS = entry_scene.WAIT_SECONDS
wait_until = entry_scene.wait_until
MODEL = entry_scene.MODEL
BODIES = {
    'a completion': json.dumps(MODEL),
    'broken JSON': '{"model": ',
    'wrong types': json.dumps(MODEL | {'max_tokens': 'many'}),
    'no prompt': json.dumps({'model': 'copy'}),
    'no tokens': json.dumps(MODEL | {'max_tokens': 0}),
    '2 MiB': json.dumps(MODEL | {'prompt': 'x' * (2 << 20)}),
    'other model': json.dumps(MODEL | {'model': 'other'}),
}


@behave.given('an entry with two agents that each hold the whole model')
def start_entry(context):
    context.entry = entry_scene.Entry(context.stack)
    context.entry.start()
    context.answers = []


@behave.given('the agents send each token twice and under an older epoch')
def make_noisy(context):
    context.entry.faults.noisy = True


@behave.given('the first agent that is asked {fault} after {count:d} tokens')
def set_first_fault(context, fault, count):
    context.entry.faults.first = fault
    context.entry.faults.after = count


@behave.given('the entry has spent its retry budget')
def spend_budget(context):
    budget = context.entry.role._retries
    while budget.spend():
        pass


@behave.given('both agents fail after {count:d} tokens of a new request')
def set_fault(context, count):
    context.entry.faults.always = 'fails'
    context.entry.faults.after = count


@behave.given('the agents stop after {count:d} tokens')
def set_stall(context, count):
    context.entry.faults.always = 'stops'
    context.entry.faults.after = count


@behave.given("the entry's store is away")
def take_store_away(context):
    context.entry.writer.is_unavailable = True


@behave.when('a caller streams a completion of 5 tokens from the entry')
def stream(context):
    body = json.dumps(MODEL | {'stream': True})
    context.answer = context.entry.request('POST', '/v1/completions', body)


@behave.when('a caller posts {body} with key "{key}" as team "{team}"')
@behave.when('a caller posts {body} with key "" as team "{team}"')
def post(context, body, team, key=''):
    context.answer = context.entry.request(
        'POST', '/v1/completions', BODIES[body], team, key
    )


@behave.when('a caller asks for a completion under the key "{key}"')
def ask_once(context, key):
    context.answer = context.entry.complete(key=key)
    context.answers.append(context.answer)


@behave.when('a caller calls the service under the key "{key}" with "{body}"')
def call_once(context, key, body):
    context.answer = context.entry.request(
        'POST', '/services/orders/new', body, key=key
    )


@behave.when("the service's agent is started anew")
def restart_agent(context):
    old = context.entry.service
    old.server.stop()
    new = entry_scene.Agent(old.name, old.endpoint, old.faults, incarnation=2)
    new.asked = old.asked
    context.stack.callback(new.server.stop)
    context.entry.service = new
    wait_until(lambda: context.entry.fleet.find(old.name, 2) is not None)


@behave.when('a caller of the entry leaves in mid-stream')
def leave(context):
    body = json.dumps(MODEL | {'stream': True})
    answer = context.entry.request(
        'POST', '/v1/completions', body, preload_content=False
    )
    answer.read(1)
    answer.close()


PAUSED_ANSWERS = 3


def ask_paused(context, *, is_stream):
    """Send requests whose agents resume once the request thread waits."""
    entry = context.entry
    entry.faults.after = 2
    relayed = entry.role.describe()['requests']['relayed']
    for _ in range(PAUSED_ANSWERS):
        entry.faults.gate.clear()
        body = json.dumps(MODEL | {'stream': is_stream})
        with futures.ThreadPoolExecutor(1) as pool:
            asked = pool.submit(entry.request, 'POST', '/v1/completions', body)
            wait_until(lambda: any(map(is_relaying, list_sessions(entry))))
            entry.faults.gate.set()
        context.answers.append(asked.result())
    context.relayed = entry.role.describe()['requests']['relayed'] - relayed


def list_sessions(entry):
    return entry.role._sessions.list()


def is_relaying(session):
    return session._relay is not None


@behave.when(
    'streams of 5 tokens are sent, each paused behind its second token'
)
def stream_paused(context):
    ask_paused(context, is_stream=True)


@behave.when(
    'whole completions of 5 tokens are asked for, paused in the same way'
)
def complete_paused(context):
    context.answers.clear()
    ask_paused(context, is_stream=False)


@behave.then('each of these streams holds each token once and its end mark')
def check_streams(context):
    for context.answer in context.answers:
        check_stream(context)


@behave.then('each of these answers is the text of the 5 tokens')
def check_answers(context):
    for answer in context.answers:
        choice = answer.json()['choices'][0]
        assert choice['text'] == '<0><1><2><3><4>', choice


@behave.then('the entry relayed tokens of them')
def check_relayed(context):
    # The waiting thread may fetch some tokens itself, if a time check wakes
    # it as they arrive, so the bound is one token per answer.
    assert context.relayed >= PAUSED_ANSWERS, context.relayed


@behave.when('the entry is told to stop in mid-stream')
def stop_midway(context):
    entry = context.entry
    entry.faults.gate.clear()
    entry.faults.after = 2
    body = json.dumps(MODEL | {'stream': True})
    with futures.ThreadPoolExecutor(2) as pool:
        streamed = pool.submit(entry.request, 'POST', '/v1/completions', body)
        wait_until(lambda: entry.asked())
        stopping = pool.submit(context.stack.pop_all().close)
        wait_until(lambda: entry.service.peers_leaving == ['entry'])
        assert not entry.role.check_readiness().ready
        entry.faults.gate.set()
        context.answer = streamed.result(WAIT_SECONDS)
        stopping.result(WAIT_SECONDS)


@behave.when('the executor of that key says that it is leaving')
def say_executor_leaving(context):
    say_leaving(context, next(a for a in context.entry.engines if a.asked))


@behave.then('both answers under the key are the same')
def check_same(context):
    first, second = (one.json()['choices'] for one in context.answers)
    assert first == second, (first, second)


def find_claim(context, key):
    digest = claims.digest_key('diner', key)
    return context.entry.writer.claims_by_key.get(digest)


@behave.then('the key "{key}" is still bound')
def check_bound(context, key):
    assert find_claim(context, key) is not None


@behave.then('the key "{key}" is bound no more')
def check_freed(context, key):
    assert find_claim(context, key) is None


@behave.when('one agent of the entry says that it is leaving')
def say_leaving(context, agent=None):
    agent = agent or context.entry.engines[0]
    leaving = link_pb2.Leaving(agent=agent.name, incarnation=1)
    for link in agent.server.links():
        link.send(link_pb2.Frame(leaving=leaving))
    wait_until(lambda: len(context.entry.fleet.list_usable()) == 2)


@behave.then('the stream holds each of the 5 tokens once and its end mark')
def check_stream(context):
    lines = context.answer.data.decode().split('\n\n')
    if lines[-2:] != ['data: [DONE]', '']:
        raise AssertionError(f'no end mark: {lines}')
    chunks = [json.loads(line[len('data: ') :]) for line in lines[:-2]]
    text = ''.join(chunk['choices'][0]['text'] for chunk in chunks)
    assert text == '<0><1><2><3><4>', text


@behave.then('the entry reports the outcome "{outcome}" to that team only')
def check_record(context, outcome):
    path = '/v1/requests/' + context.answer.headers['X-Request-Id']
    wait_until(
        lambda: context.entry.request('GET', path).json()['outcome'] == outcome
    )
    rival = context.entry.request('GET', path, team='rival')
    assert rival.status == 404, rival.status


@behave.then('the entry answers {status:d} with the outcome "{outcome}"')
def check_answer(context, status, outcome):
    answer = context.answer
    assert answer.status == status, (answer.status, answer.data)
    assert answer.headers['Dunlintide-Outcome'] == outcome, answer.headers
    assert answer.headers['Content-Type'] == 'application/problem+json'
    assert answer.json()['outcome'] == outcome, answer.data


@behave.then('the problem that the entry names is "{code}"')
def check_code(context, code):
    assert context.answer.json()['code'] == code, context.answer.data


@behave.then('no agent of the entry was sent anything')
def check_nothing_ran(context):
    assert not context.entry.asked(), context.entry.asked()


@behave.then('the entry has counted stale and duplicate tokens')
def check_counts(context):
    counts = context.entry.role._sessions.counts
    assert counts.stale and counts.duplicate, counts


@behave.then('the other agent was asked to resume after {count:d} tokens')
def check_resumed(context, count):
    first, second = sorted(context.entry.asked(), key=lambda one: one.epoch)
    assert (first.epoch, second.epoch) == (1, 2)
    resumed = [1000 + index for index in range(count)]
    assert list(second.resumed_tokens) == resumed, second
    assert first.chain[0].agent != second.chain[0].agent


@behave.then('the stream ends with an error event and without its end mark')
def check_truncated(context):
    data = context.answer.data
    assert b'event: error' in data, data
    assert b'"outcome":"unknown"' in data, data
    assert b'[DONE]' not in data, data


@behave.then('the agents of the entry got {count:d} request in all')
def check_asked(context, count):
    assert len(context.entry.asked()) == count, context.entry.asked()


@behave.then('both requests went to one agent with the same claim')
def check_claims(context):
    assert all(answer.status == 200 for answer in context.answers)
    first, second = context.entry.asked()
    assert first.claim.attempt == second.claim.attempt
    assert first.chain[0].agent == second.chain[0].agent


@behave.then('the service was called {count:d} time')
@behave.then('the service was called {count:d} times')
def check_calls(context, count):
    assert len(context.entry.service.asked) == count


@behave.then('the head is told to cancel the request')
def check_cancel(context):
    agents = context.entry.engines
    wait_until(lambda: any(agent.cancelled for agent in agents))


@behave.then('{count:d} further completions all go to the other agent')
def check_other(context, count):
    for _ in range(count):
        assert context.entry.complete().status == 200
    asked = [len(agent.asked) for agent in context.entry.engines]
    assert asked == [0, count], asked


@behave.then('the caller is told when to try again')
def check_retry_after(context):
    assert int(context.answer.headers['Retry-After']) >= 1


@behave.then("the entry's metrics come to show")
def check_metrics(context):
    def read():
        text = prometheus_client.generate_latest(context.entry.role._registry)
        return dict(
            line.rsplit(' ', 1)
            for line in text.decode().splitlines()
            if not line.startswith('#')
        )

    wanted = {row['name']: float(row['value']) for row in context.table}
    wait_until(
        lambda: wanted['dunlintide_tokens_total']
        == float(read()['dunlintide_tokens_total'])
    )
    found = read()
    for name, value in wanted.items():
        assert float(found.get(name, -1)) >= value, (name, found.get(name))


@behave.given('the entry has no room for answers')
def fill_room(context):
    room = context.entry.role._answer_memory
    context.taken = room.limit // 2 + 1
    assert room.reserve(context.taken)
    assert not room.reserve(context.taken)


@behave.when('the entry has room for answers again')
def empty_room(context):
    context.entry.role._answer_memory.release(context.taken)


@behave.then('the entry holds no answer any more')
def check_room(context):
    room = context.entry.role._answer_memory
    wait_until(lambda: room.reserved == 0)


@behave.given('reading the host list breaks unexpectedly {count:d} times')
def break_hosts(context, count):
    context.entry.host_list_failures = count
    wait_until(lambda: not context.entry.host_list_failures)


@behave.then('the entry counts the errors of its thread "{name}"')
def check_thread_errors(context, name):
    errors = context.entry.role.describe()['thread_errors']
    assert errors == {name: 2}, errors


@behave.then('{count:d} further calls of the service are answered')
def check_calls_answered(context, count):
    for number in range(count):
        call_once(context, f'thread-{number}', 'one')
        assert context.answer.status == 200, context.answer.data


@behave.given('handling the first token at the entry breaks unexpectedly')
def break_frames(context):
    route = context.entry.fleet._listeners.frames
    broken = []

    def break_once(link, frames):
        if not broken:
            broken.append(link)
            raise ZeroDivisionError('made by a test')
        route(link, frames)

    context.entry.fleet._listeners = attrs.evolve(
        context.entry.fleet._listeners, frames=break_once
    )


@behave.then('the entry comes to have links to all agents')
def check_links(context):
    wait_until(lambda: len(context.entry.fleet.list_usable()) == 3)


@behave.given("the logs of the entry's process are kept")
def keep_logs(context):
    context.lines = []
    formatter = logs._MaskingFormatter(
        standard_logging.Formatter('%(message)s')
    )
    handler = standard_logging.Handler()
    handler.emit = lambda record: context.lines.append(
        formatter.format(record)
    )
    logger = absl_logging.get_absl_logger()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(standard_logging.DEBUG)
    context.stack.callback(logger.setLevel, level)
    context.stack.callback(logger.removeHandler, handler)


@behave.when('a caller puts its key "{key}" into every part of its requests')
def put_key_everywhere(context, key):
    def ask(path, body=None, idempotency_key=''):
        answer = context.entry.request(
            'POST', path, body, team=key, key=idempotency_key
        )
        context.answers.append(answer)

    body = MODEL | {'model': key, 'user': key, 'prompt': key}
    for path in (f'/{key}', f'/v1/completions?key={key}'):
        ask(path, json.dumps(body))
    ask('/v1/completions', json.dumps(MODEL | {'prompt': key}), f'{key}-1')
    ask(f'/services/{key}/a?b={key}', key)
    ask(f'/services/orders/{key}?b={key}', key, key)
    ask('/v1/completions', f'{{"model": "{key}')


@behave.when('code of the entry logs the key by mistake')
def log_key(context):
    absl_logging.error(
        'bare secret-of-keyed, token=secret-of-keyed, /a/secret-of-keyed.'
    )


@behave.then('neither logs, dump nor metrics of the entry have "{key}"')
def check_no_key(context, key):
    role_ = context.entry.role
    port = role_._admin.port
    state = context.entry.pool.request(
        'GET', f'http://127.0.0.1:{port}/debug/state'
    ).data.decode()
    assert '"rules"' in state, state
    measured = prometheus_client.generate_latest(role_._registry).decode()
    assert any('bare [masked], ' in line for line in context.lines)
    for text in (*context.lines, state, measured):
        assert key not in text, text


@behave.then('no header that the service got has it')
def check_sent(context):
    assert context.entry.service.asked, 'the service was not called'
    for call in context.entry.service.asked:
        assert call.terms.team == 'keyed'
        for header in call.headers:
            assert 'secret-of-keyed' not in header.value, header
