"""Steps for the stand-ins of service, host list and weight store.

Also covers running each stand-in as a process.
"""

import base64
from concurrent import futures
import json
import subprocess
import sys
import time

import behave
from dunlintide_standins.engine import messages
from dunlintide_standins import hosts
from dunlintide_standins import reference
from dunlintide_standins import service
from dunlintide_standins import weights
import standin_calls


@behave.given('a stand-in service that loses the next answer')
def given_service(context):
    plain = service.Service.from_config(service.Config())
    context.service = standin_calls.start(context, plain)
    standin_calls.post(context.service, '/control', {'drop_answers': 1})


@behave.when('a call to the stand-in service gets no answer')
def lose_call(context):
    standin_calls.expect_no_answer(
        context.service, 'PUT', '/orders/7?x=1', {'n': 1}
    )


@behave.then('the stand-in service has recorded that call')
def check_recorded(context):
    (run,) = standin_calls.call(context.service, 'GET', '/runs').json()
    assert (run['method'], run['path']) == ('PUT', '/orders/7?x=1'), run


@behave.given('a stand-in host list that lags by 1 second')
def given_hosts(context):
    config = hosts.Config(lag_seconds=1.0)
    context.hosts = standin_calls.start(
        context, hosts.HostList.from_config(config)
    )


@behave.then('a change shows in the stand-in host list, but not at once')
def check_lag(context):
    host = {'name': 'a', 'role': 'agent', 'address': '127.0.0.1:1'}
    host |= {'failure_domain': 'd', 'region': 'r', 'state': 'leaving'}
    started = time.monotonic()
    standin_calls.post(context.hosts, '/control', {'hosts': [host]})

    def is_shown():
        listed = standin_calls.call(context.hosts, 'GET', '/hosts').json()[
            'hosts'
        ]
        return listed == [host]

    standin_calls.wait_until(is_shown)
    assert time.monotonic() - started >= 1.0


@behave.given('a stand-in weight store of {rate:d} bytes a second')
def given_weights(context, rate):
    config = weights.Config(layer_bytes=100_000, bytes_per_second=rate)
    context.weights = standin_calls.start(
        context, weights.WeightStore.from_config(config)
    )


@behave.then('two readers of {size:d} bytes each take half a second at least')
def check_rate(context, size):
    def read(layer):
        answer = standin_calls.call(
            context.weights, 'GET', f'/weights/m/1/{layer}'
        )
        return len(answer.data)

    started = time.monotonic()
    with futures.ThreadPoolExecutor() as pool:
        assert list(pool.map(read, (0, 1))) == [size, size]
    assert time.monotonic() - started >= 0.5


# Processes


class Process:
    """The process of a stand-in and the port it listens on."""

    def __init__(self, context, name, *flags):
        command = [sys.executable, '-m', f'dunlintide_standins.{name}']
        self.child = subprocess.Popen(
            [*command, '--listen', '127.0.0.1:0', *flags],
            stdout=subprocess.PIPE,
        )
        context.stack.enter_context(self.child)
        context.stack.callback(self.child.kill)
        self.ready = json.loads(self.child.stdout.readline())
        self.port = self.ready['port']


@behave.when('the stand-in "{name}" runs as a process')
def run_process(context, name):
    context.process = Process(context, name)


@behave.then('the stand-in says its port, answers there, and ends on SIGTERM')
def check_process(context):
    assert context.process.ready['ready'] is True
    assert standin_calls.call(context.process, 'GET', '/control').status == 200
    context.process.child.terminate()
    assert context.process.child.wait(standin_calls.WAIT_SECONDS) == -15


@behave.when('a stand-in engine process gets a prompt with its crash marker')
def crash(context):
    engine = Process(context, 'engine', '--crash_marker', 'BOOM')
    context.process = engine
    standin_calls.post(
        engine, '/v1/steps', {'steps': [{'session': 'a', 'prompt': 'fine'}]}
    )
    steps = {'steps': [{'session': 'b', 'prompt': 'it goes BOOM now'}]}
    standin_calls.expect_no_answer(engine, 'POST', '/v1/steps', steps)


@behave.when(
    'a stand-in engine process of later layers gets a marked first word'
)
def crash_later(context):
    engine = Process(
        context,
        'engine',
        '--layer_start=4',
        '--layer_end=8',
        '--crash_word=BOOM',
    )
    context.process = engine
    constants = reference.get_layer_weights('copy-7b', '1', 0, 4)
    for prompt, crashes in (('not BOOM', False), ('BOOM it goes', True)):
        inputs = reference.embed(reference.tokenize(prompt))
        values = reference.run_layers(constants, [0] * 4, inputs)
        data = base64.b64encode(messages.pack(values)).decode()
        steps = {'steps': [{'session': prompt, 'activations': data}]}
        if crashes:
            standin_calls.expect_no_answer(engine, 'POST', '/v1/steps', steps)
        else:
            standin_calls.post(engine, '/v1/steps', steps)


@behave.then('the stand-in engine process has exited with status 1')
def check_crash(context):
    assert context.process.child.wait(standin_calls.WAIT_SECONDS) == 1
