"""Cost of TLS between processes and on the port for callers.

The baseline of each figure is measured without TLS in the same run.
"""

import contextlib
import http.client
from multiprocessing import connection
import pathlib
import ssl
import tempfile
import threading
import time
from typing import Callable, Iterator

import attrs
from dunlintide_adapters import certificates
from dunlintide_adapters import httpserver
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters import tlssockets
from dunlintide_adapters.wire import link_pb2
from dunlintide_trials import authority
from dunlintide_trials.cases import idle_links
from dunlintide_trials import childprocesses
from dunlintide_trials import figures

__all__ = ['CASES']

_HOST = '127.0.0.1'
_IDLE_LINKS = 32
_STEP_BYTES = (100, 16_384)
_WINDOW = 64
_SETTLE_SECONDS = 1.0
_SECONDS = 4.0
_CONNECTIONS = 300
_CHUNKS = 20_000
_CHUNK = b'data: {"choices": [{"text": " harvest", "index": 0}]}\n\n'
_THREADS = 8
_WAIT_SECONDS = 30.0
_MICRO = 1e6
_MEGA = 1e6
# Regression bounds relative to the baseline, well above the ratios of a
# loaded machine.
_LINK_RATIO = 2.5
_STREAM_RATIO = 4.0


@attrs.frozen
class _Cost:
    """Cost of one step and its token.

    :ivar microseconds: processor time of both ends in microseconds
    :ivar rate: steps per second
    """

    microseconds: float
    rate: float


