"""Stand-in for the weight store with a limit on its total rate."""

import collections
from collections.abc import Iterator
import threading
import time

import attrs

from dunlintide_standins import faults
from dunlintide_standins import process
from dunlintide_standins import web

__all__ = ['Config', 'WeightStore']

_PART_BYTES = 65_536
_WEIGHTS = 'weights'
_BINARY_TYPE = 'application/octet-stream'


@attrs.frozen
class Config:
    """Settings of the weight store."""

    listen: str = process.setting('127.0.0.1:0', 'host:port to listen on')
    layer_bytes: int = process.setting(
        1_000_000, 'size of each layer, in bytes'
    )
    bytes_per_second: float = process.setting(
        10_000_000.0, 'total rate of all readers'
    )


class _Control(faults.Fault):
    """Faults, and the total rate of all readers."""

    bytes_per_second: float | None = None


class _RateLimiter:
    """Limits the total rate of all senders.

    :ivar rate: bytes per second
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._free_at = 0.0
        self._lock = threading.Lock()

    def wait(self, size: int) -> None:
        """Reserve time to send some bytes and wait until it has passed."""
        with self._lock:
            start = max(time.monotonic(), self._free_at)
            self._free_at = start + size / self.rate
            due = self._free_at
        time.sleep(max(0.0, due - time.monotonic()))


class WeightStore:
    """Streams the weights of layers at a limited total rate.

    :ivar port: port that the store listens on
    """

    def __init__(
        self, listen: str, layer_bytes: int, bytes_per_second: float
    ) -> None:
        self._layer_bytes = layer_bytes
        self._rate_limiter = _RateLimiter(bytes_per_second)
        self._fault_injector = faults.FaultInjector()
        self._lock = threading.Lock()
        self._counts: collections.Counter[str] = collections.Counter()
        self._server = web.Server(listen, self._handle)
        self.port = self._server.port

    @classmethod
    def from_config(cls, config: Config) -> 'WeightStore':
        """Build a weight store and bind its port."""
        return cls(config.listen, config.layer_bytes, config.bytes_per_second)

    def start(self) -> None:
        """Start to serve requests."""
        self._server.start()

    def stop(self) -> None:
        """Stop at once and close every connection."""
        self._server.stop()

    def _stream(self) -> Iterator[bytes]:
        left = self._layer_bytes
        while left:
            part = bytes(min(left, _PART_BYTES))
            self._rate_limiter.wait(len(part))
            yield part
            left -= len(part)

    def _control(self, request: web.Request) -> web.Answer:
        if request.method == 'POST':
            control = web.decode_json(request, _Control)
            self._fault_injector.change(control)
            if control.bytes_per_second is not None:
                self._rate_limiter.rate = control.bytes_per_second
        with self._lock:
            reads = {'reads': dict(self._counts)}
        return web.json_answer(self._fault_injector.state() | reads)

    def _handle(self, request: web.Request) -> web.Answer:
        if request.path == '/control':
            return self._control(request)
        intercepted = self._fault_injector.intercept()
        if intercepted is not None:
            return intercepted
        match request.path.strip('/').split('/'):
            case [head, model, version, layer] if (
                head == _WEIGHTS and layer.isdecimal()
            ):
                with self._lock:
                    self._counts[f'{model}/{version}/{layer}'] += 1
                return web.Answer(
                    content_type=_BINARY_TYPE,
                    parts=self._stream(),
                    length=self._layer_bytes,
                )
        return web.json_answer({'error': 'no such path'}, 404)


if __name__ == '__main__':
    process.run(Config, WeightStore.from_config)
