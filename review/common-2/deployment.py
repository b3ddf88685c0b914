"""A small deployment on loopback for the scripts of this review.

Entries are processes of the project, started by the command and the settings
template of the deploy file. The store is the project's stand-in. Runners and
clients are small ones, written here.
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

from dunlintide_standins.fleet import store as stores
from dunlintide_standins.fleet import wire

HELD, BROKEN, NOT_RUN = 0, 1, 2

HOST = 'screens.example'
KEY = 'key-of-the-diner'
# Bounds of the sheet of the small deployments.
STABLE_SECONDS = 3.0
HEARTBEAT_SECONDS = 1.2
BOUNDS = {
    'drain_ms': 2000,
    'grace_s': 8,
    'config_apply_ms': 2000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 196,
}
WAIT_SECONDS = 15.0
# Ports that servers of a script may have.
PORTS = 12000, 32000
_given_ports = set()


class CannotRun(Exception):
    """The case could not be played."""


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


def pick_ports(count):
    """Return free ports of the loopback interface, for TCP and UDP.

    They are below those that the system takes for outgoing connections: an
    entry that starts again must find its own ports free.
    """
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        if port not in ports and port not in _given_ports and _is_free(port):
            ports.append(port)
    _given_ports.update(ports)
    return ports


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(type=kind) as tried:
            try:
                tried.bind(('127.0.0.1', port))
            except OSError:
                return False
    return True


class Record:
    """Lines of what was sent, answered and run."""

    def __init__(self, path):
        self.began = time.monotonic()
        self.lines = []
        self.path = path

    def write(self, text):
        self.lines.append(f'{time.monotonic() - self.began:8.3f} s  {text}')

    def save(self):
        self.path.write_text('\n'.join(self.lines) + '\n')


# Settings of an entry.


def _get(fields, path):
    value = fields
    for part in path.split('.'):
        value = value[int(part)] if isinstance(value, list) else value[part]
    return value


def render(template, fields):
    """Fill in a template of settings that has plain placeholders only."""

    def fill(found):
        path, _, form = found[1].partition('|')
        value = _get(fields, path)
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^}]+)\}\}', fill, template)


class Entry:
    """A process of the role in the deploy file.

    :ivar disturbed: times at which it was signalled, started or ended
    """

    def __init__(self, name, zone, store_port, folder, bounds):
        role = tomllib.loads(pathlib.Path('deploy/system.toml').read_text())
        self._role = role['roles']['entry']
        front, ready, control, more, gossip = pick_ports(5)
        self.name = name
        self.front, self.ready_port = front, ready
        self.fields = {
            'node_name': name,
            'zone': zone,
            'ip': '127.0.0.1',
            'port_range': [more, gossip],
            'listen': {
                'front': f'127.0.0.1:{front}',
                'ready': f'127.0.0.1:{ready}',
                'control': f'127.0.0.1:{control}',
            },
            'platform': {'address': f'127.0.0.1:{store_port}'},
            'bounds': {**BOUNDS, **bounds},
        }
        self.path = folder / f'{name}.settings'
        self.log = folder / f'{name}.log'
        self.write_settings()
        self.process = None
        self.disturbed = []

    def write_settings(self, **bounds):
        """Write the settings file, as the platform does."""
        self.fields['bounds'].update(bounds)
        template = pathlib.Path(self._role['template']).read_text()
        self.path.write_text(render(template, self.fields))

    async def start(self):
        command = render(self._role['run'], self.fields).split()
        self.disturbed.append(time.monotonic())
        with self.log.open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(pathlib.Path('target/deps').resolve()),
                    'PYTHONDONTWRITEBYTECODE': '1',
                    'DUNLINTIDE_NODE_FILE': str(self.path),
                },
            )

    def send_signal(self, number):
        self.disturbed.append(time.monotonic())
        self.process.send_signal(number)

    async def end(self, grace):
        """Stop it as the platform does: SIGTERM, then SIGKILL."""
        self.send_signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(grace):
                await self.process.wait()
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        self.disturbed.append(time.monotonic())

    def is_in_touch(self, at, span=STABLE_SECONDS):
        """Return whether nothing disturbed it in the span before a time."""
        return not any(at - span <= each <= at for each in self.disturbed)

    async def is_ready(self):
        try:
            answer = await call(
                self.ready_port, b'GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n', 1
            )
        except OSError:
            return False
        return answer.status == 200


# Runners.

_numbers = itertools.count(1)


class Runner:
    """A runner of a plain or an engine service.

    :ivar serve: coroutine function that answers a request, called with the
        runner, the request and the channel of its connection
    :ivar kind: kind of accelerator, empty for a plain service
    :ivar holds: first layer and end layer, None without layers
    """

    def __init__(self, deployment, service, zone, serve, kind=''):
        self.deployment = deployment
        self.service, self.zone = service, zone
        self.serve = serve
        self.kind = kind
        self.holds = None
        self.slots = 16
        self.port = 0
        self.name = ''
        self.is_up = False
        self._server = None
        self._seq = 0
        self._orders = 0
        self._channels = set()
        self._tasks = set()

    @property
    def address(self):
        return f'127.0.0.1:{self.port}'

    async def start(self, is_listed=True):
        """Start a new incarnation at the same address.

        :param is_listed: whether the store has its entry at once
        """
        self.name = f'i-{next(_numbers):06x}'
        self.port = self.port or pick_ports(1)[0]
        self._server = await wire.listen(self._handle, self.port)
        self.is_up = True
        self._orders = 0
        self.holds = None
        if is_listed:
            await self.write_entry()

    async def write_entry(self, state='ready'):
        self._seq += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': state,
            'cold_left_ms': 0,
            'seq': self._seq,
        }
        if self.kind:
            entry['route_type'] = self.kind
            entry['models'] = [{'name': 'm0', 'version': 1, 'adapters': []}]
        if self.holds:
            first, last = self.holds
            entry['layers'] = [{'from': first, 'to': last, 'version': 1}]
        await self.deployment.store.report(f'servers/{self.name}', entry)

    def stop(self):
        """End at once, and reset all connections."""
        self.is_up = False
        self._server.close()
        for channel in list(self._channels):
            channel.reset()
        for task in list(self._tasks):
            task.cancel()

    def crash(self, back_after):
        """Crash at once, and come back as a new incarnation.

        The entry in the store is removed after three heartbeats of silence.
        """
        self.stop()
        self.deployment.begin(self._come_back(self.name, back_after))

    def go_dark(self, back_after):
        """Do the same without a word: connections hang, and new ones too."""
        self.is_up = False
        self.deployment.begin(self._come_back(self.name, back_after))

    async def _come_back(self, name, back_after):
        await asyncio.sleep(3 * HEARTBEAT_SECONDS)
        await self.deployment.store.remove(f'servers/{name}')
        await asyncio.sleep(max(0, back_after - 3 * HEARTBEAT_SECONDS))
        self.stop()
        await self.start()

    async def _handle(self, request, channel):
        task = asyncio.current_task()
        self._channels.add(channel)
        self._tasks.add(task)
        try:
            await self._answer(request, channel)
        finally:
            self._channels.discard(channel)
            self._tasks.discard(task)

    async def _answer(self, request, channel):
        headers = request.headers
        if request.path == '/report':
            held = []
            if self.holds:
                first, last = self.holds
                held = [{'from': first, 'to': last, 'version': 1}]
            body = {
                'stage': 'combined',
                'models': [],
                'busy': False,
                'seq': self._orders,
                'queued': 0,
                'running': 0,
                'kv_used': 0,
                'kv_total': 1000000,
                'handles': 0,
                'layers': held,
                'pace': 1.0,
            }
            await channel.answer(200, json.dumps(body).encode())
            return
        if request.path == '/order':
            await channel.answer(await self._carry_out(request))
            return
        if 'attempt-id' not in headers:
            await channel.answer(400, b'', {'Not-Executed': '1'})
            return
        if headers.get('expect-instance', self.name) != self.name:
            await channel.answer(421, b'', {'At-Server': self.address})
            return
        await self.serve(self, request, channel)

    async def _carry_out(self, request):
        """Carry out an order to hold layers, and return the status."""
        order = json.loads(request.body)
        if not self.kind or order.get('op') != 'place':
            return 400
        if order.get('precondition', self._orders) != self._orders:
            return 409
        self._orders += 1
        self.holds = order['from'], order['to']
        self.deployment.begin(self.write_entry())
        return 202

    def sign(self, request):
        """Return the headers of an answer to a request."""
        return {
            'Attempt-Id': request.headers['attempt-id'],
            'Server-Stamp': f'{self.name}.{next(_numbers):x}',
        }


# Clients.


class Answer:
    """An answer as a client received it.

    :ivar status: 0 without an answer
    :ivar is_complete: whether it ended as its framing says
    """

    def __init__(self, status, headers, body, is_complete):
        self.status, self.headers = status, headers
        self.body, self.is_complete = body, is_complete

    def __str__(self):
        if not self.status:
            return 'no answer'
        whole = 'whole' if self.is_complete else 'broken off'
        return f'{self.status}, {len(self.body)} bytes, {whole}'


class Connection:
    """A kept connection of a client."""

    def __init__(self, reader, writer):
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, port):
        return cls(*await asyncio.open_connection('127.0.0.1', port))

    async def send(self, data):
        """Send a request and read its answer."""
        self._writer.write(data)
        try:
            head = await self._reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, OSError):
            return Answer(0, {}, b'', False)
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in filter(None, lines):
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
        body = b''
        try:
            if headers.get('transfer-encoding') == 'chunked':
                while size := int(await self._reader.readline(), 16):
                    body += await self._reader.readexactly(size)
                    await self._reader.readexactly(2)
                await self._reader.readline()
            else:
                length = int(headers.get('content-length', 0))
                body = await self._reader.readexactly(length)
            is_complete = True
        except (asyncio.IncompleteReadError, OSError, ValueError):
            is_complete = False
        return Answer(int(first.split()[1]), headers, body, is_complete)

    def close(self):
        self._writer.close()


async def call(port, data, seconds):
    """Send one request on a connection of its own."""
    connection = await Connection.open(port)
    try:
        async with asyncio.timeout(seconds):
            return await connection.send(data)
    except TimeoutError:
        return Answer(0, {}, b'', False)
    finally:
        connection.close()


def build_request(attempt, path, method='POST', body=b'', **headers):
    """Build a request; underscores in names of headers become dashes."""
    fields = {
        'Host': HOST,
        'Attempt-Id': attempt,
        'Deadline-Ms': '4000',
        'Authorization': f'Bearer {KEY}',
        'Content-Length': len(body),
        **{name.replace('_', '-'): value for name, value in headers.items()},
    }
    lines = [f'{method} {path} HTTP/1.1']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


# The deployment.


def make_route(name, kind, service, **more):
    return {
        'name': name,
        'hostname': HOST,
        'prefix': f'/{name}/',
        'route_type': kind,
        'timeout_ms': 4000,
        'target_latency_ms': 400,
        'priority': 1,
        'service': service,
        'max_attempts': 2 if kind == 'idempotent' else 1,
        'public': False,
        **more,
    }


def make_engine():
    """Build the cost model of a service with engines."""
    return {
        'slots': 96,
        'kv_capacity': 50000,
        'kv_token_bytes': 120000,
        'link_mbps': 480000.0,
        'stride': 2,
        'models': [{'name': 'm0', 'pace': 1.0, 'load_s': 1.0}],
        'step_ms': 0.85,
        'per_seq_ms': 0.003,
        'context_per_k': 0.004,
        'read_per_s': 272000.0,
        'loads_at_once': 6,
        'delays': [{'from': 'a', 'to': 'b', 'delay_ms': 0.3}],
        'usual': {'prompt': 760, 'answer': 140},
        'layers': 12,
        'layer_mb': 1750.0,
        'act_bytes': 21300,
        'pipe_mbps': 9300.0,
        'kinds': [
            {
                'name': 'a100s',
                'size_mb': 36000.0,
                'pace': 3.1,
                'read_factor': 3.2,
            },
        ],
    }


def make_configuration(routes, services=None):
    return {
        'version': 7,
        'route_list': routes,
        'services': services
        or [{'name': 'web', 'health_path': '/h', 'max_conns': 968}],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 100000,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': [{'name': 'diner', 'api_keys': [KEY], 'priority': 1}],
    }


class Deployment:
    """Store, runners and entries."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.store = stores.Store()
        self.entries = []
        self.runners = []
        self._tasks = set()

    def begin(self, work):
        """Run a coroutine beside the others until the end of the script."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self, configuration, entries, zones=('a',), **bounds):
        """Start the store and the entries, and wait until they are ready."""
        await self.store.start()
        await self.store.put('op/config', configuration)
        for runner in self.runners:
            await runner.start()
        for number in range(entries):
            zone = zones[number % len(zones)]
            entry = Entry(
                f'edge-{number + 1}',
                zone,
                self.store.port,
                self.folder,
                bounds,
            )
            self.entries.append(entry)
            await entry.start()
        for entry in self.entries:
            await self.wait_for(entry.is_ready, f'{entry.name} is ready')
        for number in range(entries):
            key = f'dunlintide/entries/edge-{number + 1}'
            await self.wait_for(
                lambda key=key: self.store.get(key) is not None,
                'the entries are registered',
            )
        # Nothing counts before all of them are in touch.
        await asyncio.sleep(STABLE_SECONDS + 0.5)

    async def wait_for(self, check, text):
        ends = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < ends:
            found = check()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f'not within {WAIT_SECONDS} s: {text}')

    async def close(self):
        for task in list(self._tasks):
            task.cancel()
        for entry in self.entries:
            process = entry.process
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()


def main(play):
    """Play a case in a temporary folder, and exit with its result.

    :param play: coroutine function that plays it and returns the result
    """
    record = Record(pathlib.Path(sys.argv[1]) / 'record.txt')

    async def run(folder):
        deployment = Deployment(record, folder)
        # A script that is stopped ends what it has started, too.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        try:
            async with asyncio.timeout(115):
                return await play(deployment)
        finally:
            await deployment.close()

    status = NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        try:
            status = asyncio.run(run(folder))
        except (
            CannotRun,
            OSError,
            TimeoutError,
            asyncio.CancelledError,
        ) as error:
            record.write(f'could not run: {error!r}')
        finally:
            with contextlib.suppress(OSError):
                if os.environ.get('KEEP_LOGS'):
                    for log in folder.glob('*.log'):
                        target = pathlib.Path(os.environ['KEEP_LOGS'])
                        (target / log.name).write_bytes(log.read_bytes())
            outcome = ('the rule held', 'the rule was broken', 'not run')
            record.write(f'result: {outcome[status]}')
            record.save()
    print(record.lines[-1])
    raise SystemExit(status)
