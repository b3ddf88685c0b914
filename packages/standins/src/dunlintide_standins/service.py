"""Stand-in for a plain service that records and echoes each call."""

from collections.abc import Callable
from collections import deque
import os
import random
import threading
import time
from typing import Any

import attrs
import xxhash

from dunlintide_standins import faults
from dunlintide_standins import process
from dunlintide_standins import web

__all__ = ['Config', 'Run', 'Service', 'exit_process']

MAX_RUNS = 100_000
_CRASH_STATUS = 1


def exit_process() -> None:
    """Exit the process at once without clean-up, like a crash."""
    os._exit(_CRASH_STATUS)


@attrs.frozen
class Config:
    """Settings of a plain service."""

    listen: str = process.setting('127.0.0.1:0', 'host:port to listen on')
    delay_seconds: float = process.setting(0.0, 'duration of a call')
    fail_rate: float = process.setting(
        0.0, 'fraction of calls answered with status 500'
    )
    crash_marker: str = process.setting(
        '', 'text in a body that crashes the service'
    )
    seed: int = process.setting(0, 'seed for the failures')


class _Control(faults.Fault):
    """Faults, the duration of a call and the fraction that fails."""

    delay_seconds: float | None = None
    fail_rate: float | None = None


@attrs.frozen
class Run:
    """Record of one call that ran, even if its response was lost."""

    run: int
    request_id: str
    member: str
    idempotency_key: str
    method: str
    path: str
    body_hash: str


class Service:
    """A plain HTTP service.

    :ivar port: port that the service listens on
    """

    def __init__(self, config: Config, crash: Callable[[], None]) -> None:
        self._crash = crash
        self._crash_marker = config.crash_marker.encode()
        self._delay_seconds = config.delay_seconds
        self._fail_rate = config.fail_rate
        self._rng = random.Random(config.seed)
        self._fault_injector = faults.FaultInjector()
        self._lock = threading.Lock()
        self._count = 0
        self._runs: deque[Run] = deque(maxlen=MAX_RUNS)
        self._server = web.Server(config.listen, self._handle)
        self.port = self._server.port

    @classmethod
    def from_config(
        cls, config: Config, crash: Callable[[], None] | None = None
    ) -> 'Service':
        """Build a service and bind its port.

        :param crash: called to crash; exits the process by default
        """
        return cls(config, crash or exit_process)

    def start(self) -> None:
        """Start to serve requests."""
        self._server.start()

    def stop(self) -> None:
        """Stop at once and close every connection."""
        self._server.stop()

    def runs(self) -> list[dict[str, Any]]:
        """Return the record of runs, oldest first."""
        with self._lock:
            return [attrs.asdict(run) for run in self._runs]

    def _handle(self, request: web.Request) -> web.Answer:
        if request.path == '/control':
            return self._control(request)
        if request.method == 'GET' and request.path == '/runs':
            return web.json_answer(self.runs())
        intercepted = self._fault_injector.intercept()
        if intercepted is not None:
            return intercepted
        if request.method == 'GET' and request.path == '/healthz':
            return web.json_answer({})
        return self._serve(request)

    def _control(self, request: web.Request) -> web.Answer:
        if request.method == 'POST':
            control = web.decode_json(request, _Control)
            self._fault_injector.change(control)
            if control.delay_seconds is not None:
                self._delay_seconds = control.delay_seconds
            if control.fail_rate is not None:
                self._fail_rate = control.fail_rate
        state = {
            'delay_seconds': self._delay_seconds,
            'fail_rate': self._fail_rate,
            'runs': self._count,
        }
        return web.json_answer(self._fault_injector.state() | state)

    def _record(self, request: web.Request) -> tuple[Run, bool]:
        """Record a run; return it and whether it is to fail."""
        headers = request.headers
        with self._lock:
            self._count += 1
            run = Run(
                self._count,
                headers.get('x-request-id', ''),
                headers.get('dunlintide-member', ''),
                headers.get('idempotency-key', ''),
                request.method,
                request.target,
                xxhash.xxh64_hexdigest(request.body),
            )
            self._runs.append(run)
            return run, self._rng.random() < self._fail_rate

    def _serve(self, request: web.Request) -> web.Answer:
        run, fails = self._record(request)
        if self._crash_marker and self._crash_marker in request.body:
            self._crash()
            return web.drop_connection()
        if self._delay_seconds > 0:
            time.sleep(self._delay_seconds)
        if self._fault_injector.should_drop_answer():
            return web.drop_connection()
        body = attrs.asdict(run)
        if fails:
            return web.json_answer({'error': 'failed at random'} | body, 500)
        return web.json_answer(body)


if __name__ == '__main__':
    process.run(Config, Service.from_config)
