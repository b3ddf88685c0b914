"""Steps for the recovery of streams, with an entry that picks chains."""

from concurrent import futures
from unittest import mock

import attrs
import behave
from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2
from dunlintide_daemon.agent import gate
from dunlintide_daemon.agent import role
from dunlintide_daemon.agent import sessions
from dunlintide_standins.engine import server as engines
from dunlintide_standins import reference
from dunlintide_trials import launcher
from dunlintide_trials import records
import urllib3
import waiting

WAIT_SECONDS = 60.0
wait_until = waiting.make_wait(WAIT_SECONDS)
MODEL = 'copy-7b'
LAYERS = 12


@attrs.define(eq=False)
class Stream:
    """One request of the entry that recovers streams."""

    message: link_pb2.Open
    tokens: list = attrs.field(factory=list)
    finished: bool = False
    head: str = ''


class Entry:
    """Open streams and replace agents that fail."""

    def __init__(self, context):
        self.context = context
        self.streams = {}
        self.failed_agents = set()
        self.links = {}
        self.events = []

    def _link(self, agent):
        name = agent.settings.name
        if name not in self.links:
            up = []
            handlers = links.Handlers(
                up.append,
                lambda _, frames: self.events.extend(frames),
                lambda *_: self.events.append(name),
            )
            hello = link_pb2.Hello(name='entry-1', role='entry')
            dialer = links.Dialer(agent.address, lambda: hello, handlers)
            dialer.start()
            self.context.stack.callback(dialer.stop)
            wait_until(lambda: up, 'link')
            self.links[name] = up
        return self.links[name][-1]

    def _choose_chain(self):
        pairs = zip(self.context.agents, self.context.spares)
        return [
            spare if main.settings.name in self.failed_agents else main
            for main, spare in pairs
        ]

    def open(self, stream):
        chain = self._choose_chain()
        del stream.message.chain[:]
        for agent, span in zip(chain, self.context.ranges):
            stream.message.chain.add(
                agent=agent.settings.name,
                address=agent.address,
                incarnation=agent.incarnation,
                layer_start=span[0],
                layer_end=span[1],
            )
        stream.message.epoch += 1
        stream.message.keep_state = stream.message.epoch > 1
        del stream.message.resumed_tokens[:]
        stream.message.resumed_tokens.extend(one.id for one in stream.tokens)
        stream.head = chain[0].settings.name
        frame = link_pb2.Frame(open=stream.message)
        self._link(chain[0]).send(frame)

    def _handle_event(self, event):
        if isinstance(event, str):
            self.failed_agents.add(event)
            for stream in self.streams.values():
                if stream.head == event and not stream.finished:
                    self.open(stream)
            return
        body = event.WhichOneof('body')
        part = getattr(event, body)
        stream = self.streams.get(getattr(part, 'request_id', ''))
        if stream is None or part.epoch != stream.message.epoch:
            return
        if body == 'token':
            assert part.index <= len(stream.tokens), part
            if part.index == len(stream.tokens):
                stream.tokens.append(part)
        elif body == 'done':
            assert part.tokens == len(stream.tokens), part
            stream.finished = True
        elif body == 'fail':
            assert part.code in ('link-lost', 'endpoint-failed'), part
            self.failed_agents.add(part.agent)
            self.open(stream)

    def pump(self):
        while self.events:
            self._handle_event(self.events.pop(0))

    def wait(self, condition, what):
        def check():
            self.pump()
            return condition()

        wait_until(check, what)

    def wait_tokens(self, count):
        self.wait(
            lambda: all(
                len(one.tokens) >= count or one.finished
                for one in self.streams.values()
            ),
            f'{count} tokens of each',
        )


def call(engine, path):
    url = f'http://127.0.0.1:{engine.port}{path}'
    return urllib3.request('GET', url, retries=False).json()


@behave.given('a spare agent for each of them')
def start_spares(context):
    context.spares, context.spare_engines = [], []
    for agent, (start, end) in zip(context.agents, context.ranges):
        engine = engines.Engine.from_config(
            engines.Config(layer_start=start, layer_end=end)
        )
        engine.start()
        context.stack.callback(engine.stop)
        url = f'http://127.0.0.1:{engine.port}'
        settings = attrs.evolve(
            agent.settings,
            name=f'spare-{agent.settings.name}',
            endpoint=attrs.evolve(agent.settings.endpoint, url=url),
        )
        spare = context.stack.enter_context(role.Agent(settings))
        context.spares.append(spare)
        context.spare_engines.append(engine)
    context.entry = Entry(context)


