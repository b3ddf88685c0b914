"""Feeds the engine: gathers ready steps into calls.

Several calls are under way at a time, which the engine merges: it always
has work, and a call of few steps has its results soon. What becomes ready
meanwhile gathers for the next call. A session has one step under way at
most, which keeps its results in order. A step that may crash the
engine runs while no other does, in turn with the rest.
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
from dunlintide_daemon.agent import leftovers
from dunlintide_daemon.agent import rescue

__all__ = [
    'Driver',
    'Handlers',
    'Job',
]

CALLS = 4
# Smaller calls cost more processor time than their results' wait.
LEAST_STEPS = 16
MAX_STEPS = 256
MAX_POSITIONS = 16_384
# A slow batch must not look like a hung engine.
BASE_SECONDS = 10.0
SECONDS_PER_POSITION = 0.01
# Past this a call is looked into; see ``rescue``.
SILENCE_SECONDS = 3.0
_STOP_SECONDS = 5.0
# Between looks for sessions whose end was put off.
_SWEEP_SECONDS = 0.5


@attrs.frozen(eq=False)
class Job:
    """A step and what it is for.

    :ivar positions: size of the span, for batching
    """

    step: engines.Step
    owner: Any
    positions: int


@attrs.frozen
class Handlers:
    """Callbacks of a driver, on its threads.

    :ivar results: gets each finished call, in order for each session
    :ivar failed: gets the jobs of a call without a usable answer
    :ivar limit: returns the most steps that the next call may take
    :ivar runs_alone: tells whether a step must share the engine with none
    :ivar find_team: returns whom a step is for
    """

    results: Callable[[list[tuple[Job, engines.StepResult]]], None]
    failed: Callable[[list[Job], engines.EngineError], None]
    limit: Callable[[], int] = lambda: MAX_STEPS
    runs_alone: Callable[[Job], bool] = lambda job: False
    find_team: Callable[[Job], str] = lambda job: ''


@attrs.define(eq=False)
class _Lane:
    """Steps of one session id.

    :ivar freeing: calls under way that free the session
    :ivar free_again: whether a running step may bring the state back
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

    :ivar rescued: calls that were given up for a silent connection
    """

    def __init__(
        self,
        engine: engines.Engine,
        handlers: Handlers,
        silence: float = SILENCE_SECONDS,
        hold: float = leftovers.HOLD_SECONDS,
    ) -> None:
        """Prepare the threads; ``start`` begins.

        :param silence: seconds after which a call may be late
        :param hold: seconds for which a step may arrive late
        """
        self._engine = engine
        self._handlers = handlers
        self._lanes: dict[str, _Lane] = {}
        self._ready: collections.deque[str] = collections.deque()
        # Sessions whose next step runs alone, and whether one is next.
        self._aside: collections.deque[str] = collections.deque()
        self._alone_next = False
        self._exclusive = False
        self._running: set[Job] = set()
        self._spans = spans.SpanPacer()
        # Seconds until a long span that has to wait may begin.
        self._pause: float | None = None
        # Of those running, the ones that a crash was put down to.
        self._accused: set[Job] = set()
        self._wake = threading.Condition()
        self._jobs: dict[rescue.Flight, list[Job]] = {}
        self._frees: queue.SimpleQueue[str | None] = queue.SimpleQueue()
        self._stopped = False
        self._ended = threading.Event()
        self._flights = rescue.Flights(silence)
        self._leftovers = leftovers.Leftovers(hold)
        self._rescuer = rescue.Rescuer(
            engine, self._flights, self._take_over, self._leftovers
        )
        self.calls = 0
        self.rescued = 0
        self.steps = 0
        self.busy_seconds = 0.0
        self._threads = [
            threading.Thread(target=self._run, name='driver', daemon=True)
            for _ in range(CALLS)
        ]
        self._threads.append(
            threading.Thread(target=self._reap, name='reaper', daemon=True)
        )
        self._threads.append(
            threading.Thread(
                target=self._rescuer.run,
                args=(self._ended,),
                name='rescuer',
                daemon=True,
            )
        )

    def start(self) -> None:
        """Begin to call the engine."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the threads once their calls have returned."""
        with self._wake:
            self._stopped = True
            self._wake.notify_all()
        self._ended.set()
        self._frees.put(None)
        for thread in self._threads:
            thread.join(_STOP_SECONDS)

    def _offer(self, session: str, lane: _Lane) -> None:
        if lane.busy or lane.freeing or lane.queued:
            return
        if lane.pending:
            lane.queued = True
            self._ready.append(session)
            self._wake.notify()
        else:
            self._lanes.pop(session, None)

    def submit(self, job: Job) -> None:
        """Queue a step; never blocks."""
        session = job.step.session
        with self._wake:
            self._leftovers.cancel(session)
            lane = self._lanes.setdefault(session, _Lane())
            lane.pending.append(job)
            self._offer(session, lane)

    def free(self, session: str) -> int:
        """Drop what is queued for a session and free its KV cache.

        Steps that are submitted later wait until that has been done. While
        a first step of the session may still arrive, its cache is kept.

        :returns: steps that were dropped, which no handler hears of
        """
        with self._wake:
            lane = self._lanes.setdefault(session, _Lane())
            dropped = len(lane.pending)
            lane.pending.clear()
            if self._leftovers.put_off(session):
                self._offer(session, lane)
                return dropped
            lane.freeing += 1
            lane.free_again = lane.busy
        self._frees.put(session)
        return dropped

    def is_free(self, session: str) -> bool:
        """Return whether nothing of a session is queued or under way."""
        with self._wake:
            return session not in self._lanes

    @property
    def kept(self) -> int:
        """Sessions that the engine keeps against a late first step."""
        return len(self._leftovers)

    def accuse(self, failed: list[Job] | None = None) -> list[Job]:
        """Return the jobs under way when the engine crashed.

        :param failed: jobs of the call that shows the crash; nothing is
            returned when an earlier one had shown the same crash
        """
        with self._wake:
            if failed and self._accused.issuperset(failed):
                return []
            found = self._running - self._accused
            self._accused |= found
            return list(found)

    def _take(self) -> list[Job]:
        with self._wake:
            while not self._stopped:
                jobs = [] if self._exclusive else self._gather()
                if jobs:
                    self._running.update(jobs)
                    self._note_short(jobs)
                    return jobs
                self._wake.wait(self._pause)
        return []

    def _gather(self) -> list[Job]:
        if self._aside and self._alone_next:
            return self._gather_alone()
        jobs = self._gather_batch()
        self._alone_next = bool(self._aside)
        if not jobs and self._aside:
            return self._gather_alone()
        return jobs

    def _gather_alone(self) -> list[Job]:
        """Take the step that runs next by itself, once no other runs."""
        if self._running:
            return []
        self._alone_next = False
        session = self._aside.popleft()
        lane = self._lanes[session]
        lane.queued = False
        if not lane.pending or lane.freeing:
            self._offer(session, lane)
            return self._gather()
        self._exclusive = True
        lane.busy = True
        return [lane.pending.popleft()]

    def _gather_batch(self) -> list[Job]:
        jobs: list[Job] = []
        positions = 0
        share = -(-len(self._lanes) // CALLS)
        limit = min(self._handlers.limit(), max(LEAST_STEPS, share))
        long = any(map(_is_long, self._running))
        waiting: list[str] = []
        self._pause = None
        while self._ready and len(jobs) < limit:
            session = self._ready[0]
            lane = self._lanes[session]
            if not lane.pending or lane.freeing:
                self._ready.popleft()
                lane.queued = False
                self._offer(session, lane)
                continue
            if self._handlers.runs_alone(lane.pending[0]):
                self._aside.append(self._ready.popleft())
                continue
            if _is_long(lane.pending[0]):
                if long or self._must_pause(lane.pending[0]):
                    waiting.append(self._ready.popleft())
                    continue
                long = True
            positions += lane.pending[0].positions
            if jobs and positions > MAX_POSITIONS:
                break
            self._ready.popleft()
            lane.queued = False
            lane.busy = True
            jobs.append(lane.pending.popleft())
        self._ready.extendleft(reversed(waiting))
        return jobs

    def _must_pause(self, job: Job) -> bool:
        team = self._handlers.find_team(job)
        pause = self._spans.find_delay(team, time.monotonic())
        if pause:
            self._pause = min(pause, self._pause or pause)
        return pause > 0.0

    def _note_short(self, jobs: list[Job]) -> None:
        now = time.monotonic()
        for job in jobs:
            if not _is_long(job):
                self._spans.record_short_step(
                    self._handlers.find_team(job), now
                )

    def _note_long(self, jobs: list[Job], began: float) -> None:
        if any(map(_is_long, jobs)):
            now = time.monotonic()
            self._spans.record_long_span(now - began, now)

    def _release(self, jobs: list[Job]) -> None:
        with self._wake:
            self._running.difference_update(jobs)
            self._accused.difference_update(jobs)
            if self._exclusive or self._aside or any(map(_is_long, jobs)):
                self._exclusive = False
                self._wake.notify_all()
            for job in jobs:
                session = job.step.session
                lane = self._lanes[session]
                lane.busy = False
                if lane.free_again:
                    lane.free_again = False
                    lane.freeing += 1
                    self._frees.put(session)
                self._offer(session, lane)

    def _run(self) -> None:
        while not self._stopped:
            jobs = self._take()
            if jobs and not self._call(jobs):
                return

    def _call(self, jobs: list[Job]) -> bool:
        """Make one call; False when another thread has replaced this one."""
        work = SECONDS_PER_POSITION * sum(job.positions for job in jobs)
        seconds = BASE_SECONDS + work
        steps = [job.step for job in jobs]
        flight = self._flights.begin(steps, work, seconds)
        with self._wake:
            self._jobs[flight] = jobs
        called = self._engine.run_steps(steps, seconds)
        if not self._flights.settle(flight):
            self._leftovers.end(flight.begun, answered=rescue.is_over(called))
            return False
        with self._wake:
            del self._jobs[flight]
        self._finish(flight, jobs, called)
        return True

    def _finish(
        self,
        flight: rescue.Flight,
        jobs: list[Job],
        called: result.Result[list[engines.StepResult], engines.EngineError],
    ) -> None:
        self.busy_seconds += time.monotonic() - flight.began
        self.calls += 1
        self.steps += len(jobs)
        with self._wake:
            self._note_long(jobs, flight.began)
        if called.is_err():
            self._handlers.failed(jobs, called.err_value)
        else:
            self._hand_on(jobs, called.ok_value)
        self._release(jobs)

    def _take_over(
        self, flight: rescue.Flight, results: list[engines.StepResult]
    ) -> None:
        """Finish a call whose thread waits on a silent connection."""
        with self._wake:
            jobs = self._jobs.pop(flight)
        self.rescued += 1
        threading.Thread(target=self._run, name='driver', daemon=True).start()
        lost = {found.session for found in results if rescue.is_lost(found)}
        gone = [job for job in jobs if job.step.session in lost]
        if gone:
            detail = 'the connection to the engine went silent'
            error = engines.EngineError(detail, connection_lost=True)
            self._handlers.failed(gone, error)
            self._release(gone)
        kept = [job for job in jobs if job.step.session not in lost]
        if kept:
            self._finish(flight, kept, result.Ok(results))

    def _hand_on(
        self, jobs: list[Job], results: list[engines.StepResult]
    ) -> None:
        by_session = {found.session: found for found in results}
        pairs = []
        missing = []
        for job in jobs:
            found = by_session.get(job.step.session)
            if found is None or found.epoch != job.step.epoch:
                missing.append(job)
            else:
                pairs.append((job, found))
        if pairs:
            self._handlers.results(pairs)
        if missing:
            error = engines.EngineError('steps without a result')
            self._handlers.failed(missing, error)

    def _reap(self) -> None:
        while True:
            for session in self._leftovers.take_due():
                self.free(session)
            try:
                session = self._frees.get(timeout=_SWEEP_SECONDS)
            except queue.Empty:
                continue
            if session is None:
                return
            self._engine.free(session)
            with self._wake:
                lane = self._lanes[session]
                lane.freeing -= 1
                self._offer(session, lane)
