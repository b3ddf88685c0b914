"""Fault injection through the control address of a stand-in."""

import threading
import time

import msgspec

from dunlintide_standins import web

__all__ = ['Fault', 'FaultInjector']

_HANG_POLL_SECONDS = 0.05


class Fault(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change; fields that are None keep the current value.

    :ivar down: close each connection without a response
    :ivar hang: accept calls and never respond
    :ivar slow_seconds: delay before each call runs
    :ivar drop_answers: number of further changing calls that run and whose
        connections are closed without a response
    """

    down: bool | None = None
    hang: bool | None = None
    slow_seconds: float | None = None
    drop_answers: int | None = None


class FaultInjector:
    """Applies the active faults to calls."""

    def __init__(self) -> None:
        self.down = False
        self.hang = False
        self.slow_seconds = 0.0
        self._drops = 0
        self._lock = threading.Lock()

    def change(self, fault: Fault) -> None:
        """Set the faults that are not None."""
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
        """Return the current faults, as the control address reports them."""
        return {
            'down': self.down,
            'hang': self.hang,
            'slow_seconds': self.slow_seconds,
            'drop_answers': self._drops,
        }

    def intercept(self) -> web.Answer | None:
        """Delay a call if it is to be slow, or return a response to it.

        A call that hung is never run, even after the fault ends.

        :returns: None if the call is to run
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
        """Return whether to drop a response, and count it as dropped."""
        with self._lock:
            if self._drops <= 0:
                return False
            self._drops -= 1
            return True
