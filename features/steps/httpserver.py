"""Steps for limits, backpressure and stops of the HTTP server."""

from concurrent import futures
import contextlib
from http import client
import pathlib
import socket
import ssl
import tempfile
import threading
import time
from unittest import mock

import behave
from dunlintide_adapters import certificates
from dunlintide_adapters import httpchannel
from dunlintide_adapters import httpserver
from dunlintide_adapters import tlssockets
from dunlintide_trials import authority
import urllib3
import waiting

WAIT_SECONDS = 20.0
wait_until = waiting.make_wait(WAIT_SECONDS)
CHUNK = b'x' * (1 << 20)


class Application:
    """Answer by path and count runs and produced bytes."""

    def __init__(self):
        self.runs = 0
        self.produced = 0
        self.saw_hang_up = threading.Event()
        self.closed = threading.Event()
        self.release = threading.Event()

    def _produce(self, chunks):
        try:
            for _ in range(chunks):
                self.produced += len(CHUNK)
                yield CHUNK
        finally:
            self.closed.set()

    def _send_at_once(self, send_now):
        self.early = send_now(CHUNK)
        yield b'<'
        while send_now(CHUNK):
            self.produced += len(CHUNK)
        self.closed.set()
        yield b'>'

    def __call__(self, environ, start_response):
        self.runs += 1
        path = environ['PATH_INFO']
        start_response('200 OK', [('Content-Type', 'text/plain')])
        if path.startswith('/big/'):
            return self._produce(int(path.rpartition('/')[2]))
        if path == '/late':
            environ[httpchannel.SET_SEND_DEADLINE](time.monotonic() + 0.5)
            return self._produce(64)
        if path == '/at-once':
            return self._send_at_once(environ[httpchannel.SEND_NOW])
        if path == '/hold':
            self.release.wait(WAIT_SECONDS)
        if path == '/gone':
            wait_until(environ['waitress.client_disconnected'])
            self.saw_hang_up.set()
        return [b'answer']


def fetch(context, method, path, **options):
    return context.http.request(
        method, f'{context.url}{path}', retries=False, **options
    )


def serve(context, threads, **options):
    context.application = Application()
    context.server = httpserver.HttpServer.from_config(
        context.application, '127.0.0.1:0', threads, **options
    )
    context.server.start()
    context.add_cleanup(context.server.stop, 0)
    context.add_cleanup(context.application.release.set)
    scheme = 'https' if 'tls_wrapper' in options else 'http'
    context.url = f'{scheme}://127.0.0.1:{context.server.port}'
    context.http = urllib3.PoolManager(
        maxsize=8, ssl_context=getattr(context, 'client_tls', None)
    )


@behave.given(
    'an HTTP server for {threads:d} requests at once and bodies of '
    '{size:d} bytes'
)
def start_server(context, threads, size):
    patch = mock.patch.object(
        tempfile, 'TemporaryFile', side_effect=AssertionError('spilled')
    )
    context.temporary = patch.start()
    context.add_cleanup(patch.stop)
    # Registered before the server, so it shuts down after the server, for
    # which its threads wait.
    context.pool = futures.ThreadPoolExecutor(8)
    context.add_cleanup(context.pool.shutdown)
    serve(context, threads, max_body=size)


@behave.given(
    'an HTTPS server for {threads:d} requests at once and bodies of '
    '{size:d} bytes'
)
def start_tls_server(context, threads, size):
    context.pool = futures.ThreadPoolExecutor(8)
    context.add_cleanup(context.pool.shutdown)
    context.folder = context.make_folder()
    context.issuer = authority.Authority()
    secure = tlssockets.Wrapper.from_paths(renew_certificate(context), 0.0)
    context.client_tls = ssl.create_default_context(
        cadata=context.issuer.certificate.decode()
    )
    context.secure = secure
    serve(context, threads, max_body=size, tls_wrapper=secure)


def renew_certificate(context):
    written = context.issuer.write(context.folder, 'entry', 'entry-1')
    paths = {name: pathlib.Path(path) for name, path in written.items()}
    return certificates.Paths(paths['certificate'], paths['key'])


def connect(context):
    address = ('127.0.0.1', context.server.port)
    plain = socket.create_connection(address, WAIT_SECONDS)
    context.add_cleanup(plain.close)
    wrapped = context.client_tls.wrap_socket(
        plain, server_hostname='127.0.0.1'
    )
    context.add_cleanup(wrapped.close)
    return wrapped


def ask(connection):
    connection.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
    received = b''
    while not received.endswith(b'answer'):
        piece = connection.recv(1 << 16)
        assert piece, received
        received += piece


