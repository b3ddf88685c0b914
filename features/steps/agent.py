"""Steps for agents in front of engines."""

import threading
from unittest import mock

import agent_scene
import attrs
import behave
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import settings
from dunlintide_daemon.agent import gate
from dunlintide_daemon.agent import process
from dunlintide_standins import reference
import urllib3

WAIT_SECONDS = agent_scene.WAIT_SECONDS
wait_until = agent_scene.wait_until
MODEL = agent_scene.MODEL
LAYERS = agent_scene.LAYERS


@behave.given('{count:d} agents of {layers:d} layers each')
def start_agents(context, count, layers):
    context.ranges = [(i * layers, (i + 1) * layers) for i in range(count)]
    context.engines = [
        agent_scene.start_engine(context, i) for i in range(count)
    ]
    context.agents = []
    for index, engine in enumerate(context.engines):
        endpoint = settings.EndpointSettings(
            kind=fleet.EndpointKind.ENGINE,
            url=f'http://127.0.0.1:{engine.port}',
            model=MODEL,
            version='1',
            layer_start=context.ranges[index][0],
            layer_end=context.ranges[index][1],
            layer_count=LAYERS,
        )
        agent = agent_scene.start_agent(context, f'agent-{index}', endpoint)
        context.agents.append(agent)
    context.caller = agent_scene.Caller(context.agents[0].address)
    context.stack.callback(context.caller.dialer.stop)
    context.asked = {}


@behave.given('each engine step takes {seconds:f} s')
def slow_engines(context, seconds):
    for stage in range(len(context.engines)):
        # An empty step takes 2 ms.
        body = {'slow_factor': seconds / 0.002}
        agent_scene.ask_engine(context, stage, 'POST', '/control', body)


@behave.when('{count:d} requests for {tokens:d} tokens go to the head')
def open_many(context, count, tokens):
    context.asked = {}
    for index in range(count):
        agent_scene.open_request(
            context, f'r{len(context.caller.frames)}-{index}', tokens
        )


@behave.when('a request for {tokens:d} tokens goes to the head')
def open_one(context, tokens):
    agent_scene.open_request(context, 'r1', tokens)


@behave.then("each request gets exactly the model's tokens and an end mark")
def check_answers(context):
    for request_id, message in context.asked.items():
        agent_scene.check_answer(context.caller, request_id, message)


@behave.then('each engine ran each position of each request once')
def check_runs(context):
    for stage in range(len(context.engines)):
        runs = agent_scene.ask_engine(context, stage, 'GET', '/runs')
        assert len(runs) == len(context.asked), runs
        for run in runs:
            message = context.asked[run['request_id']]
            prompt = len(reference.tokenize(message.prompt))
            # The last token is never fed back.
            assert run['positions'] == prompt + message.max_tokens - 1


@behave.then('all engines are free within {seconds:d} s')
def check_free(context, seconds):
    def is_free():
        loads = [
            agent_scene.ask_engine(context, stage, 'GET', '/v1/load')
            for stage in range(len(context.engines))
        ]
        stages = sum(len(agent.pipeline) for agent in context.agents)
        return not stages and not any(load['running'] for load in loads)

    wait_until(is_free, 'free engines', seconds)


@behave.when(
    'a request for {tokens:d} tokens goes to the head with {skip:d} of them '
    'resumed'
)
def open_resumed(context, tokens, skip):
    message = agent_scene.build_open(context, 'r1', tokens, epoch=2)
    known = [token.id for token in agent_scene.expect_tokens(message)[:skip]]
    message.resumed_tokens.extend(known)
    context.asked = {'r1': message}
    context.caller.send(open=message)


@behave.then('it gets exactly the other tokens and an end mark')
def check_resumed(context):
    message = context.asked['r1']
    skip = len(message.resumed_tokens)
    agent_scene.check_answer(context.caller, 'r1', message, skip)


def wait_tokens(context, request_id, count):
    def have():
        return len(context.caller.take(request_id, 'token')) >= count

    wait_until(have, f'{count} tokens of {request_id}')


def send_steps(context, *steps):
    other = agent_scene.Caller(context.agents[1].address)
    context.stack.callback(other.dialer.stop)
    for request_id, epoch, position in steps:
        step = link_pb2.Step(
            request_id=request_id,
            epoch=epoch,
            stage=1,
            position=position,
            count=1,
            activations=b'\1' * 8,
        )
        other.send(step=step)


