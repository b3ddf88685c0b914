"""Batching of ready steps into calls to the engine.

Several calls are under way at a time and the engine merges them, so it is
never idle between calls, and a call with few steps returns early. Steps that
become ready meanwhile are batched into the next call. A session has at most
one step under way, which keeps its results in order. A step suspected of
crashing the engine runs alone; such steps and batches take turns.
"""

import collections
import queue
import threading
import time
from typing import Any, Callable

import attrs
import result

from dunlintide_adapters import engine as engines
from dunlintide_core import spans
from dunlintide_daemon.agent import firststeps
from dunlintide_daemon.agent import hedging

__all__ = [
    'Driver',
    'Handlers',
    'Job',
]

MAX_CONCURRENT_CALLS = 4
# Smaller batches would cost more processor time per step than the lower
# latency is worth.
MIN_STEPS = 16
MAX_STEPS = 256
MAX_POSITIONS = 16_384
# The timeout grows with the batch, so that a large one is not mistaken for
# a hung engine.
BASE_TIMEOUT_SECONDS = 10.0
TIMEOUT_SECONDS_PER_POSITION = 0.01
# A call without an answer for this long may be hedged; see ``hedging``.
SILENCE_SECONDS = 3.0
_STOP_SECONDS = 5.0
# Interval of the checks for deferred frees.
_SWEEP_SECONDS = 0.5


@attrs.frozen(eq=False)
class Job:
    """A step and the session that it belongs to.

    :ivar owner: session of the step, as the handlers expect it
    :ivar positions: number of positions in the span, for batching
    """

    step: engines.Step
    owner: Any
    positions: int


@attrs.frozen
class Handlers:
    """Callbacks of a driver, on its threads.

    :ivar results: receives the results of each call; those of one session
        come in order
    :ivar failed: receives the jobs of a call without a usable answer
    :ivar limit: returns the maximum number of steps in the next call
    :ivar runs_alone: returns whether a step must run while no other does
    :ivar find_team: returns the team that a step is billed to
    """

    results: Callable[[list[tuple[Job, engines.StepResult]]], None]
    failed: Callable[[list[Job], engines.EngineError], None]
    limit: Callable[[], int] = lambda: MAX_STEPS
    runs_alone: Callable[[Job], bool] = lambda job: False
    find_team: Callable[[Job], str] = lambda job: ''


@attrs.define(eq=False)
class _SessionState:
    """Queued and running steps of one session id.

    :ivar queued: whether the session waits for its turn
    :ivar busy: whether a step of the session is under way
    :ivar freeing: number of frees queued or under way
    :ivar free_again: whether to free again after the running step, which
        may recreate the session on the engine
    """

    pending: collections.deque = attrs.field(factory=collections.deque)
    queued: bool = False
    busy: bool = False
    freeing: int = 0
    free_again: bool = False


def _is_long(job: Job) -> bool:
    return job.positions > spans.LONG_POSITIONS