@behave.when('an HTTPS caller asks to be waited for and hangs up')
def hang_up_tls(context):
    with connect(context) as connection:
        connection.sendall(b'GET /gone HTTP/1.1\r\nHost: x\r\n\r\n')
        wait_until(lambda: context.server.in_flight == 1)


@behave.when(
    '{count:d} connections send the beginning of a handshake and no more'
)
def begin_handshakes(context, count):
    address = ('127.0.0.1', context.server.port)
    for _ in range(count):
        connection = socket.create_connection(address, WAIT_SECONDS)
        context.add_cleanup(connection.close)
        connection.sendall(b'\x16\x03\x01')


@behave.when('a caller sends a request without TLS')
def send_plain(context):
    address = ('127.0.0.1', context.server.port)
    context.silent = socket.create_connection(address, WAIT_SECONDS)
    context.add_cleanup(context.silent.close)
    context.silent.sendall(b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')


@behave.then('the connection ends without an answer')
def check_no_answer(context):
    received = b''
    # The connection may be reset, as the server has not read all data.
    with contextlib.suppress(ConnectionResetError):
        while piece := context.silent.recv(1 << 16):
            received += piece
    assert b'HTTP' not in received, received


@behave.when('a caller without end sends a body that is too large')
def send_endless(context):
    context.endless = connect(context)
    context.endless.sendall(
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 999999999\r\n\r\n'
    )


@behave.then('it reads the refusal and is cut off')
def check_endless(context):
    connection = context.endless
    received = b''
    while piece := connection.recv(1 << 16):
        received += piece
    assert b' 413 ' in received, received

    def is_cut_off():
        try:
            connection.sendall(b'x')
        except OSError:
            return True
        return False

    wait_until(is_cut_off)


@behave.when('an HTTPS caller connects and asks')
def connect_tls(context):
    context.connection = connect(context)
    ask(context.connection)


@behave.when('the certificate of the HTTP server is renewed')
def renew(context):
    renew_certificate(context)


@behave.then(
    'the same connection is answered, and a new one shows the new one'
)
def check_renewed(context):
    newer = connect(context)
    ask(context.connection)
    ask(newer)
    shown = [
        one.getpeercert(binary_form=True)
        for one in (context.connection, newer)
    ]
    path = context.folder / 'entry-1.certificate.pem'
    written = ssl.PEM_cert_to_DER_cert(path.read_text())
    assert shown[0] != written and shown[1] == written


@behave.given("an HTTP server that bears {seconds:d} s of a caller's silence")
def start_stall_limited(context, seconds):
    serve(context, 2, stall_seconds=float(seconds))


PARTIAL_REQUESTS = {
    'first half of the head': b'POST / HTTP/1.1\r\nHost',
    'head and half the body': (
        b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 20\r\n\r\nhalf'
    ),
}


@behave.when('a caller sends the {part} of a request and falls silent')
def send_partial_request(context, part):
    address = ('127.0.0.1', context.server.port)
    context.silent = socket.create_connection(address, WAIT_SECONDS)
    context.add_cleanup(context.silent.close)
    context.silent.sendall(PARTIAL_REQUESTS[part])


@behave.then('its HTTP connection is closed')
def check_closed(context):
    assert context.silent.recv(1) == b''


@behave.when('an HTTP body of {size:d} bytes is posted')
def post_body(context, size):
    context.answer = fetch(context, 'POST', '/', body=b'x' * size)


@behave.then('the HTTP status is {status:d}')
def check_status(context, status):
    assert context.answer.status == status, context.answer.status
    if status >= 400:
        assert context.answer.json()['status'] == status


@behave.then('the HTTP application ran {times:d} times')
def check_runs(context, times):
    assert context.application.runs == times, context.application.runs


@behave.when('{count:d} HTTP requests are held by the application')
def hold_requests(context, count):
    context.held = [
        context.pool.submit(fetch, context, 'GET', '/hold')
        for _ in range(count)
    ]
    wait_until(lambda: context.server.in_flight == count)


@behave.when('a caller goes on sending requests on one connection')
def send_on_and_on(context):
    address = ('127.0.0.1', context.server.port)
    connection = client.HTTPConnection(*address, timeout=WAIT_SECONDS)
    context.add_cleanup(connection.close)
    context.sent, context.answers = 0, []
    ends = time.monotonic() + 2 * WAIT_SECONDS

    def send():
        while time.monotonic() < ends:
            context.sent += 1
            connection.request('GET', '/')
            answer = connection.getresponse()
            answer.read()
            context.answers.append(answer.getheader('Connection'))
            if context.answers[-1] == 'close':
                return
            time.sleep(0.01)

    context.sending = context.pool.submit(send)
    wait_until(lambda: context.answers)


@behave.then(
    'all requests on that connection were answered, the last with its end'
)
def check_last(context):
    context.sending.result(WAIT_SECONDS)
    assert len(context.answers) == context.sent
    assert context.answers[-1] == 'close', context.answers[-5:]


@behave.when('the HTTP server is told to stop')
def stop_server(context):
    context.stopped = context.pool.submit(context.server.stop)


@behave.then('the HTTP port refuses connections')
def check_refusal(context):
    def is_refused():
        address = ('127.0.0.1', context.server.port)
        with socket.socket() as connection:
            return connection.connect_ex(address) != 0

    wait_until(is_refused)
    assert context.server.in_flight == 2, context.server.in_flight


@behave.when('the held HTTP requests are released')
def release_requests(context):
    context.application.release.set()


@behave.then('the held HTTP requests got whole answers')
def check_held(context):
    for held in context.held:
        assert held.result(WAIT_SECONDS).data == b'answer'


@behave.then('the HTTP server has stopped')
def check_stopped(context):
    assert context.stopped.result(WAIT_SECONDS) is True


@behave.when('a caller asks for {size:d} MB and reads none of it')
def ask_much(context, size):
    context.answer = fetch(
        context, 'GET', f'/big/{size}', preload_content=False
    )


@behave.then('the HTTP application is pushed back below {size:d} MB')
def check_push_back(context, size):
    seen = -1
    while context.application.produced != seen:
        seen = context.application.produced
        time.sleep(0.5)
    assert seen < size << 20, seen


@behave.when('the caller reads the rest')
def read_rest(context):
    context.received = sum(map(len, context.answer.stream(1 << 20)))


@behave.then('the caller got {size:d} MB')
def check_received(context, size):
    assert context.received == size << 20, context.received


@behave.then('the HTTP server made no temporary file')
def check_temporary(context):
    assert not context.temporary.called


@behave.when('a caller asks to be waited for and hangs up')
def hang_up(context):
    address = ('127.0.0.1', context.server.port)
    with socket.create_connection(address) as connection:
        connection.sendall(b'GET /gone HTTP/1.1\r\nHost: x\r\n\r\n')
        wait_until(lambda: context.server.in_flight == 1)


@behave.then('the HTTP application sees the hang-up')
def check_hang_up(context):
    assert context.application.saw_hang_up.wait(WAIT_SECONDS)


@behave.when('a caller reads none of an answer that must end soon')
def ask_late(context):
    context.answer = fetch(context, 'GET', '/late', preload_content=False)


@behave.then('the HTTP application is told to end and its thread is free')
def check_late(context):
    assert context.application.closed.wait(WAIT_SECONDS)
    assert context.application.produced < 64 * len(CHUNK)
    wait_until(lambda: context.server.in_flight == 0)


@behave.when('a caller reads none of an answer whose pieces are sent at once')
def ask_at_once(context):
    context.answer = fetch(context, 'GET', '/at-once', preload_content=False)


@behave.then('the HTTP application sends no piece before the head')
def check_early(context):
    assert context.application.early is False


@behave.then('is told below {size:d} MB that a piece must wait')
def check_full(context, size):
    assert context.application.closed.wait(WAIT_SECONDS)
    assert 0 < context.application.produced < size << 20


@behave.then('the caller can read each piece once and in order')
def check_pieces(context):
    data = b''.join(context.answer.stream(1 << 20))
    assert data == b'<' + b'x' * context.application.produced + b'>'


@behave.then('what the caller can still read is not a whole answer')
def check_cut(context):
    try:
        received = sum(map(len, context.answer.stream(1 << 20)))
    except urllib3.exceptions.HTTPError:
        return
    raise AssertionError(f'{received} bytes looked like a whole answer')


@behave.when('its connection is closed with a piece of the answer left')
def close_with_rest(context):
    (context.channel,) = context.server._server.active_channels.values()
    context.channel.outbufs[-1].append(b'late')
    context.channel.handle_close()


@behave.then('flushing the piece logs no error')
def check_flush(context):
    channel = context.channel
    with mock.patch.object(channel.logger, 'exception') as logged:
        flushed = channel._flush_exception(channel._flush_some, False)
    assert not logged.called, logged.call_args
    assert flushed == (False, False), flushed


@behave.when(
    'the HTTP server is told to stop and is woken only {seconds:f} s later'
)
def stop_late(context, seconds):
    waker = context.server._server
    pull = waker.pull_trigger

    def pull_late():
        time.sleep(seconds)
        pull()

    waker.pull_trigger = pull_late
    context.stopped_clean = context.server.stop()


@behave.then('the HTTP server stopped without an error')
def check_stopped_clean(context):
    assert context.stopped_clean
