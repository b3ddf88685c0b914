"""Hedging of late calls to the engine.

A connection can go silent for good while new ones work. Its call would then
block its sessions until the timeout, which allows for a slow engine. If the
engine is healthy, a late call is therefore repeated over a new connection.
The engine refuses positions that it has run, so no step runs twice, and it
runs steps in order of arrival, so a call that is merely slow is answered
first. The engine can refuse duplicates only for sessions that it holds, so a
session is not freed while either call may bring its first step; see
``firststeps``.
"""

import threading
import time
from typing import Callable

import attrs
import result

from dunlintide_adapters import engine as engines
from dunlintide_daemon.agent import firststeps

__all__ = [
    'CallTracker',
    'EngineCall',
    'Hedger',
    'is_answer_lost',
    'is_delivery_over',
]

CHECK_SECONDS = 0.1
# A call is late after this multiple of the mean duration of recent calls.
LATE_FACTOR = 4.0
_SMOOTHING = 0.2
# The answer of a slow call and the refusal of its hedge leave the engine at
# the same time, so the original gets this long to arrive first.
GRACE_SECONDS = 0.5
_RAN_ERROR = 'position'
_STALE_EPOCH_ERROR = 'stale-epoch'


@attrs.define(eq=False)
class EngineCall:
    """One call under way.

    :ivar started_at: monotonic time in seconds
    :ivar late_at: monotonic time from which the call counts as late
    :ivar give_up_at: monotonic time at which the call times out
    :ivar settled: set once a thread has taken the outcome
    :ivar examined: whether the hedger is examining the call
    """

    steps: list[engines.Step]
    started_at: float
    late_at: float
    give_up_at: float
    settled: threading.Event = attrs.field(factory=threading.Event)
    examined: bool = False

    @property
    def first_step_sessions(self) -> list[str]:
        """Sessions whose first step the call carries."""
        return [step.session for step in self.steps if not step.position]


def is_answer_lost(step_result: engines.StepResult) -> bool:
    """Return whether the engine ran a step before, so the answer is lost."""
    return step_result.error in (_RAN_ERROR, _STALE_EPOCH_ERROR)


def is_delivery_over(
    outcome: result.Result[list[engines.StepResult], engines.EngineError],
) -> bool:
    """Return whether no step of a call can still reach the engine."""
    if outcome.is_ok():
        return True
    return bool(outcome.err_value.status) or not outcome.err_value.sent


class CallTracker:
    """The calls under way, each settled by exactly one thread."""

    def __init__(
        self, silence: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Start without calls.

        :param silence: minimum time in seconds before a call is late
        """
        self._silence = silence
        self._clock = clock
        self._lock = threading.Lock()
        self._calls: set[EngineCall] = set()
        self._mean = 0.0

    def begin(
        self, steps: list[engines.Step], size_seconds: float, timeout: float
    ) -> EngineCall:
        """Record the start of a call.

        :param size_seconds: extra time allowed for the size of the call
        :param timeout: maximum duration of the call in seconds
        """
        now = self._clock()
        late_at = now + self._silence + size_seconds + LATE_FACTOR * self._mean
        call = EngineCall(steps, now, late_at, now + timeout)
        with self._lock:
            self._calls.add(call)
        return call

    def settle(self, call: EngineCall) -> bool:
        """Settle a call; return False if another thread has settled it."""
        with self._lock:
            if call.settled.is_set():
                return False
            call.settled.set()
            self._calls.discard(call)
            took = self._clock() - call.started_at
            self._mean += _SMOOTHING * (took - self._mean)
            return True

    def claim_late(self) -> list[EngineCall]:
        """Mark as examined and return the late calls that were not."""
        now = self._clock()
        with self._lock:
            late_calls = [
                call
                for call in self._calls
                if not call.examined and now > call.late_at
            ]
            for call in late_calls:
                call.examined = True
            return late_calls

    def postpone(self, call: EngineCall) -> None:
        """Let a call be examined again after the silence time."""
        call.late_at = self._clock() + self._silence
        call.examined = False

    def get_remaining_seconds(self, call: EngineCall) -> float:
        """Return the seconds until a call times out."""
        return max(0.0, call.give_up_at - self._clock())


class Hedger:
    """Repeats late calls, each on a separate thread."""

    def __init__(
        self,
        engine: engines.Engine,
        tracker: CallTracker,
        complete: Callable[[EngineCall, list[engines.StepResult]], None],
        first_steps: firststeps.FirstSteps,
    ) -> None:
        """Set the engine and the callback.

        :param complete: receives a settled call whose connection is silent,
            and the results of its hedge
        :param first_steps: records the first steps that hedges carry
        """
        self._engine = engine
        self._calls = tracker
        self._complete = complete
        self._first_steps = first_steps

    def run(self, stopped: threading.Event) -> None:
        """Examine late calls until the event is set."""
        while not stopped.wait(CHECK_SECONDS):
            for call in self._calls.claim_late():
                threading.Thread(
                    target=self._examine,
                    args=(call,),
                    name='rescue',
                    daemon=True,
                ).start()

    def _examine(self, call: EngineCall) -> None:
        if self._engine.check_health().is_err():
            # The supervisor decides when the engine counts as lost.
            self._calls.postpone(call)
            return
        remaining = self._calls.get_remaining_seconds(call)
        if not remaining:
            return  # The call is about to time out.
        self._first_steps.add_call(call.first_step_sessions)
        hedged = self._engine.run_steps(
            call.steps, remaining, new_connection=True
        )
        if hedged.is_ok():
            call.settled.wait(GRACE_SECONDS)
        if hedged.is_err() or not self._calls.settle(call):
            self._first_steps.end_call(
                call.first_step_sessions, answered=is_delivery_over(hedged)
            )
            self._calls.postpone(call)
            return
        # The first steps stay recorded: the first call may still deliver them,
        # and the driver ends the record when that call returns.
        # Other idle connections may be silent as well, so all are renewed.
        self._engine.reset_connections()
        self._complete(call, hedged.ok_value)
