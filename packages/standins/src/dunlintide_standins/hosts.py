"""Stand-in for the platform's host list, whose changes show late."""

from collections import deque
import pathlib
import threading
import time
from typing import Literal

import attrs
import msgspec

from dunlintide_standins import faults
from dunlintide_standins import process
from dunlintide_standins import web

__all__ = ['Config', 'Host', 'HostList']


@attrs.frozen
class Config:
    """Settings of the host list."""

    listen: str = process.setting('127.0.0.1:0', 'host:port to listen on')
    hosts: str = process.setting('', 'JSON file with the initial hosts')
    lag_seconds: float = process.setting(0.0, 'delay before a change shows')


class Host(msgspec.Struct):
    """One host of the list.

    :ivar address: ``host:port`` of the host's link server
    """

    name: str
    role: str
    address: str
    failure_domain: str
    region: str
    state: Literal['live', 'leaving'] = 'live'


class _Listing(msgspec.Struct):
    hosts: list[Host] = []


class _Control(faults.Fault):
    """Faults, a new list of hosts and the delay before it shows."""

    hosts: list[Host] | None = None
    lag_seconds: float | None = None


class HostList:
    """A list of live and leaving hosts.

    :ivar port: port that the host list listens on
    """

    def __init__(
        self, listen: str, hosts: list[Host], lag_seconds: float
    ) -> None:
        self._lag_seconds = lag_seconds
        self._shown = hosts
        self._pending: deque[tuple[float, list[Host]]] = deque()
        self._fault_injector = faults.FaultInjector()
        self._lock = threading.Lock()
        self._server = web.Server(listen, self._handle)
        self.port = self._server.port

    @classmethod
    def from_config(cls, config: Config) -> 'HostList':
        """Build a host list and bind its port.

        :raises OSError: if the file can't be read
        :raises msgspec.ValidationError: if the file holds no list of hosts
        """
        hosts: list[Host] = []
        if config.hosts:
            data = pathlib.Path(config.hosts).read_bytes()
            hosts = msgspec.json.decode(data, type=_Listing).hosts
        return cls(config.listen, hosts, config.lag_seconds)

    def start(self) -> None:
        """Start to serve requests."""
        self._server.start()

    def stop(self) -> None:
        """Stop at once and close every connection."""
        self._server.stop()

    def change(self, hosts: list[Host]) -> None:
        """Replace the list; the new one shows after the lag."""
        with self._lock:
            shown_at = time.monotonic() + self._lag_seconds
            self._pending.append((shown_at, hosts))

    def read(self) -> list[Host]:
        """Return the hosts that the list shows now."""
        now = time.monotonic()
        with self._lock:
            while self._pending and self._pending[0][0] <= now:
                self._shown = self._pending.popleft()[1]
            return self._shown

    def _control(self, request: web.Request) -> web.Answer:
        if request.method == 'POST':
            control = web.decode_json(request, _Control)
            self._fault_injector.change(control)
            if control.lag_seconds is not None:
                self._lag_seconds = control.lag_seconds
            if control.hosts is not None:
                self.change(control.hosts)
        state = {'lag_seconds': self._lag_seconds}
        return web.json_answer(self._fault_injector.state() | state)

    def _handle(self, request: web.Request) -> web.Answer:
        if request.path == '/control':
            return self._control(request)
        intercepted = self._fault_injector.intercept()
        if intercepted is not None:
            return intercepted
        if request.path != '/hosts':
            return web.json_answer({'error': 'no such path'}, 404)
        return web.json_answer(_Listing(self.read()))


if __name__ == '__main__':
    process.run(Config, HostList.from_config)
