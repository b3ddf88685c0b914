"""Calls to the engine that stay without an answer.

A connection can go silent for good while new ones work, and then its
call would hold its sessions until the longest time that a slow engine
may take. A call that is late is looked into: when the engine is well, the
same steps are asked for once more over a new connection. The engine
refuses positions that it has run, so nothing runs twice, and it takes
steps in turn, so a call that is only slow is answered first. It knows
that of sessions which it holds only, so none is freed while either call
may bring its first step; see ``leftovers``.
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
# A call is late after this many times what such calls took of late.
LATE_FACTOR = 4.0
_SMOOTHING = 0.2
# A slow answer and the refusal of its double leave the engine together.
GRACE_SECONDS = 0.5
_RAN_ERROR = 'position'
_STALE_EPOCH_ERROR = 'stale-epoch'


@attrs.define(eq=False)
class EngineCall:
    """One call under way.

    :ivar late: monotonic time from which it is looked into
    :ivar end: monotonic time at which it is given up
    :ivar settled: whether somebody has taken care of its outcome
    """

    steps: list[engines.Step]
    started_at: float
    late_at: float
    give_up_at: float
    settled: threading.Event = attrs.field(factory=threading.Event)
    examined: bool = False

    @property
    def first_step_sessions(self) -> list[str]:
        """Sessions whose first step this is."""
        return [step.session for step in self.steps if not step.position]


def is_answer_lost(found: engines.StepResult) -> bool:
    """Return whether the engine had run a step: its answer was lost."""
    return found.error in (_RAN_ERROR, _STALE_EPOCH_ERROR)


def is_delivery_over(
    called: result.Result[list[engines.StepResult], engines.EngineError],
) -> bool:
    """Return whether no step of a call can reach the engine any more."""
    if called.is_ok():
        return True
    return bool(called.err_value.status) or not called.err_value.sent


class CallTracker:
    """The calls under way; each is settled by one thread only."""

    def __init__(
        self, silence: float, clock: Callable[[], float] = time.monotonic
    ) -> None:
        """Begin with none.

        :param silence: least time in seconds after which a call is late
        """
        self._silence = silence
        self._clock = clock
        self._lock = threading.Lock()
        self._calls: set[EngineCall] = set()
        self._mean = 0.0

    def begin(
        self, steps: list[engines.Step], size_seconds: float, timeout: float
    ) -> EngineCall:
        """Take note of a call.

        :param work: seconds that its size allows it beyond others
        :param longest: seconds that it may take at most
        """
        now = self._clock()
        late_at = now + self._silence + size_seconds + LATE_FACTOR * self._mean
        call = EngineCall(steps, now, late_at, now + timeout)
        with self._lock:
            self._calls.add(call)
        return call

    def settle(self, call: EngineCall) -> bool:
        """Take over the outcome of a call; False when another has."""
        with self._lock:
            if call.settled.is_set():
                return False
            call.settled.set()
            self._calls.discard(call)
            took = self._clock() - call.started_at
            self._mean += _SMOOTHING * (took - self._mean)
            return True

    def claim_late(self) -> list[EngineCall]:
        """Give the calls that are late and that nobody looks into."""
        now = self._clock()
        with self._lock:
            found = [
                one
                for one in self._calls
                if not one.examined and now > one.late_at
            ]
            for one in found:
                one.examined = True
            return found

    def postpone(self, call: EngineCall) -> None:
        """Look into a call again later."""
        call.late_at = self._clock() + self._silence
        call.examined = False

    def get_remaining_seconds(self, call: EngineCall) -> float:
        """Return the seconds until a call is given up."""
        return max(0.0, call.give_up_at - self._clock())


class Hedger:
    """Looks into late calls, each on a thread of its own."""

    def __init__(
        self,
        engine: engines.Engine,
        tracker: CallTracker,
        complete: Callable[[EngineCall, list[engines.StepResult]], None],
        first_steps: firststeps.FirstSteps,
    ) -> None:
        """Remember whom to ask and whom to tell.

        :param take_over: gets a call whose connection is silent, settled,
            and what its steps gave when they were asked for again
        :param kept: hears which first steps are asked for again
        """
        self._engine = engine
        self._calls = tracker
        self._complete = complete
        self._first_steps = first_steps

    def run(self, stopped: threading.Event) -> None:
        """Look into late calls until the event is set."""
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
            # The supervisor tells when the engine is to be given up.
            self._calls.postpone(call)
            return
        remaining = self._calls.get_remaining_seconds(call)
        if not remaining:
            return  # The call ends by itself now.
        self._first_steps.add_call(call.first_step_sessions)
        hedged = self._engine.run_steps(call.steps, remaining, anew=True)
        if hedged.is_ok():
            call.settled.wait(GRACE_SECONDS)
        if hedged.is_err() or not self._calls.settle(call):
            self._first_steps.end_call(
                call.first_step_sessions, answered=is_delivery_over(hedged)
            )
            self._calls.postpone(call)
            return
        # From now on it is the first call that may be late; see ``Driver``.
        # Idle connections may have gone silent with this one.
        self._engine.renew()
        self._complete(call, hedged.ok_value)
