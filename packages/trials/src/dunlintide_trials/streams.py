"""Many concurrent streams through one real entry at a realistic token rate.

The entry, its agents and the callers run in three processes, so that the
CPU time and memory of the entry can be measured separately.
"""

import contextlib
import hashlib
import json
import selectors
import socket
import threading
import time
from typing import Callable, Iterator

import attrs
import result
import waitress

from dunlintide_adapters import hostlist
from dunlintide_adapters import links
from dunlintide_adapters import linkserver
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import claims
from dunlintide_core import configuration
from dunlintide_core import settings
from dunlintide_daemon.entry import role
from dunlintide_daemon.entry import sources
from dunlintide_trials import childprocesses

__all__ = [
    'STEP_SECONDS',
    'Usage',
    'run_entry',
    'run_baseline',
]

STEP_SECONDS = 0.026
# Links that carry the streams of an entry in a large deployment.
AGENTS = 16
THREADS = 256
WARMUP_SECONDS = 0.8
_START_SECONDS = 30.0
_MODEL = 'copy'
_LAYERS = 24
_MICRO = 1e6
_MB = 1e6
_EVENT_MARKER = b'data: {'

Serve = Callable[[list[str]], contextlib.AbstractContextManager[int]]


@attrs.frozen
class Usage:
    """Resources that a server used for streams.

    :ivar cpu_token: CPU time per token in microseconds
    :ivar resident: resident memory in MB while all streams ran
    :ivar threads: number of threads of the server
    :ivar complete: number of streams that completed
    """

    cpu_token: float
    resident: float
    threads: int
    complete: int


class _Agent:
    """An agent that sends one token to each session per step."""

    def __init__(self, number: int) -> None:
        self.name = f'agent-{number}'
        self._sessions: dict[str, list] = {}
        self._lock = threading.Lock()
        handlers = links.Handlers(
            lambda link: None, self._handle_frames, lambda link, reason: None
        )
        self._server = linkserver.LinkServer(
            '127.0.0.1:0', self._make_hello, handlers
        )
        self.address = f'127.0.0.1:{self._server.port}'
        self._server.start()
        threading.Thread(target=self._run_steps, daemon=True).start()

    def _make_hello(self) -> link_pb2.Hello:
        endpoint = link_pb2.Endpoint(
            kind='engine',
            model=_MODEL,
            version='1',
            layer_end=_LAYERS,
            layer_count=_LAYERS,
        )
        return link_pb2.Hello(
            name=self.name, role='agent', incarnation=1, endpoint=endpoint
        )

    def _handle_frames(
        self, link: links.Link, frames: list[link_pb2.Frame]
    ) -> None:
        for frame in frames:
            if frame.WhichOneof('body') == 'open':
                with self._lock:
                    request_id = frame.open.terms.request_id
                    self._sessions[request_id] = [link, frame.open, 0]

    def _run_steps(self) -> None:
        due = time.monotonic()
        while True:
            due += STEP_SECONDS
            time.sleep(max(0.0, due - time.monotonic()))
            with self._lock:
                sessions = list(self._sessions.values())
            for session in sessions:
                self._send(session)

    def _send(self, session: list) -> None:
        link, request, index = session
        request_id = request.terms.request_id
        token = link_pb2.Token(
            request_id=request_id,
            epoch=request.epoch,
            index=index,
            id=index,
            text=f' word{index}',
        )
        link.send(link_pb2.Frame(token=token))
        session[2] += 1
        if session[2] < request.max_tokens:
            return
        done = link_pb2.Done(
            request_id=request_id,
            epoch=request.epoch,
            tokens=session[2],
            finish_reason='length',
        )
        link.send(link_pb2.Frame(done=done))
        with self._lock:
            del self._sessions[request_id]


class _Writer:
    """Claim writer without a store; no request of the load has a key."""

    def bind(self, wanted: claims.Binding, timeout: float):
        return result.Err('no store')

    def release(self, binding: claims.Binding, timeout: float):
        return result.Err('no store')

    def pace(self, writers: int) -> None:
        pass

    def dump(self) -> dict:
        return {}


def _make_key(number: int) -> str:
    # One team per stream, as a team must not use all threads of an entry.
    return f'bench-{number}'


def _make_team(number: int) -> configuration.Team:
    key = _make_key(number)
    digest = hashlib.sha256(key.encode()).hexdigest()
    return configuration.Team(key, (digest,))


@contextlib.contextmanager
def _serve_entry(addresses: list[str]) -> Iterator[int]:
    config = configuration.Configuration(
        teams=tuple(map(_make_team, range(THREADS))),
        models=(configuration.Model(_MODEL, _LAYERS),),
        rules=(
            configuration.Rule(
                'all', configuration.When(), configuration.Then()
            ),
        ),
    )
    hosts = [
        hostlist.Host(f'agent-{number}', 'agent', address)
        for number, address in enumerate(addresses)
    ]

    def follow(adopt, stopped) -> None:
        adopt(1, config)
        stopped.wait()

    entry_sources = sources.Sources(
        lambda: result.Ok(hosts), follow, _Writer()
    )
    entry_settings = settings.Settings(
        role='entry',
        name='entry',
        failure_domain='a',
        admin_listen='127.0.0.1:0',
        link_listen='127.0.0.1:0',
        store_url='http://127.0.0.1:1',
        host_list_url='http://127.0.0.1:1',
        listen='127.0.0.1:0',
        limits=settings.Limits(threads=THREADS),
    )
    with role.Entry(entry_settings, entry_sources, lame_duck=0.0) as entry:
        deadline = time.monotonic() + _START_SECONDS
        while len(entry.describe()['fleet']['agents']) < len(addresses):
            if time.monotonic() > deadline:
                raise TimeoutError(
                    f'entry did not reach {len(addresses)} agents within '
                    f'{_START_SECONDS:.0f} s'
                )
            time.sleep(0.01)
        yield entry.port


