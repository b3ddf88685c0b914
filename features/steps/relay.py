"""Steps for the fault-injecting relay, over plain sockets."""

import socket
import time

import behave
from dunlintide_standins import relay
from dunlintide_standins import service

REQUEST = b'GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n'
SILENCE_SECONDS = 0.3
WAIT_SECONDS = 20.0
HOLDS = {
    'in both directions': {},
    'forward': {'direction': relay.Direction.FORWARD},
    'backward': {'direction': relay.Direction.BACKWARD},
    'and all new ones': {'new': True},
}


def connect(context):
    address = ('127.0.0.1', context.relay.port)
    opened = socket.create_connection(address, WAIT_SECONDS)
    return context.stack.enter_context(opened)


def ask(connection, seconds=WAIT_SECONDS):
    """Send a request; return the answer, empty if the connection ended."""
    connection.settimeout(seconds)
    connection.sendall(REQUEST)
    return connection.recv(4096)


def is_silent(connection):
    try:
        ask(connection, SILENCE_SECONDS)
    except TimeoutError:
        return True
    return False


@behave.given('a relay before a stand-in service, with one connection in use')
def start_relay(context):
    one = service.Service.from_config(service.Config())
    one.start()
    context.stack.callback(one.stop)
    target = f'127.0.0.1:{one.port}'
    context.relay = relay.Relay('127.0.0.1:0', target)
    context.stack.callback(context.relay.stop)
    context.connection = connect(context)
    assert ask(context.connection).startswith(b'HTTP/1.1 200')


@behave.when('the relay holds open connections {which}')
def hold(context, which):
    context.relay.stall(**HOLDS[which])


@behave.when('the relay loses the next answer')
def lose(context):
    context.relay.lose(1)


@behave.when('the relay lets held connections go on')
def resume_held(context):
    context.relay.resume()


@behave.when('the relay cuts its connections')
def cut(context):
    context.relay.cut()


@behave.when('the relay takes {delay:f} s each way at {rate:d} bytes a second')
def shape(context, delay, rate):
    context.relay.shape(delay=delay, rate=rate)


@behave.when('the relay passes on {bandwidth:d} bytes a second in all')
def narrow(context, bandwidth):
    context.bandwidth = bandwidth
    context.relay.narrow(bandwidth)


@behave.then(
    '{count:d} answers at the same time take as long as all their bytes'
)
def check_shared(context, count):
    connections = [connect(context) for _ in range(count)]
    began = time.monotonic()
    for each in connections:
        each.sendall(REQUEST)
    answers = [each.recv(4096) for each in connections]
    took = time.monotonic() - began
    expected = sum(map(len, answers)) / context.bandwidth
    assert expected <= took <= 2 * expected + 1.0, (took, expected)


@behave.then('the relayed connection in use gets no answer')
def check_silent(context):
    assert is_silent(context.connection)


@behave.then('the relayed connection in use gets the answer that was held')
def check_held(context):
    context.connection.settimeout(WAIT_SECONDS)
    assert context.connection.recv(4096).startswith(b'HTTP/1.1 200')


@behave.then('the relayed connection in use is reset')
def check_reset(context):
    try:
        assert ask(context.connection) == b''
    except ConnectionError:
        pass


@behave.then('a new relayed connection works')
def check_new(context):
    assert ask(connect(context)).startswith(b'HTTP/1.1 200')


@behave.then('a new relayed connection gets no answer')
def check_new_silent(context):
    assert is_silent(connect(context))


@behave.then('an answer through the relay takes at least {seconds:f} s')
def check_slow(context, seconds):
    began = time.monotonic()
    assert ask(connect(context)).startswith(b'HTTP/1.1 200')
    assert time.monotonic() - began >= seconds
