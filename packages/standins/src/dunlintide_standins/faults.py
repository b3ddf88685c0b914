"""Faults that the control address of a stand-in switches on."""

import threading
import time

import msgspec

from dunlintide_standins import web

__all__ = ['Fault', 'FaultInjector']

_HANG_POLL_SECONDS = 0.05


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change; what is left out stays as it is.

    :ivar down: close each connection without an answer
    :ivar hang: accept calls and never answer them
    :ivar slow_seconds: wait before each answer
    :ivar drop_answers: run the next so many calls that change something,
        and close their connections without an answer
    """

    down: bool | None = None
    hang: bool | None = None
    slow_seconds: float | None = None
    drop_answers: int | None = None


class FaultInjector:
    """Holds the faults that are on and applies them to calls."""

    def __init__(self) -> None:
        self.down = False
        self.hang = False
        self.slow_seconds = 0.0
        self._drops = 0
        self._lock = threading.Lock()

    def change(self, fault: Fault) -> None:
        """Switch faults on or off."""
        with self._lock:
            if fault.down is not None:
                self.down = fault.down
            if fault.hang is not None:
                self.hang = fault.hang
            if fault.slow_seconds is not None:
                self.slow_seconds = fault.slow_seconds
            if fault.drop_answers is not None:
                self._drops = fault.drop_answers

    def state(self) -> dict[str, bool | float | int]:
        """Give the faults that are on, as the control address does."""
        return {
            'down': self.down,
            'hang': self.hang,
            'slow_seconds': self.slow_seconds,
            'drop_answers': self._drops,
        }

    def intercept(self) -> web.Answer | None:
        """Let a call in, or give the answer that stops it.

        A call that hung is never run, also when the fault ends.
        """
        if self.down:
            return web.drop_connection()
        if self.hang:
            while self.hang and not self.down:
                time.sleep(_HANG_POLL_SECONDS)
            return web.drop_connection()
        if self.slow_seconds > 0:
            time.sleep(self.slow_seconds)
        return None

    def should_drop_answer(self) -> bool:
        """Tell whether the answer of a call that ran is to be lost."""
        with self._lock:
            if self._drops <= 0:
                return False
            self._drops -= 1
            return True
