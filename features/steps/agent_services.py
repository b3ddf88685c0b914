"""Steps for agents in front of a plain service."""

import time

import agent_scene
import behave
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet
from dunlintide_core import settings
from dunlintide_standins.fleet import endless
from dunlintide_standins.fleet import wire
from dunlintide_standins import service as services
from dunlintide_trials.edge import scene as scenes
from dunlintide_trials import processes
import urllib3

wait_until = agent_scene.wait_until
# Longer than any scenario lasts.
SLOW_SECONDS = 600.0


def start_service_agent(context, max_in_flight=0, **more):
    context.service = services.Service.from_config(services.Config(**more))
    context.service.start()
    context.stack.callback(context.service.stop)
    _start_agent(context, context.service.port, max_in_flight)


def _start_agent(context, port, max_in_flight=0):
    endpoint = settings.EndpointSettings(
        kind=fleet.EndpointKind.SERVICE,
        url=f'http://127.0.0.1:{port}',
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


@behave.given(
    'an agent before a service that answers with {kind} that never end'
)
def start_endless_service(context, kind):
    context.sent_bytes = []
    chosen = endless.Endless(kind)

    async def pour(request, channel):
        place = len(context.sent_bytes)
        context.sent_bytes.append(0)
        data, number = chosen.begin(''), 0
        while True:
            await channel.send(data)
            context.sent_bytes[place] += len(data)
            data, number = chosen.repeat(number), number + 1

    loop = scenes.Loop()
    context.stack.callback(loop.close)
    server = loop.run(wire.listen(pour))
    context.stack.callback(loop.loop.call_soon_threadsafe, server.close)
    _start_agent(context, server.sockets[0].getsockname()[1])


@behave.when('a call and a claimed call are made')
def call_both(context):
    context.memory = processes.read_peak_memory('self')
    context.began = time.monotonic()
    call_service(context, 'c1')
    claim = agent_scene.build_claim(context, b'key')
    call_service(context, 'c2', claim=claim)


@behave.then('both fail with "{code}" within {seconds:g} s and may have run')
def check_both_failed(context, code, seconds):
    for name in ('c1', 'c2'):
        agent_scene.check_fail(context, name, code, True)
    assert time.monotonic() - context.began <= seconds


@behave.then('the service has sent at most {size:d} MB for each')
def check_sent(context, size):
    assert len(context.sent_bytes) == 2, context.sent_bytes
    assert max(context.sent_bytes) <= size << 20, context.sent_bytes


@behave.then('the agent has grown by at most {size:d} MB')
def check_agent_memory(context, size):
    grown = processes.read_peak_memory('self') - context.memory
    assert grown <= size << 20, grown
