"""Steps for request outcomes while real processes fail."""

import copy
import time

import behave
from dunlintide_trials import deployment
from dunlintide_trials import plans
import outcomes_scene


@behave.given('the deployment with relays is whole')
def start(context):
    context.scene = outcomes_scene.get_scene(context)
    context.stack.callback(context.scene.heal)


@behave.given('the engines take {milliseconds:d} ms a step')
def slow_all(context, milliseconds):
    context.scene.slow(milliseconds)


@behave.given(
    'the engines of the {stage} stage take {milliseconds:d} ms a step'
)
def slow_stage(context, stage, milliseconds):
    context.scene.slow(milliseconds, stage)


def start_stream(context, tokens):
    context.stream = context.scene.stream(tokens)
    context.chain = context.scene.find_chain()
    context.broke_at = time.monotonic()


@behave.when(
    'a caller streams {tokens:d} tokens and the {hop} connections go silent '
    '{how}'
)
def silence_stream(context, tokens, hop, how):
    start_stream(context, tokens)
    relay = context.scene.find_relay(plans.Hop(hop), context.chain)
    direction, _, rest = how.partition(',')
    relay.stall(outcomes_scene.DIRECTIONS[direction], new=bool(rest))


@behave.when('a caller streams {tokens:d} tokens and the middle engine hangs')
def hang_engine(context, tokens):
    start_stream(context, tokens)
    agent = context.scene.agents[context.chain[1]]
    context.scene.running.control(agent.endpoint.standin.name, hang=True)


@behave.when(
    'a caller streams {tokens:d} tokens and the {stage} agent is killed'
)
def kill_stage(context, tokens, stage):
    start_stream(context, tokens)
    name = context.chain[outcomes_scene.STAGES.index(stage)]
    context.scene.running.started[name].kill()


@behave.when('a caller streams {tokens:d} tokens')
def stream(context, tokens):
    context.stream = context.scene.stream(tokens)


@behave.then('the stream is the reference answer')
def check_stream(context):
    context.scene.check_stream(context.stream)


@behave.then(
    'the stream is the reference answer within {seconds:d} s of the failure'
)
def check_recovered(context, seconds):
    answer = context.scene.check_stream(context.stream)
    took = answer.ended - context.broke_at
    print(f'took {took:.2f} s')
    assert took < seconds, took


@behave.then('it ran in one epoch over one chain')
def check_one_epoch(context):
    request_id = context.stream.answer.request_id
    runs = context.scene.list_runs(deployment.ENGINE, request_id=request_id)
    assert len(runs) == len(outcomes_scene.STAGES), runs
    assert {run['epoch'] for run in runs} == {1}, runs


@behave.when('a caller reads a raw stream of {tokens:d} tokens')
def read_raw(context, tokens):
    connection = context.scene.connect()
    context.stack.callback(connection.close)
    context.scene.ask(connection, tokens, stream=True)
    with connection.getresponse() as answer:
        assert answer.status == 200, answer.read()
        context.times = []
        while answer.read1():
            context.times.append(time.monotonic())


@behave.then('no pause in the raw stream is longer than {seconds:f} s')
def check_pauses(context, seconds):
    pauses = [b - a for a, b in zip(context.times, context.times[1:])]
    assert pauses and max(pauses) < seconds, pauses


@behave.when('the entry-store connections go silent')
def silence_store(context):
    for (hop, _), relay in context.scene.running.relays.items():
        if hop is plans.Hop.ENTRY_STORE:
            relay.stall()


@behave.when("the operators refuse a team's completions")
def refuse_team(context):
    scene = context.scene
    rules = copy.deepcopy(scene.rules)
    rule = {
        'name': 'paused',
        'when': {'member': scene.team, 'model': scene.running.model},
        'then': {'action': 'refuse', 'reason': 'paused'},
    }
    rules['rules'].insert(0, rule)
    scene.running.apply_rules(rules).check()


@behave.then('every entry refuses that team within {seconds:d} s')
def check_refusals(context, seconds):
    scene = context.scene

    def refuse_all():
        answers = [
            scene.make_caller(entry).complete(
                outcomes_scene.PROMPT, model=scene.running.model, max_tokens=1
            )
            for entry in range(len(scene.running.plan.entries))
        ]
        return all(answer.status == 403 for answer in answers)

    outcomes_scene.wait_until(refuse_all, 'every entry refuses', seconds)