@behave.when(
    'a request for {tokens:d} tokens runs while its steps come twice, late '
    'and of old epochs'
)
def send_stale_steps(context, tokens):
    agent_scene.open_request(context, 'r1', tokens, epoch=3)
    wait_tokens(context, 'r1', 2)
    send_steps(
        context, ('r1', 3, 0), ('r1', 3, 1), ('r1', 2, 0), ('gone', 1, 0)
    )


@behave.when(
    "two requests for {tokens:d} tokens run while their answers' frames come "
    'twice, late and crossed'
)
def send_crossed_frames(context, tokens):
    context.asked = {}
    for name in ('r1', 'r2'):
        agent_scene.open_request(context, name, tokens, epoch=3)
        wait_tokens(context, name, 2)
    sender = agent_scene.Caller(context.agents[0].address)
    context.stack.callback(sender.dialer.stop)
    # A frame with another answer's content under this request's id.
    crossed = {'id': 1, 'text': 'wrong', 'request_id': 'r1'}
    for name, epoch, index in (
        ('r1', 3, 0),
        ('r1', 2, 2),
        ('r1', 4, 2),
        ('gone', 3, 2),
    ):
        fields = crossed | {'request_id': name}
        token = link_pb2.Token(epoch=epoch, index=index, **fields)
        sender.send(token=token)
        sender.send(token=token)
    sender.send(done=link_pb2.Done(request_id='r1', epoch=2, tokens=2))
    sender.send(fail=link_pb2.Fail(request_id='r2', epoch=2, code='gap'))
    sender.send(cancel=link_pb2.Cancel(request_id='r2', epoch=3))


@behave.then('the head has counted "{a}", "{b}" and "{c}"')
def check_head_drops(context, a, b, c):
    check_drops(context, a, b, c, agent=0)


@behave.then('the second agent has counted "{a}", "{b}" and "{c}"')
def check_drops(context, a, b, c, agent=1):
    counts = context.agents[agent].counts
    wait_until(
        lambda: all(counts.get_drops().get(name) for name in (a, b, c)),
        'drops',
    )
    assert counts.get_drops()[a] == 2, counts.get_drops()


@behave.when(
    'a request for {tokens:d} tokens runs and a step beyond its next '
    'position comes'
)
def send_gap(context, tokens):
    agent_scene.open_request(context, 'r1', tokens)
    wait_tokens(context, 'r1', 2)
    send_steps(context, ('r1', 1, 1000))


@behave.then('its head says "{code}" and that it may have run')
def check_failed(context, code):
    agent_scene.check_fail(context, 'r1', code, True)


@behave.then('its head says "{code}" and that it did not run')
def check_refused(context, code):
    agent_scene.check_fail(context, 'r1', code, False)


@behave.when(
    '{count:d} requests for {tokens:d} tokens run over 3 agents and 1 only '
    'over the first'
)
def open_mixed(context, count, tokens):
    for index in range(count):
        agent_scene.open_request(context, f'r{index}', tokens)
    agent_scene.open_request(context, 'short', tokens, stages=1)
    for request_id in context.asked:
        wait_tokens(context, request_id, 2)


@behave.when('the second engine crashes')
def crash_engine(context):
    context.engines[1].stop()


@behave.then('the requests over it fail with "{code}" and may have run')
def check_crashed(context, code):
    for request_id in list(context.asked):
        if request_id != 'short':
            agent_scene.check_fail(context, request_id, code, True)


@behave.then('the other request gets exactly its tokens')
def check_short(context):
    agent_scene.check_answer(context.caller, 'short', context.asked['short'])


@behave.when('the second engine is back')
def restart_engine(context):
    wait_until(lambda: context.agents[1].gate.fault, 'fault')
    listen = f'127.0.0.1:{context.engines[1].port}'
    context.engines[1] = agent_scene.start_engine(context, 1, listen)
    wait_until(lambda: not context.agents[1].gate.fault, 'engine back')


@behave.when('the first engine is gone and noticed')
def lose_engine(context):
    context.engines[0].stop()
    wait_until(lambda: context.agents[0].gate.fault, 'fault')


@behave.when('a claimed request comes whose next stage cannot be reached')
def open_unreachable(context):
    message = agent_scene.build_open(
        context, 'r1', 4, claim=agent_scene.build_claim(context, b'key')
    )
    (port,) = context.pick_ports(1)
    message.chain[1].address = f'127.0.0.1:{port}'
    context.caller.send(open=message)


