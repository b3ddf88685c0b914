"""Steps for agents in front of a plain service."""

import agent_scene
import behave
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import settings
from dunlintide_standins import service as services
import urllib3

wait_until = agent_scene.wait_until
# Longer than any scenario lasts.
SLOW_SECONDS = 600.0


def start_service_agent(context, max_in_flight=0, **more):
    context.service = services.Service.from_config(services.Config(**more))
    context.service.start()
    context.stack.callback(context.service.stop)
    endpoint = settings.EndpointSettings(
        kind=fleet.EndpointKind.SERVICE,
        url=f'http://127.0.0.1:{context.service.port}',
        service='orders',
        max_in_flight=max_in_flight,
    )
    context.agents = [agent_scene.start_agent(context, 'agent-s', endpoint)]
    context.caller = agent_scene.Caller(context.agents[0].address)
    context.stack.callback(context.caller.dialer.stop)


@behave.given('an agent before a plain service')
def start_service(context):
    start_service_agent(context)


@behave.given(
    'an agent that makes {count:d} calls at a time to a service that is slow'
)
def start_slow_service(context, count):
    start_service_agent(context, count, delay_seconds=SLOW_SECONDS)


@behave.when(
    '{count:d} calls are made and cancelled while the service has them'
)
def cancel_calls(context, count):
    names = [f'c{number}' for number in range(count)]
    for name in names:
        call_service(context, name)
    wait_until(lambda: len(context.service.runs()) == count, 'runs')
    for name in names:
        cancel = link_pb2.Cancel(request_id=name, epoch=1)
        context.caller.send(cancel=cancel)
    for name in names:
        agent_scene.check_fail(context, name, 'cancelled', True)


@behave.when('the service is slow no more')
def mend_service(context):
    url = f'http://127.0.0.1:{context.service.port}/control'
    body = {'delay_seconds': 0.0}
    answer = urllib3.request('POST', url, json=body, retries=False)
    assert answer.status == 200, answer.data


@behave.then(
    'a later call is answered though the service has the first {count:d} still'
)
def check_later_call(context, count):
    call_service(context, 'later')
    assert wait_reply(context, 'later')[0].status == 200
    assert len(context.service.runs()) == count + 1


def call_service(context, request_id, **more):
    terms = link_pb2.Terms(
        request_id=request_id,
        team='diner',
        weight=1.0,
        deadline_ms=agent_scene.DEADLINE_MS,
        idempotency_key='key-1' if more else '',
    )
    call = link_pb2.Call(
        terms=terms,
        epoch=1,
        method='POST',
        path='/orders/new?size=2',
        headers=[link_pb2.Header(name='Connection', value='x-secret')],
        body=b'{}',
        **more,
    )
    context.caller.send(call=call)


@behave.when('a claimed call is made twice')
def call_twice(context):
    for request_id in ('c1', 'c2'):
        claim = agent_scene.build_claim(context, b'key')
        call_service(context, request_id, claim=claim)


def wait_reply(context, request_id):
    def is_whole():
        replies = context.caller.take(request_id, 'reply')
        return replies and replies[-1].last

    wait_until(is_whole, f'reply to {request_id}')
    return context.caller.take(request_id, 'reply')


@behave.then('both callers get the same echoed answer')
def check_replies(context):
    first, second = (wait_reply(context, name) for name in ('c1', 'c2'))
    assert first[0].status == second[0].status == 200
    body = b''.join(part.body for part in first)
    assert b'/orders/new' in body
    assert b''.join(part.body for part in second) == body


@behave.then('the service ran one call, with the team and the key')
def check_service_runs(context):
    (run,) = context.service.runs()
    assert run['request_id'] == 'c1', run
    assert (run['member'], run['idempotency_key']) == ('diner', 'key-1')


@behave.when('the service is gone')
def stop_service(context):
    context.service.stop()


@behave.when('a call is made')
def call_once(context):
    call_service(context, 'c3')


@behave.then('the call fails with "{code}" and did not run')
def check_call_failed(context, code):
    agent_scene.check_fail(context, 'c3', code, False)
