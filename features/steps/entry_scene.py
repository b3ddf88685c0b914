"""An entry with simulated agents and claims in memory for its steps."""

from concurrent import futures
import hashlib
import json
import threading

import attrs
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import claims
from dunlintide_core import configuration
from dunlintide_core import settings
from dunlintide_daemon.entry import role
from dunlintide_daemon.entry import sources
import result
import urllib3
import waiting

WAIT_SECONDS = 30.0
wait_until = waiting.make_wait(WAIT_SECONDS)
MODEL = {'model': 'copy', 'prompt': 'soup', 'max_tokens': 5}
CONFIG = configuration.Configuration(
    teams=tuple(
        configuration.Team(name, (hashlib.sha256(name.encode()).hexdigest(),))
        for name in ('diner', 'rival', 'refused')
    )
    + (
        configuration.Team(
            'keyed', (hashlib.sha256(b'secret-of-keyed').hexdigest(),)
        ),
        configuration.Team(
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
            configuration.When(team=('diner', 'rival', 'keyed')),
            configuration.Then(deadline_seconds=3.0),
        ),
        configuration.Rule(
            'metered',
            configuration.When(team=('metered',)),
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
    """Faults of the agents.

    :ivar first: fault of the next attempt only
    :ivar always: fault of every other attempt
    :ivar after: tokens that an agent sends before the fault or the gate
    :ivar noisy: whether each token is followed by a duplicate and by one of
        an older epoch
    :ivar gate: agents pause at token ``after`` until it is set
    """

    first: str = ''
    always: str = ''
    after: int = 0
    noisy: bool = False
    gate: threading.Event = attrs.field(factory=threading.Event)
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def next_fault(self):
        with self.lock:
            fault, self.first = self.first, ''
            return fault or self.always


class Agent:
    """An agent without an endpoint that answers over a TCP link."""

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
            lambda link: None, self.handle_frames, lambda link, reason: None
        )
        self.server = linkserver.LinkServer(
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

    def handle_frames(self, link, frames):
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
        fault = self.faults.next_fault()
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
    """Keeps claims in memory instead of in the store."""

    def __init__(self):
        self.claims_by_key = {}
        self.is_unavailable = False

    def bind(self, wanted, timeout):
        if self.is_unavailable:
            return result.Err('away')
        held = self.claims_by_key.setdefault(wanted.key_digest, wanted)
        if held.fingerprint != wanted.fingerprint:
            return result.Err(claims.ReusedKey(held))
        return result.Ok(held)

    def set_writer_count(self, writers):
        pass

    def dump(self):
        return {'claims': len(self.claims_by_key)}

    def release(self, binding, timeout):
        self.claims_by_key.pop(binding.key_digest, None)
        return result.Ok(binding)


class Entry:
    """An entry on TCP sockets with its agents and a client."""

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
        self.host_list_failures = 0
        outside = sources.Sources(self.read_hosts, self.follow, self.writer)
        self.role = role.Entry(SETTINGS, outside, lame_duck=0.0)
        self.fleet = self.role._fleet
        self.pool = urllib3.PoolManager(retries=False, timeout=WAIT_SECONDS)

    def read_hosts(self):
        if self.host_list_failures:
            self.host_list_failures -= 1
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

    def request(self, method, path, body=None, team='diner', key='', **more):
        headers = {'Authorization': f'Bearer {team}'}
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
