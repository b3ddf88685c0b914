"""Steps for killed, stopped and paused processes and store faults."""

import time

import behave
from dunlintide_core import outcomes
from dunlintide_standins import reference
from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import records
import outcomes_scene

UNFINISHED = {outcomes.Outcome.UNKNOWN, outcomes.Outcome.NOT_RUN}
# Outcomes that a caller reports when its connection breaks.
BROKEN = {client.LOST, client.TRUNCATED}


def list_key_runs(scene, key):
    kinds = (deployment.ENGINE, deployment.SERVICE)
    return [
        run
        for kind in kinds
        for run in scene.list_runs(kind, idempotency_key=key)
    ]


def check_once(scene, key):
    """Check that a key has one run, under one request at one executor.

    When a later stage is replaced, the run continues in a higher epoch and
    only the lost layers run again. The check therefore covers the head
    stage: its engine must have run each position once, in order.
    """
    runs = list_key_runs(scene, key)
    assert len({run['request_id'] for run in runs}) == 1, runs
    heads = {
        agent.endpoint.standin.name
        for agent in scene.list_engines()
        if agent.endpoint.settings['layer_start'] == 0
    }
    services = [run for run in runs if 'method' in run]
    if services:
        assert len(runs) == 1, runs
        return
    first = [run for run in runs if run['endpoint'] in heads]
    assert len({run['endpoint'] for run in first}) == 1, runs
    position = 0
    for run in sorted(first, key=lambda run: run['epoch']):
        assert run['first_position'] == position, runs
        position += run['positions']


@behave.given('the services take {seconds:f} s a call')
def slow_services(context, seconds):
    for agent in context.scene.list_services():
        name = agent.endpoint.standin.name
        context.scene.running.control(name, delay_seconds=seconds)


def start_keyed(context, tokens=25):
    scene = context.scene
    name = f'{scene.count}-{time.time_ns()}'
    context.keys = (f'order-{name}', f'stream-{name}')
    order = scene.order(context.keys[0])
    stream = scene.stream(tokens, key=context.keys[1])
    context.keyed = (order, stream)
    for key in context.keys:
        outcomes_scene.wait_until(
            lambda: list_key_runs(scene, key), f'a run of {key}'
        )


def repeat_keyed(context, entry):
    stream = context.keyed[1]
    again = context.scene.stream(
        stream.max_tokens, entry, context.keys[1], stream.prompt
    )
    return context.scene.order(context.keys[0], entry), again


@behave.when(
    'entry {entry:d} is killed with a keyed order and a keyed stream in flight'
)
def kill_entry(context, entry):
    start_keyed(context)
    context.scene.running.started[f'entry-{entry}'].kill()


@behave.when('both are repeated at once through entry {entry:d}')
def repeat_both(context, entry):
    context.repeats = repeat_keyed(context, entry)


@behave.then('the repeats are complete and each key ran once')
def check_repeats(context):
    order, stream = context.repeats
    assert order.wait().is_complete, order.answer
    context.scene.check_stream(stream)
    for key in context.keys:
        check_once(context.scene, key)


def count_positions(context):
    return {
        name: sum(
            run['positions']
            for run in context.scene.running.read_endpoint_runs(name)
        )
        for name in context.engines
    }


@behave.when('a caller of a long {answer} goes away')
def close_caller(context, answer):
    scene = context.scene
    # Without a cancellation the answer takes 19 s, within its deadline.
    connection = scene.connect()
    scene.ask(connection, 300, stream=answer == 'stream')
    chain = scene.find_chain()
    context.engines = [
        scene.agents[name].endpoint.standin.name for name in chain
    ]
    context.before = count_positions(context)
    connection.close()


@behave.then(
    'each engine ran at most the {steps:d} steps that fit into a second'
)
def check_steps(context, steps):
    after = count_positions(context)
    ran = [after[name] - context.before[name] for name in context.engines]
    print(f'{ran} steps ran after the caller had left')
    assert max(ran) <= steps, ran


