"""Small deployment on loopback for the scripts of the review.

Entries are processes started with the command of the deploy file, with the
settings of its template. The store, the runners and the clients are
stand-ins in the process of the script.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib

from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import runners
from dunlintide_standins.fleet import store as stores

__all__ = ['BOUNDS', 'Entry', 'Record', 'Scene', 'is_troubled', 'main']

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
WAIT_SECONDS = 15.0
HEARTBEAT_SECONDS = 1.2
PORTS = (12000, 32000)
PORT_TAKEN = 'address already in use'

# Bounds of the site file huber-claims.
BOUNDS = {
    'reuse_after_s': 2,
    'stable_window_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'retry_budget_ratio': 0.2,
    'budget_window_s': 10,
    'budget_slack': 198,
}


def is_troubled() -> bool:
    """Return whether the script brings the disruption about."""
    return os.environ.get('TROUBLE', '1') != '0'


def pick_ports(count):
    """Return free ports, all different.

    They are below those that the system gives to outgoing connections, which
    could take a port between its choice and the start of its process.
    """
    with contextlib.ExitStack() as stack:
        ports = []
        while len(ports) < count:
            each = stack.enter_context(socket.socket())
            try:
                each.bind((HOST, random.randrange(*PORTS)))
            except OSError:
                continue
            ports.append(each.getsockname()[1])
        return ports


class Record:
    """Text file with what was sent, answered and run."""

    def __init__(self, path):
        self.file = path.open('w')
        self.began = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        with self._lock:
            elapsed = time.monotonic() - self.began
            self.file.write(f'{elapsed:9.3f}  {text}\n')
            self.file.flush()


def render(template, fields):
    """Fill in a template of the deploy file, without its sections."""

    def replace(match):
        path, _, form = match.group(1).partition('|')
        value = fields
        for part in path.split('.'):
            value = value[int(part)] if part.isdigit() else value[part]
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'{{([^}]+)}}', replace, template)


class Entry:
    """A process of the deploy file's role."""

    def __init__(self, scene, name, zone):
        self.scene = scene
        self.name = name
        self.zone = zone
        self.path = scene.folder / f'{name}.settings'
        self.log = scene.folder / f'{name}.log'
        self.process = None
        self.choose_ports()

    def choose_ports(self):
        front, ready, control, *free = pick_ports(5)
        self.fields = {
            'node_name': self.name,
            'zone': self.zone,
            'ip': HOST,
            'port_range': free,
            'listen': {
                'front': f'{HOST}:{front}',
                'ready': f'{HOST}:{ready}',
                'control': f'{HOST}:{control}',
            },
            'platform': {'address': self.scene.store_address},
            'bounds': dict(BOUNDS),
        }
        self.front = self.fields['listen']['front']
        self.ready = self.fields['listen']['ready']
        self.control = self.fields['listen']['control']

    def write_settings(self):
        template = (ROOT / self.scene.role['template']).read_text()
        self.path.write_text(render(template, self.fields))

    def start(self):
        self.write_settings()
        command = render(self.scene.role['run'], self.fields).split()
        environment = {
            'PATH': os.environ['PATH'],
            'HOME': os.environ.get('HOME', '/'),
            'LANG': 'C.UTF-8',
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'DUNLINTIDE_NODE_FILE': str(self.path),
        }
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, stdout=log, stderr=log, env=environment
            )

    def send_signal(self, number):
        self.process.send_signal(number)

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def ask(self, address, path):
        caller = callers.Caller(address)
        try:
            caller.send(f'GET {path} HTTP/1.1\r\nHost: x\r\n\r\n'.encode())
            return caller.read_answer()
        finally:
            caller.close()

    def is_ready(self):
        try:
            return self.ask(self.ready, '/readyz').status == 200
        except OSError:
            return False

    def list_events(self, event):
        rows = []
        for line in self.log.read_text().splitlines():
            if line.startswith('{'):
                rows.append(json.loads(line))
        return [row for row in rows if row.get('event') == event]


class Scene:
    """A store, runners and entries on loopback."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        [self.role] = deploy['roles'].values()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.daemon = True
        self.thread.start()
        self.entries = []
        self.fleets = []
        self.store = stores.Store()
        self.run(self.store.start())
        self.store_address = f'{HOST}:{self.store.port}'

    def run(self, work):
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        return future.result(WAIT_SECONDS)

    def configure(self, configuration):
        self.run(self.store.put('op/config', configuration))
        self.record.write(f'store: configuration {configuration["version"]}')

    def add_fleet(self, layers, layer_mb, sizes, **more):
        fleet = runners.Fleet(self.store, layers, layer_mb, sizes, **more)
        self.fleets.append(fleet)
        return fleet

    def add_entry(self, name, zone):
        entry = Entry(self, name, zone)
        self.entries.append(entry)
        entry.start()
        return entry

    def wait_until(self, check, text, seconds=WAIT_SECONDS):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if check():
                return
            time.sleep(0.02)
        raise RuntimeError(f'not within {seconds} s: {text}')

    def wait_for_ready(self):
        """Wait for all entries; one whose port was taken gets others."""
        for entry in self.entries:
            end = time.monotonic() + WAIT_SECONDS
            while not entry.is_ready():
                text = entry.log.read_text()
                if time.monotonic() > end:
                    raise RuntimeError(
                        f'{entry.name} is not ready; exit code'
                        f' {entry.process.poll()}, its log: {text[-400:]}'
                    )
                if entry.process.poll() is not None and PORT_TAKEN in text:
                    self.record.write(f'{entry.name}: a port was taken')
                    entry.log.write_text('')
                    entry.choose_ports()
                    entry.start()
                time.sleep(0.02)

    def close(self):
        for entry in self.entries:
            entry.stop()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)


def main(play, case):
    """Run a case and exit: 1 rule broken, 0 rule kept, 2 not run.

    :param play: runs the case in a scene; returns whether the rule was kept,
        and a text
    :param case: file of the case, beside which the record is written
    """

    def stop(number, frame):
        raise RuntimeError(f'stopped by signal {number}')

    signal.signal(signal.SIGTERM, stop)
    signal.signal(signal.SIGINT, stop)
    record = Record(pathlib.Path(case).resolve().parent / 'record.txt')
    status = 2
    with tempfile.TemporaryDirectory() as name:
        scene = None
        try:
            scene = Scene(pathlib.Path(name), record)
            kept, text = play(scene)
            status = 0 if kept else 1
            record.write(f'rule {"kept" if kept else "BROKEN"}: {text}')
            print(f'rule {"kept" if kept else "BROKEN"}: {text}')
        except Exception as error:
            record.write(f'could not run: {error!r}')
            print(f'could not run: {error!r}')
            if os.environ.get('DEBUG'):
                raise
        finally:
            if scene is not None:
                scene.close()
                for entry in scene.entries:
                    if os.environ.get('KEEP_LOGS'):
                        target = pathlib.Path(os.environ['KEEP_LOGS'])
                        (target / entry.log.name).write_text(
                            entry.log.read_text()
                        )
    sys.stdout.flush()
    os._exit(status)
