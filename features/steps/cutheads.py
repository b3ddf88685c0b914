"""Steps for answers and requests that end within their head."""

import asyncio
import contextlib
import itertools
import socket
import struct
import threading
from unittest import mock

import behave
from dunlintide_adapters import bodies
from dunlintide_adapters import boundedhttp
from dunlintide_adapters import callerhttp
from dunlintide_adapters import callermessages
from dunlintide_adapters import engine
from dunlintide_adapters.wire import link_pb2
from dunlintide_daemon.agent import services
from dunlintide_standins.fleet import callers
import endlessreads
import urllib3

WAIT_SECONDS = 5.0
_HEAD = b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
_LENGTH = _HEAD + b'Content-Length: 2\r\n\r\n{}'
KINDS = {
    'an answer with a length': _LENGTH,
    'an answer in chunks': (
        _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
        b'2;x=y\r\n{}\r\n0\r\nX-Sum: 1\r\n\r\n'
    ),
    'an answer without a body': (
        b'HTTP/1.1 204 No Content\r\nServer: x\r\nX-Sum: 1\r\n\r\n'
    ),
    'an answer behind an interim one': (
        b'HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n' + _LENGTH
    ),
}
# Sound answers of the calls that decode their body.
_BODIES = {
    'the host list': b'{"hosts": []}',
    'a transaction': b'{"header": {"revision": "1"}, "kvs": []}',
    'another entry': b'a configuration',
    'a store call': b'{"key": "k", "value": null, "revision": 1}',
}
_REQUEST = (
    b'POST /x HTTP/1.1\r\nHost: x\r\nX-Sum: 1\r\nContent-Length: 2\r\n\r\n{}'
)


class RawServer:
    """A server that sends the same bytes to each request, and closes.

    :ivar answer: what it sends
    """

    def __init__(self, is_reset=False, keeps_open=False):
        """Listen on a port of its own.

        :param is_reset: whether connections end with a reset
        :param keeps_open: whether connections stay open until it is closed
        """
        self.answer = b''
        self._is_reset = is_reset
        self._keeps_open = keeps_open
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        self._thread = threading.Thread(target=self._run)
        self._thread.start()

    def _run(self):
        with contextlib.ExitStack() as stack:
            while True:
                try:
                    connection, _ = self._listener.accept()
                except OSError:
                    return
                stack.enter_context(connection)
                with contextlib.suppress(OSError):
                    self._serve(connection)
                if not self._keeps_open:
                    connection.close()

    def _serve(self, connection):
        connection.settimeout(WAIT_SECONDS)
        received = connection.recv(65536)
        if b'\r\n\r\n' not in received:
            received += connection.recv(65536)
        connection.sendall(self.answer)
        if self._is_reset:
            linger = struct.pack('ii', 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    def close(self):
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()


def _play(context, answer, sizes, read, is_reset=False):
    """Read an answer of each size; note those that are taken for whole.

    :param read: returns whether an answer of an address is taken for whole
    """
    with contextlib.closing(RawServer(is_reset)) as server:
        context.whole = []
        for size in sizes:
            server.answer = answer[:size]
            if read(server.address):
                context.whole.append(size)
    context.size = len(answer)
    context.is_reset = is_reset


def _read_preloaded(address):
    pool = boundedhttp.build_pool(f'http://{address}')
    pool.request('GET', '/', timeout=WAIT_SECONDS)


def _read_bounded(address):
    pool = boundedhttp.build_pool(f'http://{address}')
    answer = pool.request(
        'GET', '/', timeout=WAIT_SECONDS, preload_content=False
    )
    bodies.read(answer, 1000, WAIT_SECONDS)


def _read_stream(address):
    pool = boundedhttp.build_pool(f'http://{address}', is_stream=True)
    answer = pool.request(
        'GET', '/', timeout=WAIT_SECONDS, preload_content=False
    )
    for _ in answer.stream():
        pass


@behave.when(
    '{kind} is cut at each byte and closed by {end}, read by a client on'
    ' threads'
)
def cut_each(context, kind, end):
    reads = itertools.cycle((_read_preloaded, _read_bounded, _read_stream))

    def read(address):
        try:
            next(reads)(address)
        except urllib3.exceptions.HTTPError:
            return False
        return True

    answer = KINDS[kind]
    # Each of the three ways reads each size, in turn.
    sizes = [size for size in range(len(answer) + 1) for _ in range(3)]
    _play(context, answer, sizes, read, end == 'RST')


@behave.then('only whole answers are taken for whole')
def check_whole(context):
    cut = [size for size in context.whole if size < context.size]
    assert not cut, (cut, context.size)
    # A reset may overtake the end of a whole answer.
    assert context.whole or context.is_reset


# Clients of the product and of the stand-ins.


def _relay(address):
    """Return whether the agent of a plain service ends a call as whole."""
    gate = mock.Mock()
    caller = services.ServiceCaller(f'http://{address}', 1, gate, lambda: 0.0)
    request = mock.Mock(deadline=WAIT_SECONDS, request_id='r')
    caller._active[request] = None
    caller._run(request, link_pb2.Call(method='GET', path='/x'))
    caller.close()
    assert gate.end.called != gate.fail.called
    return gate.end.called


def _ask_as_caller(address):
    with contextlib.closing(callers.Caller(address)) as caller:
        caller.send(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        try:
            return caller.read_answer().is_complete
        except (OSError, ValueError, IndexError):
            return False


def _read_as(call, address):
    """Return whether an answer is taken for whole."""
    url = f'http://{address}'
    if call == 'a relayed call':
        return _relay(address)
    if call == "a caller's request":
        return _ask_as_caller(address)
    if call in ('a report', 'an order', 'a store call', 'another entry'):
        _, has_failed = asyncio.run(
            endlessreads._measure(call, address, WAIT_SECONDS)
        )
        return not has_failed
    holding = engine.EngineHolding()
    read = {
        'an import': lambda: engine.Engine(url).import_session('s', b'x'),
        'the end of a session': lambda: engine.Engine(url).free('s'),
        'an order of layers': lambda: engine.Engine(url).send_order(
            1, holding, WAIT_SECONDS
        ),
    }.get(call)
    if read is None:
        return not endlessreads._read_on_thread(call, address)
    return read().is_ok()


@behave.when(
    'an answer is cut at each byte of its head and read as one to {call}'
)
def cut_head(context, call):
    body = _BODIES.get(call, b'{}')
    answer = _HEAD + b'Content-Length: %d\r\n\r\n' % len(body) + body
    head_size = len(answer) - len(body)
    sizes = [*range(head_size + 1), len(answer)]
    _play(context, answer, sizes, lambda address: _read_as(call, address))


# Requests of callers.


@behave.when('a request is cut at each byte and its caller closes its side')
def cut_requests(context):
    limits = callermessages.RequestLimits(8000, 1000, 5.0, 5.0)
    context.served = []

    async def run():
        size = 0

        async def handle(request, reply):
            context.served.append(size)
            reply.send(callermessages.Head(200))

        server = callerhttp.CallerServer(handle, limits, lambda *_: None)
        port = await server.listen('127.0.0.1', 0)
        for size in range(len(_REQUEST) + 1):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            writer.write(_REQUEST[:size])
            if size < len(_REQUEST):
                writer.write_eof()
                await reader.read()
            else:
                await reader.readline()
            writer.close()
        server.close()

    asyncio.run(run())


@behave.then('only the whole request is served')
def check_served(context):
    assert context.served == [len(_REQUEST)], context.served