class Driver:
    """Threads that call one engine.

    :ivar rescued: calls completed by a hedge, as their connection was silent
    :ivar busy_seconds: summed duration of all calls
    """

    def __init__(
        self,
        engine: engines.Engine,
        handlers: Handlers,
        silence: float = SILENCE_SECONDS,
        arrival_seconds: float = firststeps.ARRIVAL_SECONDS,
    ) -> None:
        """Prepare the threads, which ``start`` starts.

        :param silence: seconds without an answer before a call can be late
        :param arrival_seconds: time for which a step of an unanswered call
            may still reach the engine
        """
        self._engine = engine
        self._handlers = handlers
        self._sessions: dict[str, _SessionState] = {}
        self._ready: collections.deque[str] = collections.deque()
        # Sessions whose next step must run alone, and whether the next call
        # takes one of them.
        self._alone_sessions: collections.deque[str] = collections.deque()
        self._alone_next = False
        self._alone_running = False
        self._running: set[Job] = set()
        self._spans = spans.SpanPacer()
        # Seconds until the next delayed long span may start.
        self._long_span_delay: float | None = None
        # Running jobs that have been reported as suspects of a crash.
        self._suspects: set[Job] = set()
        self._wake = threading.Condition()
        self._jobs: dict[hedging.EngineCall, list[Job]] = {}
        self._frees: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._stopped = False
        self._ended = threading.Event()
        self._calls_under_way = hedging.CallTracker(silence)
        self._first_steps = firststeps.FirstSteps(arrival_seconds)
        self._hedger = hedging.Hedger(
            engine,
            self._calls_under_way,
            self._complete_hedged,
            self._first_steps,
        )
        self.calls = 0
        self.rescued = 0
        self.steps = 0
        self.busy_seconds = 0.0
        self._threads = [
            threading.Thread(target=self._run, name='driver', daemon=True)
            for _ in range(MAX_CONCURRENT_CALLS)
        ]
        self._threads.append(
            threading.Thread(
                target=self._run_frees, name='reaper', daemon=True
            )
        )
        self._threads.append(
            threading.Thread(
                target=self._hedger.run,
                args=(self._ended,),
                name='rescuer',
                daemon=True,
            )
        )

    def start(self) -> None:
        """Start to call the engine."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads; wait up to ``_STOP_SECONDS`` for each."""
        with self._wake:
            self._stopped = True
            self._wake.notify_all()
        self._ended.set()
        self._frees.put(None)
        for thread in self._threads:
            thread.join(_STOP_SECONDS)

    def _mark_ready(self, session: str, state: _SessionState) -> None:
        if state.busy or state.freeing or state.queued:
            return
        if state.pending:
            state.queued = True
            self._ready.append(session)
            self._wake.notify()
        else:
            self._sessions.pop(session, None)

    def submit(self, job: Job) -> None:
        """Queue a step; never blocks."""
        session = job.step.session
        with self._wake:
            self._first_steps.cancel_free(session)
            state = self._sessions.setdefault(session, _SessionState())
            state.pending.append(job)
            self._mark_ready(session, state)

    def free(self, session: str) -> int:
        """Drop the queued steps of a session and free its KV cache.

        Steps submitted later wait until the cache is free. The free is
        deferred while a first step of the session may still reach the
        engine.

        :returns: number of dropped steps, for which no handler is called
        """
        with self._wake:
            state = self._sessions.setdefault(session, _SessionState())
            dropped = len(state.pending)
            state.pending.clear()
            if self._first_steps.defer_free(session):
                self._mark_ready(session, state)
                return dropped
            state.freeing += 1
            state.free_again = state.busy
        self._frees.put(session)
        return dropped

    def is_free(self, session: str) -> bool:
        """Return whether no step or free of a session is pending."""
        with self._wake:
            return session not in self._sessions

    @property
    def unsettled_first_steps(self) -> int:
        """Number of sessions whose first step may still reach the engine."""
        return len(self._first_steps)

    def collect_suspects(self, failed: list[Job] | None = None) -> list[Job]:
        """Return the jobs under way when the engine crashed.

        :param failed: jobs of the call that revealed the crash; the result
            is empty if another call has revealed the same crash before
        """
        with self._wake:
            if failed and self._suspects.issuperset(failed):
                return []
            suspects = self._running - self._suspects
            self._suspects |= suspects
            return list(suspects)

    def _wait_for_jobs(self) -> list[Job]:
        with self._wake:
            while not self._stopped:
                jobs = [] if self._alone_running else self._gather()
                if jobs:
                    self._running.update(jobs)
                    self._record_short_steps(jobs)
                    return jobs
                self._wake.wait(self._long_span_delay)
        return []

    def _gather(self) -> list[Job]:
        if self._alone_sessions and self._alone_next:
            return self._gather_alone()
        jobs = self._gather_batch()
        self._alone_next = bool(self._alone_sessions)
        if not jobs and self._alone_sessions:
            return self._gather_alone()
        return jobs

    def _gather_alone(self) -> list[Job]:
        """Take the next step that must run alone, if no other is running."""
        if self._running:
            return []
        self._alone_next = False
        session = self._alone_sessions.popleft()
        state = self._sessions[session]
        state.queued = False
        if not state.pending or state.freeing:
            self._mark_ready(session, state)
            return self._gather()
        self._alone_running = True
        state.busy = True
        return [state.pending.popleft()]

    def _gather_batch(self) -> list[Job]:
        jobs: list[Job] = []
        positions = 0
        share = -(-len(self._sessions) // MAX_CONCURRENT_CALLS)
        limit = min(self._handlers.limit(), max(MIN_STEPS, share))
        long = any(map(_is_long, self._running))
        waiting: list[str] = []
        self._long_span_delay = None
        while self._ready and len(jobs) < limit:
            session = self._ready[0]
            state = self._sessions[session]
            if not state.pending or state.freeing:
                self._ready.popleft()
                state.queued = False
                self._mark_ready(session, state)
                continue
            if self._handlers.runs_alone(state.pending[0]):
                self._alone_sessions.append(self._ready.popleft())
                continue
            if _is_long(state.pending[0]):
                if long or self._must_delay(state.pending[0]):
                    waiting.append(self._ready.popleft())
                    continue
                long = True
            positions += state.pending[0].positions
            if jobs and positions > MAX_POSITIONS:
                break
            self._ready.popleft()
            state.queued = False
            state.busy = True
            jobs.append(state.pending.popleft())
        self._ready.extendleft(reversed(waiting))
        return jobs

    def _must_delay(self, job: Job) -> bool:
        team = self._handlers.find_team(job)
        delay = self._spans.find_delay(team, time.monotonic())
        if delay:
            self._long_span_delay = min(delay, self._long_span_delay or delay)
        return delay > 0.0

    def _record_short_steps(self, jobs: list[Job]) -> None:
        now = time.monotonic()
        for job in jobs:
            if not _is_long(job):
                self._spans.record_short_step(
                    self._handlers.find_team(job), now
                )

    def _record_long_span(self, jobs: list[Job], started_at: float) -> None:
        if any(map(_is_long, jobs)):
            now = time.monotonic()
            self._spans.record_long_span(now - started_at, now)

    def _release(self, jobs: list[Job]) -> None:
        with self._wake:
            self._running.difference_update(jobs)
            self._suspects.difference_update(jobs)
            if (
                self._alone_running
                or self._alone_sessions
                or any(map(_is_long, jobs))
            ):
                self._alone_running = False
                self._wake.notify_all()
            for job in jobs:
                session = job.step.session
                state = self._sessions[session]
                state.busy = False
                if state.free_again:
                    state.free_again = False
                    state.freeing += 1
                    self._frees.put(session)
                self._mark_ready(session, state)

    def _run(self) -> None:
        while not self._stopped:
            jobs = self._wait_for_jobs()
            if jobs and not self._call(jobs):
                return

    def _call(self, jobs: list[Job]) -> bool:
        """Make one call; return False if a hedge has replaced this thread."""
        size_seconds = TIMEOUT_SECONDS_PER_POSITION * sum(
            job.positions for job in jobs
        )
        timeout = BASE_TIMEOUT_SECONDS + size_seconds
        steps = [job.step for job in jobs]
        call = self._calls_under_way.begin(steps, size_seconds, timeout)
        with self._wake:
            self._jobs[call] = jobs
        outcome = self._engine.run_steps(steps, timeout)
        if not self._calls_under_way.settle(call):
            self._first_steps.end_call(
                call.first_step_sessions,
                answered=hedging.is_delivery_over(outcome),
            )
            return False
        with self._wake:
            del self._jobs[call]
        self._finish(call, jobs, outcome)
        return True

    def _finish(
        self,
        call: hedging.EngineCall,
        jobs: list[Job],
        outcome: result.Result[list[engines.StepResult], engines.EngineError],
    ) -> None:
        self.busy_seconds += time.monotonic() - call.started_at
        self.calls += 1
        self.steps += len(jobs)
        with self._wake:
            self._record_long_span(jobs, call.started_at)
        if outcome.is_err():
            self._handlers.failed(jobs, outcome.err_value)
        else:
            self._deliver_results(jobs, outcome.ok_value)
        self._release(jobs)

    def _complete_hedged(
        self, call: hedging.EngineCall, results: list[engines.StepResult]
    ) -> None:
        """Finish a call whose own thread is blocked on a silent connection.

        A new thread replaces the blocked one.

        :param results: results of the hedge; a step that the first call has
            run fails in it, and its answer is lost
        """
        with self._wake:
            jobs = self._jobs.pop(call)
        self.rescued += 1
        threading.Thread(target=self._run, name='driver', daemon=True).start()
        lost_sessions = {
            step_result.session
            for step_result in results
            if hedging.is_answer_lost(step_result)
        }
        lost_jobs = [job for job in jobs if job.step.session in lost_sessions]
        if lost_jobs:
            detail = 'the connection to the engine went silent'
            error = engines.EngineError(detail, connection_lost=True)
            self._handlers.failed(lost_jobs, error)
            self._release(lost_jobs)
        kept = [job for job in jobs if job.step.session not in lost_sessions]
        if kept:
            self._finish(call, kept, result.Ok(results))

    def _deliver_results(
        self, jobs: list[Job], results: list[engines.StepResult]
    ) -> None:
        by_session = {
            step_result.session: step_result for step_result in results
        }
        pairs = []
        unanswered = []
        for job in jobs:
            step_result = by_session.get(job.step.session)
            if step_result is None or step_result.epoch != job.step.epoch:
                unanswered.append(job)
            else:
                pairs.append((job, step_result))
        if pairs:
            self._handlers.results(pairs)
        if unanswered:
            detail = 'the engine returned no result for a step'
            error = engines.EngineError(detail)
            self._handlers.failed(unanswered, error)

    def _run_frees(self) -> None:
        while True:
            for session in self._first_steps.pop_due():
                self.free(session)
            try:
                session = self._frees.get(timeout=_SWEEP_SECONDS)
            except queue.Empty:
                continue
            if session is None:
                return
            self._engine.free(session)
            with self._wake:
                state = self._sessions[session]
                state.freeing -= 1
                self._mark_ready(session, state)
