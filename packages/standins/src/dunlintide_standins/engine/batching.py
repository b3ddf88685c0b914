"""Continuous batching: one thread runs queued steps in batches."""

import collections
from collections.abc import Callable
import threading
import time

import attrs

from dunlintide_standins.engine import cache as caches
from dunlintide_standins.engine import messages
from dunlintide_standins.engine import sessions as session_store
from dunlintide_standins import reference

__all__ = ['Batcher', 'Load', 'Timing']

_SMOOTHING_FACTOR = 0.2
_RATE_WINDOW_SECONDS = 1.0
_HANG_POLL_SECONDS = 0.05
_STOP_POLL_SECONDS = 1.0


@attrs.frozen
class Timing:
    """Simulated duration and size limit of a batch.

    :ivar base: seconds of a batch with no tokens
    :ivar per_token: additional seconds for each token
    :ivar max_tokens: maximum number of tokens in a batch, unless its first
        step alone has more
    :ivar load_lag: age of the reported load, in seconds
    :ivar preempts: whether the newest sessions are preempted when the KV
        memory is full, instead of refusing steps
    """

    base: float
    per_token: float
    max_tokens: int
    load_lag: float
    preempts: bool = False


@attrs.frozen
class Load:
    """Load of the engine at a point in time."""

    running: int = 0
    queued: int = 0
    kv_usage: float = 0.0
    kv_tokens: int = 0
    step_seconds: float = 0.0
    tokens_per_second: float = 0.0


@attrs.define(eq=False)
class _Call:
    """Steps of one HTTP call, and their results so far."""

    results: list[messages.Result | None]
    remaining: int
    done: threading.Event = attrs.Factory(threading.Event)


@attrs.define(eq=False)
class _QueuedStep:
    call: _Call
    index: int
    step: messages.Step
    activations: list[int]

    def finish(self, result: messages.Result) -> None:
        """Store the result and wake the caller after the last one."""
        self.call.results[self.index] = result
        self.call.remaining -= 1
        if not self.call.remaining:
            self.call.done.set()


class Batcher:
    """Queues the steps of all open calls and runs them in batches.

    :ivar slow_factor: factor on the duration of each batch
    :ivar lock: guards the sessions and the prefix cache
    """

    def __init__(
        self,
        sessions: session_store.Sessions,
        cache: caches.PrefixCache,
        timing: Timing,
        is_hanging: Callable[[], bool],
    ) -> None:
        self.slow_factor = 1.0
        self.lock = threading.Lock()
        self._sessions = sessions
        self._cache = cache
        self._timing = timing
        self._is_hanging = is_hanging
        self._waiting: list[_QueuedStep] = []
        self._arrived = threading.Condition()
        self._stopped = False
        self._step_seconds = 0.0
        self._finished: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self._loads = collections.deque([(0.0, Load())])
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start to run batches in a thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop running batches; queued steps get no result."""
        with self._arrived:
            self._stopped = True
            self._arrived.notify()

    def run(self, steps: list[messages.Step]) -> list[messages.Result] | None:
        """Queue steps and wait until all have run.

        :returns: a result for each step, None if the engine was stopped
        """
        call = _Call([None] * len(steps), len(steps))
        new_steps = []
        for index, step in enumerate(steps):
            activations = self._read_input(step)
            queued_step = _QueuedStep(call, index, step, activations)
            if activations:
                new_steps.append(queued_step)
            else:
                queued_step.finish(
                    messages.build_failure(step, messages.ErrorCode.BAD_STEP)
                )
        with self._arrived:
            self._waiting += new_steps
            self._arrived.notify()
        while call.remaining and not call.done.wait(_STOP_POLL_SECONDS):
            if self._stopped:
                return None
        return call.results

    def _read_input(self, step: messages.Step) -> list[int]:
        """Return the input activations of a step, empty if it is malformed."""
        holding = self._sessions.holding
        if holding.layer_start >= holding.layer_end:
            return []
        first = holding.layer_start == 0
        if first != (step.activations is None):
            return []
        if not first:
            if len(step.activations) % messages.ACTIVATION_BYTES:
                return []
            return messages.unpack(step.activations)
        token_ids = (
            [] if step.prompt is None else reference.tokenize(step.prompt)
        )
        return reference.embed(token_ids + (step.tokens or []))

    def _take_batch(self) -> list[_QueuedStep]:
        """Wait for steps and remove one batch from the queue, by priority."""
        with self._arrived:
            while not self._waiting and not self._stopped:
                self._arrived.wait()
            self._waiting.sort(
                key=lambda queued_step: queued_step.step.priority
            )
            size = 0
            for index, queued_step in enumerate(self._waiting):
                size += len(queued_step.activations)
                if index and size > self._timing.max_tokens:
                    break
            else:
                index = len(self._waiting)
            batch = self._waiting[:index]
            del self._waiting[:index]
            return batch

    def _compute(self, batch: list[_QueuedStep]) -> tuple[list, int]:
        """Run a batch.

        :returns: the results, and the number of tokens that take time:
            those of the results and those that are recomputed, without
            those found in the prefix cache
        """
        results = []
        tokens = 0
        with self.lock:
            for queued_step in batch:
                step = queued_step.step
                to_recompute = 0
                if self._timing.preempts:
                    count = len(queued_step.activations)
                    to_recompute = self._sessions.preempt_for(
                        step.session, count
                    )
                if to_recompute is None:
                    code = messages.ErrorCode.KV_WAIT
                    results.append(messages.build_failure(step, code))
                    continue
                tokens += to_recompute
                result = self._sessions.run(step, queued_step.activations)
                results.append(result)
                tokens += result.count
                if result.count and not step.position:
                    tokens -= self._cache.match(
                        step.session, step.cache_salt, queued_step.activations
                    )
        return results, tokens

    def _run(self) -> None:
        while not self._stopped:
            batch = self._take_batch()
            started = time.monotonic()
            results, tokens = self._compute(batch)
            self._record_load(started)
            seconds = self._timing.base + self._timing.per_token * tokens
            end = started + seconds * self.slow_factor
            time.sleep(max(0.0, end - time.monotonic()))
            while self._is_hanging() and not self._stopped:
                time.sleep(_HANG_POLL_SECONDS)
            self._record_step(started, sum(item.count for item in results))
            for queued_step, result in zip(batch, results):
                queued_step.finish(result)

    def _record_step(self, started: float, tokens: int) -> None:
        now = time.monotonic()
        change = now - started - self._step_seconds
        self._step_seconds += _SMOOTHING_FACTOR * change
        self._finished.append((now, tokens))
        self._record_load(now)

    def _record_load(self, now: float) -> None:
        finished = self._finished
        while finished and finished[0][0] < now - _RATE_WINDOW_SECONDS:
            finished.popleft()
        tokens = sum(count for _, count in finished)
        load = Load(
            len(self._sessions),
            len(self._waiting),
            self._sessions.usage,
            self._sessions.used,
            self._step_seconds,
            tokens / _RATE_WINDOW_SECONDS,
        )
        with self._arrived:
            self._loads.append((now, load))
            self._trim_loads(now)

    def _trim_loads(self, now: float) -> None:
        # The first record is the newest one that is old enough to be reported.
        before = now - self._timing.load_lag
        while len(self._loads) > 1 and self._loads[1][0] <= before:
            self._loads.popleft()

    def read_load(self) -> Load:
        """Return the load as of ``load_lag`` seconds ago."""
        with self._arrived:
            self._trim_loads(time.monotonic())
            return self._loads[0][1]

    def record_load(self) -> None:
        """Record the load after a change outside of a batch."""
        self._record_load(time.monotonic())
