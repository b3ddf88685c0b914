"""Steps for the entry, with agents and a store made for them."""

from concurrent import futures
import hashlib
import json
import logging as standard_logging
import threading

from absl import logging as absl_logging
import attrs
import behave
from dunlintide_adapters import links
from dunlintide_adapters import logs
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import claims
from dunlintide_core import configuration
from dunlintide_core import settings
from dunlintide_daemon.entry import role
from dunlintide_daemon.entry import sources
import prometheus_client
import result
import urllib3
import waiting

WAIT_SECONDS = 30.0
wait_until = waiting.make_wait(WAIT_SECONDS)
MODEL = {'model': 'copy', 'prompt': 'soup', 'max_tokens': 5}
BODIES = {
    'a completion': json.dumps(MODEL),
    'broken JSON': '{"model": ',
    'wrong types': json.dumps(MODEL | {'max_tokens': 'many'}),
    'no prompt': json.dumps({'model': 'copy'}),
    'no tokens': json.dumps(MODEL | {'max_tokens': 0}),
    '2 MiB': json.dumps(MODEL | {'prompt': 'x' * (2 << 20)}),
    'other model': json.dumps(MODEL | {'model': 'other'}),
}
CONFIG = configuration.Configuration(
    members=tuple(
        configuration.Member(
            name, (hashlib.sha256(name.encode()).hexdigest(),)
        )
        for name in ('diner', 'rival', 'refused')
    )
    + (
        configuration.Member(
            'keyed', (hashlib.sha256(b'secret-of-keyed').hexdigest(),)
        ),
        configuration.Member(
            'metered',
            tuple(
                hashlib.sha256(key).hexdigest()
                for key in (b'metered', b'metered-2')
            ),
        ),
    ),
    models=(configuration.Model('copy', 24),),
    services=(configuration.Service('orders', repeatable=False),),
    rules=(
        configuration.Rule(
            'known',
            configuration.When(member=('diner', 'rival', 'keyed')),
            configuration.Then(deadline_seconds=3.0),
        ),
        configuration.Rule(
            'metered',
            configuration.When(member=('metered',)),
            configuration.Then(rate=0.01),
        ),
    ),
)


SETTINGS = settings.Settings(
    role='entry',
    name='entry',
    failure_domain='a',
    admin_listen='127.0.0.1:0',
    link_listen='127.0.0.1:0',
    store_url='http://127.0.0.1:1',
    host_list_url='http://127.0.0.1:1',
    listen='127.0.0.1:0',
    timing=settings.Timing(host_list_poll=0.1),
    limits=settings.Limits(threads=8),
)


@attrs.define
class Faults:
    """What agents do wrong; ``first`` applies to one attempt only."""

    first: str = ''
    always: str = ''
    after: int = 0
    noisy: bool = False
    gate: threading.Event = attrs.field(factory=threading.Event)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def take(self):
        with self.lock:
            fault, self.first = self.first, ''
            return fault or self.always