@behave.when('a caller of a service goes away')
def close_service_caller(context):
    scene = context.scene
    service = scene.running.plan.blueprint.services[1]
    path = f'/services/{service.name}{service.path}'
    connection = scene.connect()
    scene.send(connection, 'GET', path)
    context.agent = scene.find_service(service.name)
    outcomes_scene.wait_until(
        lambda: scene.read_gate(context.agent)['in_flight']['requests'],
        'the service is called',
    )
    context.left_at = time.monotonic()
    connection.close()


@behave.then("the service's agent has ended the call as cancelled")
def check_cancelled(context):
    def is_free():
        gate = context.scene.read_gate(context.agent)
        return not gate['in_flight']['requests']

    outcomes_scene.wait_until(is_free, 'the call has ended')
    print(f'freed after {time.monotonic() - context.left_at:.2f} s')
    events = context.scene.read_gate(context.agent)['events']
    assert events.get('failed-cancelled') == 1, events


@behave.then('no agent comes to have a session any more')
def check_freed(context):
    scene = context.scene

    def is_free():
        return not any(
            sum(scene.running.read_state(agent.name)['stages'].values())
            for agent in scene.list_engines()
        )

    began = time.monotonic()
    outcomes_scene.wait_until(is_free, 'all stages are free')
    print(f'free after {time.monotonic() - began:.2f} s')


def find_process(context, role, chain):
    scene = context.scene
    names = {
        'entry': 'entry-0',
        'store': scene.running.plan.store.name,
        'head agent': chain[0],
        'middle agent': chain[1],
        'last agent': chain[2],
        'middle engine': scene.agents[chain[1]].endpoint.standin.name,
    }
    return scene.running.started[names[role]]


@behave.when(
    'the {role} is told to stop with {count:d} streams of {tokens:d} tokens '
    'in flight'
)
def stop_role(context, role, count, tokens):
    scene = context.scene
    context.streams = [scene.stream(tokens) for _ in range(count)]
    process = find_process(context, role, scene.find_chain())
    context.process = scene.stop(process.name)


@behave.then('all of these streams are the reference answers')
def check_streams(context):
    for stream in context.streams:
        context.scene.check_stream(stream)


@behave.then('the {role} ended with exit code 0')
def check_exit(context, role):
    assert context.process.wait(), f'{role} still runs'
    assert context.process.exit_code == 0, context.process.read_log()[-2000:]


@behave.then('each of these streams ran over one chain')
def check_one_chain(context):
    for stream in context.streams:
        request_id = stream.answer.request_id
        runs = context.scene.list_runs(
            deployment.ENGINE, request_id=request_id
        )
        assert len(runs) == len(outcomes_scene.STAGES), runs


@behave.when('the store is down and the host list shows no change')
def stop_store(context):
    name = context.scene.running.plan.store.name
    context.scene.running.control(name, down=True)


@behave.when('the {stage} agent of a long stream is told to stop')
def stop_stage(context, stage):
    scene = context.scene
    context.stream = scene.stream(90)
    name = scene.find_chain()[outcomes_scene.STAGES.index(stage)]
    context.engine = scene.agents[name].endpoint.standin.name
    scene.stop(name)


@behave.then('{seconds:d} s later no new request runs at its engine')
def check_left(context, seconds):
    scene = context.scene
    time.sleep(seconds)
    answers = [scene.stream(2, number % 3) for number in range(9)]
    for one in answers:
        scene.check_stream(one)
    asked = {one.answer.request_id for one in answers}
    ran = {
        run['request_id']
        for run in scene.running.read_endpoint_runs(context.engine)
    }
    assert not asked & ran, asked & ran