@behave.then('no engine ran anything')
def check_no_runs(context):
    for stage in range(len(context.engines)):
        assert not agent_scene.ask_engine(context, stage, 'GET', '/runs')


@behave.when('a request for {tokens:d} tokens runs and its engine hangs')
def hang_engine(context, tokens):
    agent_scene.open_request(context, 'r1', tokens)
    wait_tokens(context, 'r1', 2)
    agent_scene.ask_engine(context, 0, 'POST', '/control', {'hang': True})


@behave.when('the engine hangs no more')
def mend_engine(context):
    wait_until(lambda: context.agents[0].gate.fault, 'fault')
    agent_scene.ask_engine(context, 0, 'POST', '/control', {'hang': False})
    wait_until(lambda: not context.agents[0].gate.fault, 'engine back')


@behave.when('a claimed request for {tokens:d} tokens loses its caller midway')
def lose_caller(context, tokens):
    claim = agent_scene.build_claim(context, b'key')
    agent_scene.open_request(context, 'r1', tokens, claim=claim)
    wait_tokens(context, 'r1', 3)
    context.caller.dialer.stop()
    assert context.caller.down.wait(WAIT_SECONDS)


def repeat(context, request_id, stages=None, **more):
    caller = agent_scene.Caller(context.agents[0].address)
    context.stack.callback(caller.dialer.stop)
    original = context.asked['r1']
    claim = agent_scene.build_claim(context, b'key', **more)
    message = agent_scene.build_open(
        context,
        request_id,
        original.max_tokens,
        prompt=original.prompt,
        stages=stages,
        claim=claim,
        epoch=4,
    )
    caller.send(open=message)
    return caller


@behave.when(
    'a claimed request for {tokens:d} tokens is done and its answer not kept'
)
def finish_unkept(context, tokens):
    ledger = context.agents[0].gate.ledger
    ledger._limits = attrs.evolve(ledger._limits, answer_bytes=0)
    agent_scene.open_request(
        context, 'r1', tokens, claim=agent_scene.build_claim(context, b'key')
    )
    context.caller.wait_end('r1')


@behave.then('its repeat fails with "{code}" as one that may have run')
def check_unkept(context, code):
    wait_until(lambda: not context.agents[0].gate._requests, 'end of work')
    end = repeat(context, 'again').wait_end('again')
    assert (end.code, end.ran) == (code, True), end


@behave.when('it is repeated under another id')
def repeat_other(context):
    context.repeat = repeat(context, 'other')


@behave.then("the repeat gets exactly the model's tokens and an end mark")
def check_repeat(context):
    agent_scene.check_answer(context.repeat, 'other', context.asked['r1'])
    assert context.repeat.take('other', 'token')[0].epoch == 4


@behave.then('a later repeat gets the same answer')
def check_later(context):
    caller = repeat(context, 'later')
    agent_scene.check_answer(caller, 'later', context.asked['r1'])


@behave.then('a repeat over a chain that is gone gets the same answer')
def check_other_chain(context):
    caller = repeat(context, 'gone', stages=0)
    agent_scene.check_answer(caller, 'gone', context.asked['r1'])


@behave.then('a claim on it with another body is refused with "{code}"')
def check_reused(context, code):
    caller = repeat(context, 'reused', fingerprint=b'other body')
    end = caller.wait_end('reused')
    assert (end.code, end.ran) == (code, False), end


@behave.then('the engines ran the claimed request once')
def check_once(context):
    for stage in range(len(context.engines)):
        runs = agent_scene.ask_engine(context, stage, 'GET', '/runs')
        assert [run['idempotency_key'] for run in runs] == ['key-1'], runs


@behave.when(
    "a request for {tokens:d} tokens runs and its caller's link is lost"
)
def lose_link(context, tokens):
    agent_scene.open_request(context, 'r1', tokens)
    wait_tokens(context, 'r1', 2)
    context.before = count_positions(context)
    context.caller.dialer.stop()


def count_positions(context):
    return [
        sum(
            run['positions']
            for run in agent_scene.ask_engine(context, stage, 'GET', '/runs')
        )
        for stage in range(len(context.engines))
    ]


