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
from dunlintide_daemon.agent import leftovers

__all__ = [
    'Flight',
    'Flights',
    'Rescuer',
    'is_lost',
    'is_over',
]

CHECK_SECONDS = 0.1
# A call is late after this many times what such calls took of late.
SLOWNESS = 4.0
_SMOOTHING = 0.2
# A slow answer and the refusal of its double leave the engine together.
GRACE_SECONDS = 0.5
_HAS_RUN = 'position'
_HAS_NEWER = 'stale-epoch'


@attrs.define(eq=False)
class Flight:
    """One call under way.

    :ivar late: monotonic time from which it is looked into
    :ivar end: monotonic time at which it is given up
    :ivar settled: whether somebody has taken care of its outcome
    """

    steps: list[engines.Step]
    began: float
    late: float
    end: float
    settled: threading.Event = attrs.field(factory=threading.Event)
    examined: bool = False

    @property
    def begun(self) -> list[str]:
        """Sessions whose first step this is."""
        return [step.session for step in self.steps if not step.position]


def is_lost(found: engines.StepResult) -> bool:
    """Return whether the engine had run a step: its answer was lost."""
    return found.error in (_HAS_RUN, _HAS_NEWER)


def is_over(
    called: result.Result[list[engines.StepResult], engines.EngineError],
) -> bool:
    """Return whether no step of a call can reach the engine any more."""
    if called.is_ok():
        return True
    return bool(called.err_value.status) or not called.err_value.sent


class Flights:
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
        self._flights: set[Flight] = set()
        self._mean = 0.0

    def begin(
        self, steps: list[engines.Step], work: float, longest: float
    ) -> Flight:
        """Take note of a call.

        :param work: seconds that its size allows it beyond others
        :param longest: seconds that it may take at most
        """
        now = self._clock()
        late = now + self._silence + work + SLOWNESS * self._mean
        flight = Flight(steps, now, late, now + longest)
        with self._lock:
            self._flights.add(flight)
        return flight

    def settle(self, flight: Flight) -> bool:
        """Take over the outcome of a call; False when another has."""
        with self._lock:
            if flight.settled.is_set():
                return False
            flight.settled.set()
            self._flights.discard(flight)
            took = self._clock() - flight.began
            self._mean += _SMOOTHING * (took - self._mean)
            return True

    def take_late(self) -> list[Flight]:
        """Give the calls that are late and that nobody looks into."""
        now = self._clock()
        with self._lock:
            found = [
                one
                for one in self._flights
                if not one.examined and now > one.late
            ]
            for one in found:
                one.examined = True
            return found

    def put_off(self, flight: Flight) -> None:
        """Look into a call again later."""
        flight.late = self._clock() + self._silence
        flight.examined = False

    def tell_left(self, flight: Flight) -> float:
        """Return the seconds until a call is given up."""
        return max(0.0, flight.end - self._clock())


class Rescuer:
    """Looks into late calls, each on a thread of its own."""

    def __init__(
        self,
        engine: engines.Engine,
        flights: Flights,
        take_over: Callable[[Flight, list[engines.StepResult]], None],
        kept: leftovers.Leftovers,
    ) -> None:
        """Remember whom to ask and whom to tell.

        :param take_over: gets a call whose connection is silent, settled,
            and what its steps gave when they were asked for again
        :param kept: hears which first steps are asked for again
        """
        self._engine = engine
        self._flights = flights
        self._take_over = take_over
        self._kept = kept

    def run(self, stopped: threading.Event) -> None:
        """Look into late calls until the event is set."""
        while not stopped.wait(CHECK_SECONDS):
            for flight in self._flights.take_late():
                threading.Thread(
                    target=self._examine,
                    args=(flight,),
                    name='rescue',
                    daemon=True,
                ).start()

    def _examine(self, flight: Flight) -> None:
        if self._engine.check_health().is_err():
            # The supervisor tells when the engine is to be given up.
            self._flights.put_off(flight)
            return
        left = self._flights.tell_left(flight)
        if not left:
            return  # The call ends by itself now.
        self._kept.begin(flight.begun)
        asked = self._engine.run_steps(flight.steps, left, new_connection=True)
        if asked.is_ok():
            flight.settled.wait(GRACE_SECONDS)
        if asked.is_err() or not self._flights.settle(flight):
            self._kept.end(flight.begun, answered=is_over(asked))
            self._flights.put_off(flight)
            return
        # From now on it is the first call that may be late; see ``Driver``.
        # Idle connections may have gone silent with this one.
        self._engine.reset_connections()
        self._take_over(flight, asked.ok_value)