def _stream_baseline(environ, start_response) -> Iterator[bytes]:
    """Stream the same events without code of the router."""
    size = int(environ['CONTENT_LENGTH'])
    request = json.loads(environ['wsgi.input'].read(size))
    head = json.dumps({'id': 'cmpl-toy', 'object': 'text_completion'})
    start_response('200 OK', [('Content-Type', 'text/event-stream')])
    due = time.monotonic()
    for index in range(request['max_tokens']):
        due += STEP_SECONDS
        time.sleep(max(0.0, due - time.monotonic()))
        yield f'data: {head[:-1]}, "text": " word{index}"}}\n\n'.encode()
    yield b'data: [DONE]\n\n'


@contextlib.contextmanager
def _serve_baseline(addresses: list[str]) -> Iterator[int]:
    server = waitress.create_server(
        _stream_baseline,
        listen='127.0.0.1:0',
        threads=THREADS,
        connection_limit=THREADS * 4,
    )
    threading.Thread(target=server.run, daemon=True).start()
    yield int(server.effective_port)


def _run_server(pipe, serve: Serve, addresses: list[str]) -> None:
    with serve(addresses) as port:
        pipe.send(port)
        pipe.recv()


def _run_agents(pipe) -> None:
    agents = [_Agent(number) for number in range(AGENTS)]
    pipe.send([agent.address for agent in agents])
    pipe.recv()


def _build_request(key: str, tokens: int) -> bytes:
    body = json.dumps(
        {
            'model': _MODEL,
            'prompt': 'soup',
            'max_tokens': tokens,
            'stream': True,
        }
    )
    return (
        'POST /v1/completions HTTP/1.1\r\nHost: bench\r\n'
        f'Authorization: Bearer {key}\r\n'
        f'Content-Length: {len(body)}\r\nConnection: close\r\n\r\n{body}'
    ).encode()


class _Callers:
    """Callers that count events without parsing them.

    :ivar events: number of events received
    :ivar complete: number of streams with an end marker
    :ivar open: number of streams that have not ended
    """

    def __init__(self, port: int, count: int, tokens: int) -> None:
        self.events = 0
        self.complete = 0
        self.open = count
        self._selector = selectors.DefaultSelector()
        for number in range(count):
            key = _make_key(number)
            caller = socket.create_connection(('127.0.0.1', port))
            caller.sendall(_build_request(key, tokens))
            caller.setblocking(False)
            self._selector.register(caller, selectors.EVENT_READ)

    def read(self, until: float) -> None:
        """Read until a monotonic time or the end of all streams."""
        while self.open and (left := until - time.monotonic()) > 0:
            for key, _ in self._selector.select(left):
                self._read_caller(key.fileobj)

    def _read_caller(self, caller: socket.socket) -> None:
        data = caller.recv(1 << 16)
        # A marker that is split between two reads is not counted, which is
        # rare enough to be ignored.
        self.events += data.count(_EVENT_MARKER)
        self.complete += data.count(b'[DONE]')
        if not data:
            self._selector.unregister(caller)
            caller.close()
            self.open -= 1


def _measure(
    server: childprocesses.ChildProcess, count: int, seconds: float
) -> Usage:
    tokens = int((WARMUP_SECONDS * 2 + seconds) / STEP_SECONDS)
    process = server.process
    callers = _Callers(server.first_message, count, tokens)
    callers.read(time.monotonic() + WARMUP_SECONDS)
    cpu, events = server.read_cpu_seconds(), callers.events
    callers.read(time.monotonic() + seconds)
    cpu, events = server.read_cpu_seconds() - cpu, callers.events - events
    resident = process.memory_info().rss / _MB
    threads = process.num_threads()
    callers.read(time.monotonic() + _START_SECONDS)
    return Usage(cpu / events * _MICRO, resident, threads, callers.complete)


def run_entry(count: int, seconds: float) -> Usage:
    """Measure an entry under concurrent streams.

    :param count: number of concurrent streams
    :param seconds: duration of the measurement
    """
    with (
        childprocesses.start_process(_run_agents) as agents,
        childprocesses.start_process(
            _run_server, _serve_entry, agents.first_message
        ) as entry,
    ):
        return _measure(entry, count, seconds)


def run_baseline(count: int, seconds: float) -> Usage:
    """Measure a minimal WSGI application under the same streams.

    The parameters are those of ``run_entry``.
    """
    with childprocesses.start_process(
        _run_server, _serve_baseline, []
    ) as baseline:
        return _measure(baseline, count, seconds)