@behave.when(
    'the {role} is paused for {seconds:d} s with requests and repeats in '
    'flight'
)
def pause(context, role, seconds):
    scene = context.scene
    start_keyed(context)
    stream = scene.stream(25)
    process = find_process(context, role, scene.find_chain())
    process.pause()
    try:
        repeats = repeat_keyed(context, 1)
        fresh = scene.stream(3, 1)
        time.sleep(seconds)
    finally:
        process.resume()
    context.streams = (stream, fresh, context.keyed[1], repeats[1])
    context.orders = (context.keyed[0], repeats[0])


@behave.then('each of these answers is right or honest about what ran')
def check_honest(context):
    scene = context.scene
    answered = []
    for stream in (*context.streams, *context.orders):
        answer = stream.wait()
        answered.append((answer.outcome, answer.code))
        if stream in context.streams:
            asked = records.SentRequest(
                scene.team, answer, stream.prompt, stream.max_tokens
            )
            wrong = records.check_text(
                asked, model=scene.running.model, layers=scene.running.layers
            )
            assert not wrong, wrong
        allowed = {outcomes.Outcome.COMPLETE, *UNFINISHED, *BROKEN}
        assert answer.outcome in allowed, answer
        if answer.outcome == outcomes.Outcome.NOT_RUN:
            runs = scene.list_runs(
                deployment.ENGINE, request_id=answer.request_id
            )
            assert not runs, runs
    print(*answered)


@behave.then('a last repeat of each key is honest and no key ran twice')
def check_last(context):
    for stream in repeat_keyed(context, 2):
        outcome = stream.wait().outcome
        # Each request has run, so NOT_RUN would be a false outcome.
        allowed = {outcomes.Outcome.COMPLETE, outcomes.Outcome.UNKNOWN}
        assert outcome in allowed, stream.answer
    for key in context.keys:
        check_once(context.scene, key)


@behave.then('a completion is complete')
def check_completion(context):
    context.scene.check_stream(context.scene.stream(3))


def order_once(context):
    context.key = f'order-{time.time_ns()}'
    return context.scene.order(context.key).wait()


@behave.then('a new order is refused as "{outcome}" for "{code}"')
def check_refused(context, outcome, code):
    answer = order_once(context)
    assert (answer.outcome, answer.code) == (outcome, code), answer
    assert not list_key_runs(context.scene, context.key)


@behave.when('the store is back')
def restore_store(context):
    name = context.scene.running.plan.store.name
    context.scene.running.control(name, down=False)


@behave.then('that order is complete in time and ran once')
def check_later(context):
    scene = context.scene
    outcomes_scene.wait_until(
        lambda: scene.order(context.key).wait().is_complete, 'order complete'
    )
    check_once(scene, context.key)


@behave.when('the store is told to {fault}')
def inject_store_fault(context, fault):
    harm = {
        'answer late': {'slow_seconds': 0.4},
        'lose 3 answers': {'drop_answers': 3},
    }
    name = context.scene.running.plan.store.name
    context.scene.running.control(name, **harm[fault])


@behave.then('a new order is complete and ran once, also when repeated')
def check_order(context):
    first = order_once(context)
    again = context.scene.order(context.key, 1).wait()
    assert first.is_complete and again.is_complete, (first, again)
    assert first.body == again.body
    check_once(context.scene, context.key)


@behave.when('all agents of the last stage are killed in mid-stream')
def kill_last(context):
    scene = context.scene
    context.stream = scene.stream(40)
    last = scene.agents[scene.find_chain()[-1]].endpoint
    start = last.settings['layer_start']
    prompt = len(reference.tokenize(context.stream.prompt))

    def has_tokens():
        runs = scene.running.read_endpoint_runs(last.standin.name)
        return runs[-1]['positions'] > prompt + 2

    outcomes_scene.wait_until(has_tokens, 'some tokens')
    for agent in scene.list_engines():
        if agent.endpoint.settings['layer_start'] == start:
            scene.running.started[agent.name].kill()


@behave.then('the stream ends with an error event and without an end mark')
def check_unfinished(context):
    answer = context.stream.wait()
    assert answer.outcome == outcomes.Outcome.UNKNOWN, answer
    assert answer.error and answer.status == 200, answer