class Agent:
    """An agent that answers by itself, on a real link."""

    def __init__(self, name, endpoint, faults, incarnation=1, port=0):
        self.name = name
        self.endpoint = endpoint
        self.faults = faults
        self.incarnation = incarnation
        self.asked = []
        self.cancelled = []
        self.peers_leaving = []
        self.pool = futures.ThreadPoolExecutor(8)
        handlers = links.Handlers(
            lambda link: None, self.take, lambda link, reason: None
        )
        self.server = links.LinkServer(
            f'127.0.0.1:{port}', self.hello, handlers
        )
        self.role, self.state, self.failure_domain = 'agent', 'live', 'a'
        self.address = f'127.0.0.1:{self.server.port}'
        self.server.start()

    def hello(self):
        return link_pb2.Hello(
            name=self.name,
            role='agent',
            incarnation=self.incarnation,
            address=self.address,
            endpoint=self.endpoint,
        )

    def take(self, link, frames):
        for frame in frames:
            body = frame.WhichOneof('body')
            if body == 'open':
                self.asked.append(frame.open)
                # Handlers of a link must not block.
                self.pool.submit(self.run, link, frame.open)
            elif body == 'attach':
                self.replay(link, frame.attach)
            elif body == 'call':
                self.asked.append(frame.call)
                self.reply(link, frame.call)
            elif body == 'hello' and frame.hello.leaving:
                self.peers_leaving.append(frame.hello.name)
            elif body == 'cancel':
                self.cancelled.append(frame.cancel.request_id)

    def replay(self, link, attach):
        for asked in self.asked:
            if asked.claim.attempt == attach.claim.attempt:
                again = link_pb2.Open(terms=attach.terms, epoch=attach.epoch)
                again.max_tokens = asked.max_tokens
                self.run(link, again)

    def reply(self, link, call):
        reply = link_pb2.Reply(
            request_id=call.terms.request_id,
            epoch=call.epoch,
            status=200,
            body=b'done',
            last=True,
        )
        link.send(link_pb2.Frame(reply=reply))

    def send(self, link, asked, index, epoch):
        token = link_pb2.Token(
            request_id=asked.terms.request_id,
            epoch=epoch,
            index=index,
            id=1000 + index,
            text=f'<{index}>',
        )
        link.send(link_pb2.Frame(token=token))

    def run(self, link, asked):
        fault = self.faults.take()
        for index in range(len(asked.resumed_tokens), asked.max_tokens):
            if fault and index >= self.faults.after:
                self.fail(link, asked, index, fault)
                return
            if index == self.faults.after:
                self.faults.gate.wait(WAIT_SECONDS)
            self.send(link, asked, index, asked.epoch)
            if self.faults.noisy:
                self.send(link, asked, index, asked.epoch)
                self.send(link, asked, index + 1, asked.epoch - 1)
        if fault == 'loses its link before the end':
            link.close()
            return
        done = link_pb2.Done(
            request_id=asked.terms.request_id,
            epoch=asked.epoch,
            tokens=asked.max_tokens,
            finish_reason='length',
            prompt_tokens=1,
        )
        link.send(link_pb2.Frame(done=done))

    def fail(self, link, asked, index, fault):
        if fault == 'drops its link':
            link.close()
        elif fault == 'skips a token':
            self.send(link, asked, index + 1, asked.epoch)
        elif fault in ('refuses without a seal', 'seals'):
            fail = link_pb2.Fail(
                request_id=asked.terms.request_id,
                epoch=asked.epoch,
                code='queue-full',
                agent=self.name,
                sealed=fault == 'seals',
            )
            link.send(link_pb2.Frame(fail=fail))
        elif fault == 'has no answer any more':
            fail = link_pb2.Fail(
                request_id=asked.terms.request_id,
                epoch=asked.epoch,
                code='answer-gone',
                ran=True,
                agent=self.name,
            )
            link.send(link_pb2.Frame(fail=fail))
        elif fault == 'fails':
            fail = link_pb2.Fail(
                request_id=asked.terms.request_id,
                epoch=asked.epoch,
                code='endpoint-failed',
                ran=True,
                agent=self.name,
            )
            link.send(link_pb2.Frame(fail=fail))


class Writer:
    """Claims in memory, in place of the store."""

    def __init__(self):
        self.held = {}
        self.away = False

    def bind(self, wanted, timeout):
        if self.away:
            return result.Err('away')
        held = self.held.setdefault(wanted.key_digest, wanted)
        if held.fingerprint != wanted.fingerprint:
            return result.Err(claims.ReusedKey(held))
        return result.Ok(held)

    def pace(self, writers):
        pass

    def dump(self):
        return {'claims': len(self.held)}

    def release(self, binding, timeout):
        self.held.pop(binding.key_digest, None)
        return result.Ok(binding)


