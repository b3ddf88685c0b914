"""Steps for calls to endpoints that close their connections."""

import socket
import threading

import behave

from dunlintide_adapters import engine as engines
from dunlintide_adapters.wire import link_pb2
from dunlintide_daemon.agent import services

CALLS = 4
WAIT_SECONDS = 10.0
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
END = b'\r\n\r\n'


class Endpoint:
    """Answer one request per connection and close it on further data."""

    def __init__(self):
        self.connections = 0
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.url = f'http://127.0.0.1:{self._listener.getsockname()[1]}'
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        with connection:
            head = b''
            while END not in head:
                head += connection.recv(4096)
            connection.sendall(ANSWER)
            connection.recv(4096)

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join(WAIT_SECONDS)


class FakeGate:
    """Admit every call at once and record its failures."""

    def __init__(self):
        self.ended = threading.Event()
        self.faults = []

    def open(self, work, claim, subscriber):
        work.start(work)

    def send(self, work, frame):
        pass

    def end(self, work):
        self.ended.set()

    def fail(self, work, code, detail, ran=True):
        self.faults.append(detail)
        self.ended.set()


@behave.given('an endpoint that closes each connection at its second request')
def start_endpoint(context):
    context.endpoint = Endpoint()
    context.stack.callback(context.endpoint.close)


def make_engine(context):
    engine = engines.Engine(context.endpoint.url, WAIT_SECONDS)
    context.stack.callback(engine.close)
    return engine


def collect(context, ask):
    answers = [ask() for _ in range(CALLS)]
    context.faults = [one.err_value for one in answers if one.is_err()]


@behave.when('health checks of an engine are made one after another')
def check_health(context):
    collect(context, make_engine(context).check_health)


@behave.when("reads of an engine's load are made one after another")
def read_load(context):
    collect(context, make_engine(context).read_load)


@behave.when('calls of a service are made one after another')
def call_service(context):
    gate = FakeGate()
    calls = services.ServiceCaller(context.endpoint.url, 1, gate)
    context.stack.callback(calls.close)
    for number in range(CALLS):
        terms = link_pb2.Terms(
            request_id=f'call-{number}', deadline_ms=int(WAIT_SECONDS * 1000)
        )
        call = link_pb2.Call(terms=terms, epoch=1, method='POST', path='/')
        calls.call(None, call)
        assert gate.ended.wait(WAIT_SECONDS)
        gate.ended.clear()
    context.faults = gate.faults


@behave.then('all are answered, each over a connection of its own')
def check_answers(context):
    assert not context.faults, context.faults
    assert context.endpoint.connections == CALLS