@behave.then('each engine ran at most {steps:d} steps after that')
def check_steps(context, steps):
    pairs = zip(count_positions(context), context.before)
    ran = [after - before for after, before in pairs]
    print(f'{ran} steps ran')
    assert max(ran) <= steps, ran


@behave.when('a request for {tokens:d} tokens runs and is cancelled')
def cancel_request(context, tokens):
    agent_scene.open_request(context, 'r1', tokens)
    wait_tokens(context, 'r1', 2)
    context.before = count_positions(context)
    cancel = link_pb2.Cancel(request_id='r1', epoch=1)
    context.caller.send(cancel=cancel)


@behave.when('{count:d} requests for {tokens:d} tokens are running')
def open_running(context, count, tokens):
    open_many(context, count, tokens)
    for request_id in context.asked:
        wait_tokens(context, request_id, 1)


@behave.then(
    "the head's calls take at most {count:d} steps, so all stages have work"
)
def check_batch(context, count):
    assert context.agents[0].pipeline.limit_batch() == count
    sizes = []
    run_steps = context.agents[0].driver._engine.run_steps

    def record(steps, seconds):
        sizes.append(len(steps))
        return run_steps(steps, seconds)

    context.agents[0].driver._engine.run_steps = record
    wait_until(lambda: len(sizes) >= 6, 'calls')
    assert max(sizes) <= count, sizes


@behave.when('the head is told to drain')
def drain_head(context):
    url = f'http://127.0.0.1:{context.agents[0].admin_port}/drain'
    answer = urllib3.request('POST', url, retries=False)
    assert answer.status == 202, answer.status


@behave.then('the caller hears that it leaves')
def check_leaving(context):
    wait_until(lambda: context.caller.hears('leaving'), 'Leaving')


@behave.then('a new request is refused with "{code}" and did not run')
def check_new(context, code):
    late = agent_scene.build_open(context, 'late', 4)
    context.caller.send(open=late)
    agent_scene.check_fail(context, 'late', code, False)


@behave.then('the head ends by itself without a fault')
def check_ended(context):
    assert context.agents[0].done.wait(WAIT_SECONDS)
    assert not context.agents[0].failed


@behave.given('an agent process whose ticker fails')
def break_ticker(context):
    endpoint = settings.EndpointSettings(
        kind=fleet.EndpointKind.SERVICE,
        url='http://127.0.0.1:1',
        service='orders',
    )
    with mock.patch.object(gate.Gate, 'tick', side_effect=RuntimeError):
        context.status = process.run(
            agent_scene.make_settings('agent-x', endpoint)
        )


@behave.then('the agent process ends with status {status:d}')
def check_status(context, status):
    assert context.status == status


@behave.given("the head's engine holds its calls")
def hold_calls(context):
    driver = context.agents[0].driver
    run_steps = driver._engine.run_steps
    context.held_calls = threading.Semaphore(0)
    context.calls_released = threading.Event()
    context.stack.callback(context.calls_released.set)

    def hold(steps, seconds):
        context.held_calls.release()
        context.calls_released.wait(WAIT_SECONDS)
        return run_steps(steps, seconds)

    driver._engine.run_steps = hold


@behave.when(
    'a request for {tokens:d} tokens is cancelled while its first step runs'
)
def cancel_first(context, tokens):
    admission = context.agents[0].gate
    context.paid = []
    admission.capacity.queue.adjust_cost = (
        lambda ticket, cost: context.paid.append(cost)
    )
    agent_scene.open_request(context, 'r1', tokens, prompt='word ' * 40)
    assert context.held_calls.acquire(timeout=WAIT_SECONDS)
    cancel = link_pb2.Cancel(request_id='r1', epoch=1)
    context.caller.send(cancel=cancel)
    wait_until(lambda: not len(admission), 'cancel')


@behave.then('it holds its slot, and its team pays for the prompt')
def check_slot(context):
    assert context.agents[0].gate.capacity.in_flight.requests == 1
    prompt = context.asked['r1'].prompt
    assert context.paid == [len(prompt) // 4], context.paid


@behave.when("the head's engine answers its calls")
def release_calls(context):
    context.calls_released.set()


@behave.then('no slot is held')
def check_no_slot(context):
    in_flight = context.agents[0].gate.capacity.in_flight
    wait_until(lambda: not in_flight.requests, 'slots free')
    assert not in_flight.tokens, in_flight
