"""Steps for HTTP services that stop answering."""

import time

import behave
from dunlintide_core import outcomes
from dunlintide_standins import relay
from dunlintide_trials import plans
import outcomes_scene

SECONDS = 1.0
REPEATS = 3


def ask(context, entry=0):
    """Send the scenario's request, with its idempotency key if any."""
    scene = context.scene
    if context.key:
        return scene.order(context.key, entry)
    service = context.service
    caller = scene.make_caller(entry)
    return outcomes_scene.Stream(
        lambda: caller.call_service(service.name, service.path),
        team=scene.team,
    )


def list_runs(context):
    name = context.endpoint
    return context.scene.running.read_endpoint_runs(name)[context.before :]


def name_key(context):
    is_order = context.service.name == 'orders'
    return f'silent-{time.time_ns()}' if is_order else ''


@behave.given('the service of {name} has answered')
def answer_once(context, name):
    scene = context.scene
    services = scene.running.plan.blueprint.services
    [context.service] = [one for one in services if one.name == name]
    context.agent = scene.find_service(name)
    context.endpoint = scene.agents[context.agent].endpoint.standin.name
    context.before = 0
    context.key = name_key(context)
    assert ask(context).wait().is_complete
    context.before = len(list_runs(context))
    context.key = name_key(context)


@behave.when('it takes calls and never answers')
def hang(context):
    context.scene.running.control(context.endpoint, hang=True)
    context.asked = ask(context)


@behave.when('it runs calls and its answers stall')
def stall(context):
    context.scene.running.control(context.endpoint, delay_seconds=SECONDS)
    context.asked = ask(context)
    outcomes_scene.wait_until(lambda: list_runs(context), 'a run')
    find_relay(context).stall(relay.Direction.BACKWARD)


def find_relay(context):
    hop = plans.Hop.AGENT_SERVICE, context.agent
    return context.scene.running.relays[hop]


def check_unknown(answer):
    found = (answer.outcome, answer.code)
    wanted = {(outcomes.Outcome.UNKNOWN, 'deadline')}
    # The first caller to reach the deadline ends the attempt, so requests
    # attached to it find its answer gone.
    wanted.add((outcomes.Outcome.UNKNOWN, 'answer-gone'))
    assert found in wanted, answer


@behave.then('an order is unknown at its deadline, and so is each repeat')
def check_orders(context):
    repeats = [ask(context, number) for number in range(REPEATS)]
    answer = context.asked.wait()
    assert answer.code == 'deadline', answer
    for one in (context.asked, *repeats):
        check_unknown(one.wait())


@behave.then('a call is unknown at its deadline')
def check_call(context):
    answer = context.asked.wait()
    assert answer.code == 'deadline', answer
    check_unknown(answer)


@behave.when('it is well again')
def end_fault(context):
    # Until the agent gives up the calls, the service could still answer
    # them.
    outcomes_scene.wait_until(
        lambda: not context.scene.read_gate(context.agent)['works'],
        'the agent has given up the calls',
    )
    find_relay(context).resume()
    context.scene.running.control(
        context.endpoint, hang=False, delay_seconds=0.0
    )


@behave.then('a last repeat is unknown too and the order ran {runs:d} times')
def check_last(context, runs):
    check_unknown(ask(context, 1).wait())
    ran = [
        run
        for run in list_runs(context)
        if run['idempotency_key'] == context.key
    ]
    assert len(ran) == runs, ran


@behave.then('a new order is complete and ran once')
def check_new(context):
    context.key = name_key(context)
    assert ask(context).wait().is_complete
    keys = [run['idempotency_key'] for run in list_runs(context)]
    assert keys.count(context.key) == 1, keys


@behave.then('calls are complete at once')
def check_calls(context):
    for entry in range(REPEATS):
        answer = ask(context, entry).wait()
        assert answer.is_complete, answer