def open_stream(context, request_id, tokens, **more):
    terms = link_pb2.Terms(
        request_id=request_id,
        team='diner',
        weight=1.0,
        deadline_ms=60_000,
        idempotency_key='key-1' if more else '',
    )
    message = link_pb2.Open(
        terms=terms,
        prompt=f'daily special of {request_id} with a side of slaw',
        max_tokens=tokens,
        model=MODEL,
        version='1',
        **more,
    )
    stream = context.entry.streams[request_id] = Stream(message)
    context.entry.open(stream)


@behave.when(
    '{count:d} recoverable requests for {tokens:d} tokens have {have:d} '
    'tokens each'
)
def open_streams(context, count, tokens, have):
    for index in range(count):
        open_stream(context, f'r{index}', tokens)
    context.entry.wait_tokens(have)


@behave.when(
    'a claimed recoverable request for {tokens:d} tokens has {have:d} tokens'
)
def open_claimed(context, tokens, have):
    claim = link_pb2.Claim(
        key_digest=b'key',
        fingerprint=b'body',
        executor_incarnation=context.agents[0].incarnation,
        attempt='attempt-1',
    )
    open_stream(context, 'r0', tokens, claim=claim)
    context.entry.wait_tokens(have)


@behave.when('the agent of stage {stage:d} dies')
def end_agent(context, stage):
    name = f'agent-{stage - 1}'
    agent = context.agents[stage - 1]
    assert agent.settings.name == name
    # Closing its links first keeps it from sending anything more.
    agent._peers.close()
    agent._server.stop()
    agent.__exit__(None, None, None)


@behave.given('a last stage remembers {count:d} tokens')
def limit_sampled(context, count):
    patch = mock.patch.object(sessions, 'MAX_SAMPLED', count)
    context.stack.enter_context(patch)


def lose_tokens(context, count):
    """Discard tokens that a dead first stage had not yet delivered."""
    entry = context.entry
    wait_until(lambda: 'agent-0' in entry.events, 'the loss of the head')
    del entry.events[: entry.events.index('agent-0')]
    for stream in entry.streams.values():
        del stream.tokens[-count:]


@behave.when(
    'the agent of stage 1 dies with the last {count:d} tokens of each'
)
def end_head(context, count):
    end_agent(context, 1)
    lose_tokens(context, count)


@behave.when('those of stages 1, 3 die with the last {count:d} tokens of each')
def end_outer(context, count):
    end_agent(context, 1)
    end_agent(context, 3)
    context.entry.failed_agents.add(context.agents[2].settings.name)
    lose_tokens(context, count)


@behave.then('each engine of stage {stage:d} went back in every request')
def check_rewound(context, stage):
    runs = call(context.engines[stage - 1], '/runs')
    for name in context.entry.streams:
        found = [run for run in runs if run['request_id'] == name]
        assert len(found) == 2, found
        first, second = found
        assert 0 < second['first_position'] < first['positions'], runs
    rewound = context.agents[stage - 1].counts.get_events().get('rewound')
    assert rewound == len(context.entry.streams), rewound


@behave.when('the engine of stage {stage:d} dies')
def end_engine(context, stage):
    context.engines[stage - 1].stop()
    context.dead_engine = stage - 1


@behave.when('each has {count:d} tokens more')
def wait_more(context, count):
    least = min(len(one.tokens) for one in context.entry.streams.values())
    context.entry.wait_tokens(least + count)


@behave.when('nothing is waited for')
def continue_at_once(context):
    pass


@behave.then("each recoverable request gets exactly the model's tokens")
def check_streams(context):
    entry = context.entry
    streams = entry.streams.values()
    entry.wait(lambda: all(one.finished for one in streams), 'all ends')
    for stream in streams:
        expected = reference.expected_tokens(
            stream.message.prompt, stream.message.max_tokens, LAYERS, MODEL
        )
        got = [(one.id, one.text) for one in stream.tokens]
        assert got == [(one.id, one.text) for one in expected]
        assert stream.message.epoch > 1


def count_positions(engine):
    found = {}
    for run in call(engine, '/runs'):
        name = run['request_id']
        found[name] = found.get(name, 0) + run['positions']
    return found


def expect_positions(context):
    return {
        name: len(reference.tokenize(one.message.prompt)) + len(one.tokens) - 1
        for name, one in context.entry.streams.items()
    }


@behave.then('the engines of the other stages ran each position once')
def check_survivors(context):
    failed_agents = context.entry.failed_agents
    for agent, engine in zip(context.agents, context.engines):
        if agent.settings.name not in failed_agents:
            found = count_positions(engine)
            assert found == expect_positions(context), found


