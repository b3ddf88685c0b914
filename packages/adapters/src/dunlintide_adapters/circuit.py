"""Circuit breaker: fails calls immediately while their target is down."""

import random

import attrs

__all__ = ['CircuitBreaker', 'CircuitTiming']


@attrs.frozen
class CircuitTiming:
    """When a circuit breaker opens and how it probes.

    :ivar failures: consecutive failures that open it
    :ivar initial_pause: seconds before the first probe
    :ivar max_pause: maximum seconds between probes; the pause doubles after
        each failed probe
    """

    failures: int = 3
    initial_pause: float = 0.2
    max_pause: float = 2.0


class CircuitBreaker:
    """Admits all calls while closed, and one probe at a time while open.

    Not thread-safe; the caller serializes access.
    """

    def __init__(
        self, timing: CircuitTiming, rng: random.Random | None = None
    ) -> None:
        """Start closed.

        :param rng: source of the jitter that keeps processes from probing
            at the same time
        """
        self._timing = timing
        self._rng = rng or random.Random()
        self._failures = 0
        self._retry_at = 0.0
        self._pause = timing.initial_pause
        self._probing = False

    @property
    def is_open(self) -> bool:
        """Whether calls are refused, except for probes."""
        return self._failures >= self._timing.failures

    def admit(self, now: float) -> bool:
        """Return whether a call is allowed.

        Each allowed call must end in ``succeed``, ``fail`` or ``release``.

        :param now: monotonic time in seconds
        """
        if not self.is_open:
            return True
        if self._probing or now < self._retry_at:
            return False
        self._probing = True
        return True

    def release(self) -> None:
        """Record a call whose result says nothing about the target."""
        self._probing = False

    def succeed(self) -> None:
        """Record an answered call; closes the circuit."""
        self._failures = 0
        self._pause = self._timing.initial_pause
        self._probing = False

    def fail(self, now: float) -> None:
        """Record a call that was not answered.

        :param now: monotonic time in seconds
        """
        was_open = self.is_open
        self._failures += 1
        self._probing = False
        if not self.is_open:
            return
        if was_open:
            self._pause = min(self._pause * 2, self._timing.max_pause)
        self._retry_at = now + self._pause * self._rng.uniform(0.5, 1.0)
