"""HTTP server and settings of the engine."""

from collections.abc import Callable
import os
import random
import time
from urllib import parse

import attrs
import msgspec

from dunlintide_standins.engine import batching
from dunlintide_standins.engine import cache as caches
from dunlintide_standins.engine import loading
from dunlintide_standins.engine import messages
from dunlintide_standins.engine import sessions as session_store
from dunlintide_standins import faults
from dunlintide_standins import process
from dunlintide_standins import reference
from dunlintide_standins import web

__all__ = ['Config', 'Engine', 'exit_process']

_CRASH_STATUS = 1
_SESSIONS = '/v1/sessions/'
_MAX_ORDERS = 1000


def exit_process() -> None:
    """Exit the process at once without clean-up, like a crash."""
    os._exit(_CRASH_STATUS)


@attrs.frozen
class Config:
    """Settings of an engine."""

    listen: str = process.setting('127.0.0.1:0', 'host:port to listen on')
    model: str = process.setting('copy-7b', 'model that is loaded')
    version: str = process.setting('1', 'version of the model')
    layer_start: int = process.setting(0, 'first layer')
    layer_end: int = process.setting(8, 'layer after the last one')
    base_seconds: float = process.setting(0.002, 'duration of an empty step')
    seconds_per_token: float = process.setting(
        0.0001, 'time that a token adds to a step'
    )
    max_batch_tokens: int = process.setting(8192, 'maximum tokens in a batch')
    kv_tokens: int = process.setting(100_000, 'KV memory in tokens')
    preempts: bool = process.setting(
        False, 'preempt the newest sessions when the KV memory is full'
    )
    load_lag_seconds: float = process.setting(0.5, 'age of the reported load')
    crash_marker: str = process.setting(
        '', 'text in a prompt that crashes the engine'
    )
    crash_word: str = process.setting(
        '', 'first word of a prompt that crashes engines of later layers'
    )
    stop_modulus: int = process.setting(
        0, 'token ids divisible by it end the output, 0 for none'
    )
    cache_tokens: int = process.setting(16_384, 'size of the prefix cache')
    cache_event_lag_seconds: float = process.setting(
        1.0, 'delay before a cache event can be read'
    )
    cache_event_loss: float = process.setting(
        0.1, 'fraction of cache events that are lost'
    )
    seed: int = process.setting(
        0, 'seed for lost cache events and failing sessions'
    )
    checks_fence: bool = process.setting(
        False, 'refuse orders with an old fencing number'
    )
    weights_url: str = process.setting(
        '', 'weight store to load ordered layers from, empty for none'
    )


class _Control(faults.Fault):
    """Faults of an engine to change.

    :ivar slow_factor: factor on the duration of each step
    :ivar fail_rate: fraction of sessions whose first step fails
    :ivar crash: whether to crash now
    """

    slow_factor: float | None = None
    fail_rate: float | None = None
    crash: bool = False


class _Exported(msgspec.Struct):
    state: bytes


def _refuse(text: str, status: int) -> web.Answer:
    return web.json_answer({'error': text}, status)