@behave.then('the spare engine of stage {stage:d} ran each position once')
def check_spare(context, stage):
    found = count_positions(context.spare_engines[stage - 1])
    assert found == expect_positions(context), found


@behave.given(
    'the first two agents keep at most {limit:d} bytes of activations'
)
def limit_kept(context, limit):
    for agent in context.agents[:2]:
        agent._engine_components.activation_store._limit = limit


@behave.then('the first two agents have counted "{event}"')
def check_events(context, event):
    for agent in context.agents[:2]:
        events = agent.counts.get_events()
        assert events.get(event), events


@behave.when('a step and a token of the first epoch come late')
def send_late(context):
    step = link_pb2.Step(
        request_id='r0',
        epoch=1,
        stage=2,
        position=5,
        count=1,
        activations=b'\1' * 8,
    )
    token = link_pb2.Token(request_id='r0', epoch=1, index=99, id=1)
    for agent, frame in (
        (context.agents[2], link_pb2.Frame(step=step)),
        (context.agents[0], link_pb2.Frame(token=token)),
    ):
        assert context.entry._link(agent).send(frame)


@behave.then('they were counted as "{step}" and "{token}"')
def check_late(context, step, token):
    third, first = context.agents[2].counts, context.agents[0].counts
    wait_until(lambda: third.get_drops().get(step), step)
    wait_until(lambda: first.get_drops().get(token), token)


@behave.given('holding lasts {seconds:f} s')
def shorten_hold(context, seconds):
    patch = mock.patch.object(gate, 'HOLD_SECONDS', seconds)
    context.stack.enter_context(patch)


@behave.when('a request for {tokens:d} tokens runs over a stage that dies')
def lose_stage(context, tokens):
    context.spares = context.agents
    context.entry = Entry(context)
    open_stream(context, 'r0', tokens)
    context.entry.wait_tokens(3)
    end_agent(context, 2)


@behave.then('the first agent ends it and frees its engine')
def check_freed(context):
    agent, engine = context.agents[0], context.engines[0]
    wait_until(lambda: not len(agent.gate), 'end')
    wait_until(lambda: not call(engine, '/v1/load')['running'], 'free engine')


@behave.given(
    'a small deployment of processes with streams of {tokens:d} tokens'
)
def start_processes(context, tokens):
    context.running = context.stack.enter_context(launcher.run_small())
    teams = list(context.running.keys)
    pool = context.stack.enter_context(futures.ThreadPoolExecutor(4))
    context.prompts = [f'stream {number} of pies' for number in range(4)]
    context.waiting = [
        pool.submit(
            context.running.make_caller(0, teams[number]).complete,
            prompt,
            model=context.running.model,
            max_tokens=tokens,
            stream=True,
        )
        for number, prompt in enumerate(context.prompts)
    ]
    context.total = tokens


def find_middle(context):
    """Return a middle agent whose engine is running a stream."""
    for agent in context.running.plan.agents:
        if agent.endpoint.settings.get('layer_start'):
            name = agent.endpoint.standin.name
            runs = context.running.read_endpoint_runs(name)
            if any(run['positions'] > 20 for run in runs):
                return agent
    return None


@behave.when(
    'the agent of a middle stage is paused until the streams have ended'
)
def pause_middle(context):
    wait_until(lambda: find_middle(context), 'a stage at work')
    context.paused = find_middle(context)
    process = context.running.started[context.paused.name]
    process.pause()
    context.stack.callback(process.resume)
    context.answers = [one.result(WAIT_SECONDS) for one in context.waiting]


@behave.then("each stream got exactly the model's tokens")
def check_answers(context):
    running = context.running
    for answer, prompt in zip(context.answers, context.prompts):
        assert answer.is_complete, (answer.outcome, answer.error)
        asked = records.SentRequest('', answer, prompt, context.total)
        wrong = records.check_text(
            asked, model=running.model, layers=running.layers
        )
        assert not wrong, wrong
    assert context.paused is not None


@behave.when('the paused agent goes on')
def resume_middle(context):
    context.before = read_last_runs(context)
    context.running.started[context.paused.name].resume()
    context.running.wait_ready(context.paused.name)


def read_last_runs(context):
    """Return the last runs of the other engines for each stream."""
    name = context.paused.endpoint.standin.name
    return [
        run
        for run in context.running.read_runs('engine')
        if run['endpoint'] != name
    ]


@behave.then('it frees what it held and has answered no stream twice')
def check_awake(context):
    def is_free():
        state = context.running.read_state(context.paused.name)
        return not sum(state['stages'].values())

    wait_until(is_free, 'free stages')
    assert read_last_runs(context) == context.before
