"""Deployment of the edge role on loopback with stand-ins.

The stand-ins run on an event loop in a thread of the trial; entries are
processes of the real daemon.
"""

import asyncio
import json
import os
import subprocess
import sys
import threading
import time

from dunlintide_standins.fleet import callers
from dunlintide_standins.fleet import operators
from dunlintide_standins.fleet import runners
from dunlintide_standins.fleet import store as stores

__all__ = [
    'Entry',
    'Scene',
]

WAIT_SECONDS = 10


def _describe_wait(work):
    """Describe where a coroutine waits, from the outermost call inwards."""
    places = []
    while work is not None and hasattr(work, 'cr_await'):
        line = work.cr_frame.f_lineno if work.cr_frame else None
        places.append(f'{work.__qualname__} in line {line}')
        work = work.cr_await
    return ', '.join(places)


class Loop:
    """An event loop that runs in a background thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever)
        self.thread.start()

    def run(self, work):
        """Run a coroutine on the loop and return its result."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        try:
            return future.result(WAIT_SECONDS)
        except TimeoutError as error:
            if future.done():
                raise
            raise TimeoutError(
                f'not done within {WAIT_SECONDS} s: {_describe_wait(work)}'
            ) from error

    def close(self):
        """Cancel all tasks and stop the loop."""

        async def cancel():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.loop.close()


class Entry:
    """A process of the daemon in its edge role.

    :ivar listen: address for callers
    :ivar ready: address of the readiness probe
    :ivar admin: address of the administration interface
    :ivar metrics: address of the metrics
    :ivar settings: contents of its settings file
    """

    def __init__(self, scene, name, domain, folder, store=None, **more):
        ports = scene.pick_ports(5)
        self.name = name
        self.listen, self.ready, self.admin, self.metrics, gossip = (
            f'127.0.0.1:{port}' for port in ports
        )
        self.settings = {
            'role': 'edge',
            'name': name,
            'failure_domain': domain,
            'listen': self.listen,
            'ready_listen': self.ready,
            'admin_listen': self.admin,
            'metrics_listen': self.metrics,
            'gossip_listen': gossip,
            'store': store or scene.store_address,
            'grace': 5,
            'retries': {'ratio': 0.2, 'slack': 100, 'window': 10},
            **more,
        }
        self.path = folder / f'{name}.jsonc'
        self.write_settings()
        self.log = folder / f'{name}.log'
        self.process = None

    def write_settings(self, text=None):
        self.path.write_text(text or json.dumps(self.settings))

    def start(self):
        command = [sys.executable, '-m', 'dunlintide_daemon.edge', self.listen]
        environment = {**os.environ, 'DUNLINTIDE_NODE_FILE': str(self.path)}
        with self.log.open('ab') as log:
            self.process = subprocess.Popen(
                command, stdout=log, stderr=log, env=environment
            )

    def stop(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def call(self, name, path, **more):
        caller = callers.Caller(self.listen)
        try:
            caller.send(callers.build_request(name, path, **more))
            return caller.read_answer()
        finally:
            caller.close()

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

    def read_state(self):
        return json.loads(self.ask(self.admin, '/debug/state').body)

    def list_events(self, event):
        lines = self.log.read_text().splitlines()
        rows = [json.loads(line) for line in lines if line.startswith('{')]
        return [row for row in rows if row['event'] == event]


class Scene:
    """A store, endpoints and entries on loopback.

    :ivar loop: event loop of the stand-ins
    :ivar store: stand-in of the store
    :ivar fleet: stand-ins of the endpoints
    """

    def __init__(self, pick_ports, folder):
        """Start an empty store.

        :param pick_ports: returns the given number of free ports
        :param folder: folder for the settings and logs of entries
        """
        self.pick_ports = pick_ports
        self.folder = folder
        self.loop = Loop()
        self.entries = []
        self.store = stores.Store()
        self.run(self.store.start())
        self.store_address = f'127.0.0.1:{self.store.port}'
        self.fleet = runners.Fleet(
            self.store,
            operators.LAYERS,
            operators.LAYER_MB,
            operators.ACCELERATOR_MB,
        )

    def run(self, work):
        return self.loop.run(work)

    def configure(self, configuration):
        self.run(self.store.put('op/config', configuration))

    def add_runners(self, domains=('a', 'b')):
        for domain in domains:
            for kind in ('large', 'small', 'small'):
                self.run(self.fleet.add('llm', domain, kind))
            self.run(self.fleet.add('web', domain))

    def add_entry(self, name, domain='a', store=None, **more):
        """Start an entry.

        :param store: address that it uses for the store, such as that of a
            relay; None for the store itself
        :param more: further settings
        """
        entry = Entry(self, name, domain, self.folder, store, **more)
        self.entries.append(entry)
        entry.start()
        return entry

    def list_engines(self):
        return [each for each in self.fleet.runners if each.kind]

    def list_services(self):
        return [each for each in self.fleet.runners if not each.kind]

    def wait_until(self, check, text):
        end = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < end:
            if check():
                return
            time.sleep(0.02)
        raise AssertionError(f'not within {WAIT_SECONDS} s: {text}')

    def wait_for_ready(self, entry):
        try:
            self.wait_until(entry.is_ready, f'{entry.name} is ready')
        except AssertionError as error:
            raise AssertionError(
                f'{error}; exit code {entry.process.poll()}, its log:'
                f' {entry.log.read_text()[-400:]}'
            ) from error

    def wait_for_layers(self):
        self.wait_until(
            lambda: all(each.layers for each in self.list_engines()),
            'all engines hold layers',
        )

    def wait_for_listing(self, entry):
        def check():
            endpoints = entry.read_state()['endpoints']
            held = {each['name']: each['end'] for each in endpoints}
            return all(held.get(each.name) for each in self.list_engines())

        self.wait_until(check, 'the entry knows all layers')

    def wait_for_entries(self):
        """Wait until all entries are ready and know engines and each other."""
        names = sorted(entry.name for entry in self.entries)
        for entry in self.entries:
            self.wait_for_ready(entry)
        self.wait_for_layers()
        for entry in self.entries:
            self.wait_for_listing(entry)
            self.wait_until(
                lambda entry=entry: entry.read_state()['entries'] == names,
                'the entries know each other',
            )

    def close(self):
        for entry in self.entries:
            entry.stop()
        self.loop.close()