class Engine:
    """Stand-in of a model engine that runs a range of layers.

    :ivar port: port that the engine listens on
    """

    def __init__(self, config: Config, crash: Callable[[], None]) -> None:
        self._config = config
        self._crash = crash
        self._fault_injector = faults.FaultInjector()
        holding = session_store.Holding(
            config.model, config.version, config.layer_start, config.layer_end
        )
        self._sessions = session_store.Sessions(
            holding, config.kv_tokens, config.stop_modulus
        )
        self._cache = caches.PrefixCache(
            config.cache_tokens,
            config.cache_event_lag_seconds,
            config.cache_event_loss,
            time.monotonic,
            random.Random(config.seed),
        )
        timing = batching.Timing(
            config.base_seconds,
            config.seconds_per_token,
            config.max_batch_tokens,
            config.load_lag_seconds,
            config.preempts,
        )
        self._batcher = batching.Batcher(
            self._sessions,
            self._cache,
            timing,
            lambda: self._fault_injector.hang,
        )
        self._fail_rate = 0.0
        self._failures = random.Random(config.seed)
        self._fence = 0
        self._layer_count = 0
        self._loader = loading.Loader(config.weights_url)
        self._orders: list[messages.Order] = []
        self._routes: dict[tuple[str, str], web.Handler] = {
            ('POST', '/v1/steps'): self._run_steps,
            ('POST', '/v1/orders'): self._execute_order,
            ('GET', '/v1/orders'): self._show_orders,
            ('GET', '/v1/holding'): self._show_holding,
            ('GET', '/v1/load'): self._show_load,
            ('GET', '/v1/cache_events'): self._show_cache_events,
            ('GET', '/v1/cache'): self._show_cache,
            ('GET', '/healthz'): lambda _: web.json_answer({}),
        }
        self._server = web.Server(config.listen, self._handle)
        self.port = self._server.port

    @classmethod
    def from_config(
        cls, config: Config, crash: Callable[[], None] | None = None
    ) -> 'Engine':
        """Build an engine and bind its port.

        :param crash: called to crash; exits the process by default
        """
        return cls(config, crash or exit_process)

    def start(self) -> None:
        """Start to serve requests."""
        self._batcher.start()
        self._server.start()

    def stop(self) -> None:
        """Stop at once and close every connection."""
        self._batcher.stop()
        self._server.stop()

    def _handle(self, request: web.Request) -> web.Answer:
        if request.path == '/control':
            return self._control(request)
        if request.path == '/runs':
            return self._show_runs(request)
        intercepted = self._fault_injector.intercept()
        if intercepted is not None:
            return intercepted
        if request.path.startswith(_SESSIONS):
            return self._handle_session(request)
        answer = self._routes.get((request.method, request.path))
        return answer(request) if answer else _refuse('no such path', 404)

    def _control(self, request: web.Request) -> web.Answer:
        if request.method == 'POST':
            control = web.decode_json(request, _Control)
            self._fault_injector.change(control)
            if control.slow_factor is not None:
                self._batcher.slow_factor = control.slow_factor
            if control.fail_rate is not None:
                self._fail_rate = control.fail_rate
            if control.crash:
                self._crash()
                return web.drop_connection()
        cache = {
            'cache_hits': self._cache.hits,
            'cache_misses': self._cache.misses,
            'slow_factor': self._batcher.slow_factor,
            'fail_rate': self._fail_rate,
            'fence': self._fence,
            'preempted': self._sessions.preempted,
            'recomputed': self._sessions.recomputed,
        }
        return web.json_answer(self._fault_injector.state() | cache)

    def _triggers_crash(self, step: messages.Step) -> bool:
        if step.prompt is None:
            return self._starts_with_crash_word(step)
        marker = self._config.crash_marker
        return bool(marker) and marker in step.prompt

    def _starts_with_crash_word(self, step: messages.Step) -> bool:
        """Return whether a prompt starts with the crash word.

        An engine of later layers gets no text, so it compares the first
        activation with the one that the word would have there.
        """
        word = self._config.crash_word
        if not word or step.position or not step.activations:
            return False
        current = self._sessions.holding
        expected = reference.compute_first_activation(
            word, current.model, current.version, current.layer_start
        )
        first = step.activations[: messages.ACTIVATION_BYTES]
        return messages.unpack(first) == [expected]

    def _run_steps(self, request: web.Request) -> web.Answer:
        steps = web.decode_json(request, messages.Steps).steps
        crash_prompts = [
            step.prompt or self._config.crash_word
            for step in steps
            if self._triggers_crash(step)
        ]
        if crash_prompts:
            self._print_runs(crash_prompts)
            self._crash()
            return web.drop_connection()
        failed, steps = self._inject_failures(steps)
        results = self._batcher.run(steps)
        if results is None or self._fault_injector.should_drop_answer():
            return web.drop_connection()
        return web.json_answer({'results': failed + results})

    def _print_runs(self, prompts: list[str]) -> None:
        """Print the record of runs, as it is lost with the process."""
        with self._batcher.lock:
            record = {'crashed_by': prompts, 'runs': self._sessions.runs()}
        print(msgspec.json.encode(record).decode(), flush=True)

    def _inject_failures(
        self, steps: list[messages.Step]
    ) -> tuple[list[messages.Result], list[messages.Step]]:
        """Fail first steps at random; return the failures and the rest."""
        failed = []
        rest = []
        for step in steps:
            first = step.position == 0
            if first and self._failures.random() < self._fail_rate:
                failed.append(
                    messages.build_failure(step, messages.ErrorCode.INJECTED)
                )
            else:
                rest.append(step)
        return failed, rest

    def _show_load(self, _request: web.Request) -> web.Answer:
        return web.json_answer(attrs.asdict(self._batcher.read_load()))

    def _show_runs(self, _request: web.Request) -> web.Answer:
        with self._batcher.lock:
            return web.json_answer(self._sessions.runs())

    def _show_cache_events(self, request: web.Request) -> web.Answer:
        since = request.query.get('since', '0')
        limit = request.query.get('limit', str(caches.MAX_EVENTS))
        if not (since.isdecimal() and limit.isdecimal()):
            return _refuse('since and limit must be numbers', 400)
        with self._batcher.lock:
            events = self._cache.read_events(int(since))[: int(limit)]
            last = self._cache.last_sequence
        return web.json_answer({'sequence': last, 'events': events})

    def _show_cache(self, request: web.Request) -> web.Answer:
        limit = request.query.get('limit', str(caches.MAX_EVENTS))
        if not limit.isdecimal():
            return _refuse('limit must be a number', 400)
        with self._batcher.lock:
            last, blocks = self._cache.list_blocks()
        newest = blocks[-int(limit) :]
        return web.json_answer({'sequence': last, 'blocks': newest})

    def _handle_session(self, request: web.Request) -> web.Answer:
        rest = request.path.removeprefix(_SESSIONS)
        name, _, action = rest.partition('/')
        session_id = parse.unquote(name)
        if request.method == 'DELETE' and not action:
            with self._batcher.lock:
                self._sessions.free(session_id)
            self._batcher.record_load()
            return web.json_answer({})
        if request.method == 'POST' and action == 'export':
            return self._export(session_id)
        if request.method == 'POST' and action == 'import':
            return self._import(session_id, request)
        return _refuse('no such path', 404)

    def _export(self, session_id: str) -> web.Answer:
        with self._batcher.lock:
            state = self._sessions.export_state(session_id)
        if state is None:
            return _refuse('no such session', 404)
        return web.json_answer(_Exported(msgspec.msgpack.encode(state)))

    def _import(self, session_id: str, request: web.Request) -> web.Answer:
        data = web.decode_json(request, _Exported).state
        state = msgspec.msgpack.decode(data, type=messages.State)
        with self._batcher.lock:
            imported = self._sessions.import_state(session_id, state)
        self._batcher.record_load()
        return web.json_answer({}) if imported else _refuse('no fit', 409)

    def _is_stale_order(self, order: messages.Order) -> bool:
        """Return whether to refuse an order for its fencing number.

        Records the highest number of accepted orders. The caller holds the
        lock of the batcher.
        """
        if self._config.checks_fence and order.fence < self._fence:
            return True
        self._fence = max(self._fence, order.fence)
        return False

    def _execute_order(self, request: web.Request) -> web.Answer:
        order = web.decode_json(request, messages.Order)
        with self._loader.lock:
            with self._batcher.lock:
                if self._is_stale_order(order):
                    return _refuse('old fencing number', 409)
                current = self._sessions.holding
            # The old layers are served until the new ones are loaded.
            if not self._loader.load(current, order):
                return _refuse('the weight store failed', 503)
            self._apply_order(order)
        if self._fault_injector.should_drop_answer():
            return web.drop_connection()
        return web.json_answer({})

    def _apply_order(self, order: messages.Order) -> None:
        with self._batcher.lock:
            holding = session_store.Holding(
                order.model, order.version, order.layer_start, order.layer_end
            )
            self._sessions.load(holding)
            self._layer_count = order.layer_count
            self._cache.clear()
            self._orders.append(order)
            del self._orders[:-_MAX_ORDERS]

    def _show_holding(self, _request: web.Request) -> web.Answer:
        with self._batcher.lock:
            current = messages.HoldingStatus(
                **attrs.asdict(self._sessions.holding),
                layer_count=self._layer_count,
                fence=self._fence,
                loading=self._loader.lock.locked(),
            )
        return web.json_answer(current)

    def _show_orders(self, _request: web.Request) -> web.Answer:
        return web.json_answer(self._orders)