class Entry:
    """An entry on real sockets, its agents and its callers."""

    def __init__(self, stack):
        self.stack = stack
        self.faults = Faults()
        self.faults.gate.set()
        self.writer = Writer()
        engine = link_pb2.Endpoint(
            kind='engine',
            model='copy',
            version='1',
            layer_end=24,
            layer_count=24,
        )
        service = link_pb2.Endpoint(kind='service', service='orders')
        self.engines = [
            Agent(name, engine, self.faults) for name in ('agent-1', 'agent-2')
        ]
        self.service = Agent('agent-3', service, self.faults)
        self.breaks = 0
        outside = sources.Sources(self.read_hosts, self.follow, self.writer)
        self.role = role.Entry(SETTINGS, outside, lame_duck=0.0)
        self.fleet = self.role._fleet
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)

    def read_hosts(self):
        if self.breaks:
            self.breaks -= 1
            raise ZeroDivisionError('made by a test')
        return result.Ok(self.agents())

    def follow(self, adopt, stopped):
        adopt(2, CONFIG)
        adopt(1, configuration.Configuration())
        stopped.wait()

    def start(self):
        for agent in self.agents():
            self.stack.callback(agent.server.stop)
        self.stack.enter_context(self.role)
        wait_until(lambda: len(self.fleet.list_usable()) == 3)
        wait_until(lambda: self.role.check_readiness().ready)

    def agents(self):
        return [*self.engines, self.service]

    def asked(self):
        return [one for agent in self.agents() for one in agent.asked]

    def request(self, method, path, body=None, member='diner', key='', **more):
        headers = {'Authorization': f'Bearer {member}'}
        if key:
            headers['Idempotency-Key'] = key
        url = f'http://127.0.0.1:{self.role.port}{path}'
        return self.pool.request(
            method, url, body=body, headers=headers, **more
        )

    def complete(self, **more):
        return self.request(
            'POST', '/v1/completions', json.dumps(MODEL), **more
        )


@behave.given('an entry with two agents that each hold the whole model')
def start_entry(context):
    context.entry = Entry(context.stack)
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
    context.entry.writer.away = True


@behave.when('a caller streams a completion of 5 tokens from the entry')
def stream(context):
    body = json.dumps(MODEL | {'stream': True})
    context.answer = context.entry.request('POST', '/v1/completions', body)


@behave.when('a caller posts {body} with key "{key}" as member "{member}"')
@behave.when('a caller posts {body} with key "" as member "{member}"')
def post(context, body, member, key=''):
    context.answer = context.entry.request(
        'POST', '/v1/completions', BODIES[body], member, key
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
    new = Agent(old.name, old.endpoint, old.faults, incarnation=2)
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
    return context.entry.writer.held.get(digest)


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


@behave.then('the entry reports the outcome "{outcome}" to that member only')
def check_record(context, outcome):
    path = '/v1/requests/' + context.answer.headers['X-Request-Id']
    wait_until(
        lambda: context.entry.request('GET', path).json()['outcome'] == outcome
    )
    rival = context.entry.request('GET', path, member='rival')
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
    room = context.entry.role._room
    context.taken = room.limit // 2 + 1
    assert room.take(context.taken)
    assert not room.take(context.taken)


@behave.when('the entry has room for answers again')
def empty_room(context):
    context.entry.role._room.give_back(context.taken)


@behave.then('the entry holds no answer any more')
def check_room(context):
    room = context.entry.role._room
    wait_until(lambda: room.held == 0)


@behave.given('reading the host list breaks unexpectedly {count:d} times')
def break_hosts(context, count):
    context.entry.breaks = count
    wait_until(lambda: not context.entry.breaks)


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
    formatter = logs._Masking(standard_logging.Formatter('%(message)s'))
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
            'POST', path, body, member=key, key=idempotency_key
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
        assert call.terms.member == 'keyed'
        for header in call.headers:
            assert 'secret-of-keyed' not in header.value, header
