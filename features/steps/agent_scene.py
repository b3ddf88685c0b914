"""Helpers that run agents, links and stand-in engines in this process."""

import threading

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import settings
from dunlintide_daemon.agent import role
from dunlintide_standins.engine import server as engines
from dunlintide_standins import reference
import urllib3
import waiting

MODEL = 'copy-7b'
LAYERS = 12
WAIT_SECONDS = 60.0
wait_until = waiting.make_wait(WAIT_SECONDS)
DEADLINE_MS = 60_000


class Caller:
    """An entry's end of a link, which records the frames it receives."""

    def __init__(self, address):
        self.frames = []
        self.up = threading.Event()
        self.down = threading.Event()
        hello = link_pb2.Hello(name='entry-1', role='entry')
        handlers = links.Handlers(
            lambda _: self.up.set(),
            lambda _, frames: self.frames.extend(frames),
            lambda *_: self.down.set(),
        )
        self.dialer = links.Dialer(address, lambda: hello, handlers)
        self.dialer.start()
        assert self.up.wait(WAIT_SECONDS)

    def send(self, **body):
        assert self.dialer.link.send(link_pb2.Frame(**body))

    def take(self, request_id, kind):
        return [
            getattr(frame, kind)
            for frame in list(self.frames)
            if frame.WhichOneof('body') == kind
            and getattr(frame, kind).request_id == request_id
        ]

    def hears(self, kind):
        return any(f.WhichOneof('body') == kind for f in list(self.frames))

    def wait_end(self, request_id):
        def ended():
            done = self.take(request_id, 'done')
            return done or self.take(request_id, 'fail')

        wait_until(ended, f'end of {request_id}')
        return ended()[0]


def make_settings(name, endpoint):
    return settings.Settings(
        role=fleet.Role.AGENT,
        name=name,
        failure_domain='austin-a',
        admin_listen='127.0.0.1:0',
        link_listen='127.0.0.1:0',
        store_url='http://127.0.0.1:1',
        host_list_url='http://127.0.0.1:1',
        endpoint=endpoint,
    )


def start_agent(context, name, endpoint):
    agent = role.Agent(make_settings(name, endpoint))
    context.stack.enter_context(agent)
    return agent


def start_engine(context, stage, listen='127.0.0.1:0'):
    start, end = context.ranges[stage]
    config = engines.Config(
        listen=listen, layer_start=start, layer_end=end, load_lag_seconds=0.0
    )
    engine = engines.Engine.from_config(config)
    engine.start()
    context.stack.callback(engine.stop)
    return engine


def ask_engine(context, stage, method, path, body=None):
    url = f'http://127.0.0.1:{context.engines[stage].port}{path}'
    answer = urllib3.request(method, url, json=body, retries=False)
    assert answer.status == 200, answer.data
    return answer.json()


def build_chain(context, count=None):
    return [
        link_pb2.Stage(
            agent=agent.settings.name,
            address=agent.address,
            incarnation=agent.incarnation,
            layer_start=span[0],
            layer_end=span[1],
        )
        for agent, span in list(zip(context.agents, context.ranges))[:count]
    ]


def build_claim(context, key, fingerprint=b'body'):
    return link_pb2.Claim(
        key_digest=key,
        fingerprint=fingerprint,
        executor_incarnation=context.agents[0].incarnation,
        attempt='attempt-1',
    )


def build_open(context, request_id, tokens, prompt=None, stages=None, **more):
    terms = link_pb2.Terms(
        request_id=request_id,
        team='diner',
        weight=1.0,
        priority=1,
        deadline_ms=DEADLINE_MS,
        idempotency_key='key-1' if 'claim' in more else '',
    )
    fields = {'epoch': 1, 'model': MODEL, 'version': '1'} | more
    return link_pb2.Open(
        terms=terms,
        chain=build_chain(context, stages),
        prompt=prompt or f'daily special of {request_id}',
        max_tokens=tokens,
        **fields,
    )


def open_request(context, request_id, tokens, **more):
    message = build_open(context, request_id, tokens, **more)
    context.asked[request_id] = message
    context.caller.send(open=message)
    return message


def expect_tokens(message):
    layers = message.chain[-1].layer_end
    return reference.expected_tokens(
        message.prompt, message.max_tokens, layers, MODEL
    )


def check_answer(caller, request_id, message, skip=0):
    end = caller.wait_end(request_id)
    assert isinstance(end, link_pb2.Done), end
    expected = expect_tokens(message)
    got = caller.take(request_id, 'token')
    assert [t.index for t in got] == list(range(skip, len(expected)))
    want = [(t.id, t.text) for t in expected][skip:]
    assert [(t.id, t.text) for t in got] == want
    assert end.tokens == len(expected)
    assert end.finish_reason == 'length'
    assert len(caller.take(request_id, 'done')) == 1


def check_fail(context, request_id, code, ran):
    end = context.caller.wait_end(request_id)
    assert isinstance(end, link_pb2.Fail), end
    assert (end.code, end.ran) == (code, ran), end
