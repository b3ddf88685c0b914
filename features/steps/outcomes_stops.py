"""Steps for the graceful stop of entries and services."""

import time

import behave
from dunlintide_core import outcomes
from dunlintide_trials import client
from dunlintide_trials import deployment
import outcomes_scene

ENTRY = 'entry-0'
TRIES = 3


@behave.when('the entry of a long stream is told to stop')
def stop_entry(context):
    scene = context.scene
    context.stream = scene.stream(90)
    scene.find_chain()
    context.before = scene.list_runs(deployment.ENGINE)
    scene.stop(ENTRY)


@behave.then(
    'it is not ready, and {seconds:d} s later no new request of it runs'
)
def check_entry(context, seconds):
    scene = context.scene
    [entry] = [one for one in scene.running.plan.entries if one.name == ENTRY]
    outcomes_scene.wait_until(
        lambda: not scene.running.is_ready(entry.admin_url), 'not ready'
    )
    time.sleep(seconds)
    answers = [scene.stream(2).wait() for _ in range(TRIES)]
    assert {one.outcome for one in answers} == {client.LOST}, answers
    known = {run['request_id'] for run in context.before}
    ran = {
        run['request_id'] for run in scene.list_runs(deployment.ENGINE)
    } - known
    assert not ran, ran


def call(context):
    scene = context.scene
    caller = scene.make_caller(1)
    service = context.service
    return outcomes_scene.Stream(
        lambda: caller.call_service(service.name, service.path),
        team=scene.team,
    )


@behave.when('the agent of a service is told to stop with a call in flight')
def stop_service(context):
    scene = context.scene
    context.service = scene.running.plan.blueprint.services[1]
    name = scene.find_service(context.service.name)
    context.endpoint = scene.agents[name].endpoint.standin.name
    before = len(list_calls(context))
    context.call = call(context)
    outcomes_scene.wait_until(
        lambda: len(list_calls(context)) > before, 'a call'
    )
    context.calls = list_calls(context)
    scene.stop(name)


def list_calls(context):
    return context.scene.running.read_endpoint_runs(context.endpoint)


@behave.then('{seconds:d} s later no new call runs at its service')
def check_calls(context, seconds):
    time.sleep(seconds)
    answers = [call(context).wait() for _ in range(TRIES)]
    found = {one.outcome for one in answers}
    assert found == {outcomes.Outcome.NOT_RUN}, answers
    assert list_calls(context) == context.calls


@behave.then('the call in flight is complete')
def check_call(context):
    assert context.call.wait().is_complete, context.call.answer