def _run_answering_agent(
    pipe: connection.Connection, folder: str | None
) -> None:
    """Act as an agent that answers each step with a token."""
    count = 0

    def handle_frames(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        nonlocal count
        count += len(frames)
        for frame in frames:
            token = link_pb2.Token(request_id=frame.step.request_id)
            link.send(link_pb2.Frame(token=token))

    handlers = links.Handlers(
        lambda link: None, handle_frames, lambda link, why: None
    )
    hello = link_pb2.Hello(name='agent', role='agent', incarnation=1)
    server = linkserver.LinkServer(
        f'{_HOST}:0',
        lambda: hello,
        handlers,
        transport=childprocesses.open_transport(folder, 'agent', 'agent'),
    )
    with linkserver.serve(server):
        pipe.send(server.port)
        while pipe.recv() is not None:
            pipe.send(count)


def _run_sending_agent(
    pipe: connection.Connection, port: int, size: int, folder: str | None
) -> None:
    """Act as an agent that keeps steps in flight, one per message."""
    step = link_pb2.Step(request_id='r', activations=bytes(size))
    frame = link_pb2.Frame(step=step)
    up = threading.Event()
    count = 0

    def begin(link: links.Link) -> None:
        up.set()
        for _ in range(_WINDOW):
            link.send(frame)

    def handle_frames(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        nonlocal count
        count += len(frames)
        for _ in frames:
            link.send(frame)

    handlers = links.Handlers(begin, handle_frames, lambda link, why: None)
    hello = link_pb2.Hello(name='other', role='agent', incarnation=1)
    dialer = links.Dialer(
        f'{_HOST}:{port}',
        lambda: hello,
        handlers,
        batch_bytes=1,
        transport=childprocesses.open_transport(folder, 'agent', 'other'),
        role='agent',
    )
    dialer.start()
    if not up.wait(_WAIT_SECONDS):
        raise TimeoutError(f'the link was not up within {_WAIT_SECONDS:.0f} s')
    pipe.send(None)
    while pipe.recv() is not None:
        pipe.send(count)
    dialer.stop()


def _measure_steps(size: int, folder: str | None) -> _Cost:
    with (
        childprocesses.start_process(_run_answering_agent, folder) as near,
        childprocesses.start_process(
            _run_sending_agent, near.first_message, size, folder
        ) as far,
    ):
        time.sleep(_SETTLE_SECONDS)
        begin, count = time.monotonic(), near.request()
        used = near.read_cpu_seconds() + far.read_cpu_seconds()
        time.sleep(_SECONDS)
        spent, count = time.monotonic() - begin, near.request() - count
        used = near.read_cpu_seconds() + far.read_cpu_seconds() - used
    return _Cost(used / count * _MICRO, count / spent)


def _write_files(stack: contextlib.ExitStack) -> pathlib.Path:
    temporary = tempfile.TemporaryDirectory(prefix='dunlintide-')
    folder = pathlib.Path(stack.enter_context(temporary))
    issuer = authority.Authority()
    for role, name in (
        ('agent', 'agent'),
        ('agent', 'other'),
        ('entry', 'entry'),
    ):
        issuer.write(folder, role, name)
    return folder


def measure_links() -> Iterator[figures.Figure]:
    """Measure the processor time of messages and of idle links."""
    with contextlib.ExitStack() as stack:
        folder = str(_write_files(stack))
        for size in _STEP_BYTES:
            plain = _measure_steps(size, None)
            secured = _measure_steps(size, folder)
            yield figures.at_most(
                f'tls.links.step.{size}',
                round(secured.microseconds, 1),
                'us',
                round(plain.microseconds * _LINK_RATIO, 1),
                round(plain.microseconds, 1),
                f'both ends, a step of {size} bytes and its token, one a '
                f'message; {secured.rate:.0f} a second with TLS, '
                f'{plain.rate:.0f} without',
            )
        plain_idle = idle_links.measure(_IDLE_LINKS)
        idle = idle_links.measure(_IDLE_LINKS, folder)
    for name, with_tls, without in zip(
        ('dialled', 'accepted'), idle, plain_idle
    ):
        yield figures.plain(
            f'tls.links.idle.{name}',
            round(with_tls.cores, 4),
            'cores',
            round(without.cores, 4),
            f'{_IDLE_LINKS} idle links',
        )
        yield figures.plain(
            f'tls.links.memory.{name}',
            round(with_tls.resident / _MEGA, 1),
            'MB',
            round(without.resident / _MEGA, 1),
            f'whole process, {_IDLE_LINKS} idle links',
        )


def _run_http_server(pipe: connection.Connection, folder: str | None) -> None:
    """Act as an HTTP server that streams many small chunks."""

    def stream(environ: dict, start_response: Callable) -> Iterator[bytes]:
        start_response('200 OK', [('Content-Type', 'text/event-stream')])
        count = int(environ['PATH_INFO'].strip('/'))
        return (_CHUNK for _ in range(count))

    tls_wrapper = None
    if folder is not None:
        paths = certificates.Paths(
            pathlib.Path(folder, 'entry.certificate.pem'),
            pathlib.Path(folder, 'entry.key.pem'),
        )
        tls_wrapper = tlssockets.Wrapper.from_paths(paths, _SETTLE_SECONDS)
    server = httpserver.HttpServer.from_config(
        stream, f'{_HOST}:0', _THREADS, tls_wrapper=tls_wrapper
    )
    server.start()
    pipe.send(server.port)
    pipe.recv()
    server.stop(0)


def _connect(
    port: int, context: ssl.SSLContext | None
) -> http.client.HTTPConnection:
    if context is None:
        return http.client.HTTPConnection(_HOST, port)
    return http.client.HTTPSConnection(_HOST, port, context=context)


def _fetch(caller: http.client.HTTPConnection, chunks: int) -> None:
    caller.request('GET', f'/{chunks}')
    received = len(caller.getresponse().read())
    if received != chunks * len(_CHUNK):
        raise RuntimeError(
            f'received {received} of {chunks * len(_CHUNK)} bytes'
        )


def _measure_callers(folder: str | None) -> tuple[float, float]:
    """Return the server's microseconds per connection and per chunk."""
    context = None
    if folder is not None:
        context = ssl.create_default_context(
            cafile=f'{folder}/entry.authorities.pem'
        )
    with childprocesses.start_process(_run_http_server, folder) as server:
        begin = server.read_cpu_seconds()
        for _ in range(_CONNECTIONS):
            with contextlib.closing(
                _connect(server.first_message, context)
            ) as caller:
                _fetch(caller, 1)
        connected = server.read_cpu_seconds()
        with contextlib.closing(
            _connect(server.first_message, context)
        ) as caller:
            _fetch(caller, _CHUNKS)
        streamed = server.read_cpu_seconds()
    return (
        (connected - begin) / _CONNECTIONS * _MICRO,
        (streamed - connected) / _CHUNKS * _MICRO,
    )


def measure_callers() -> Iterator[figures.Figure]:
    """Measure the processor time of a server for callers."""
    with contextlib.ExitStack() as stack:
        folder = str(_write_files(stack))
        plain = _measure_callers(None)
        secured = _measure_callers(folder)
    yield figures.plain(
        'tls.callers.connection',
        round(secured[0]),
        'us',
        round(plain[0]),
        f'server, a new connection with one request, {_CONNECTIONS} of them',
    )
    yield figures.at_most(
        'tls.callers.piece',
        round(secured[1], 1),
        'us',
        round(plain[1] * _STREAM_RATIO, 1),
        round(plain[1], 1),
        f'server, a piece of {len(_CHUNK)} bytes of a stream of {_CHUNKS}',
    )


CASES = [measure_links, measure_callers]
