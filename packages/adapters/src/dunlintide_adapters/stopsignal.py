"""Signals to stop, with the time at which they arrive.

An event loop calls its own signal handlers only between two callbacks. The
platform counts the grace period from the signal, so that a busy loop must not
delay its start.
"""

import asyncio
import signal

__all__ = ['StopSignal']

SIGNALS = signal.SIGTERM, signal.SIGINT


class StopSignal:
    """The first of the signals that tell a process to stop."""

    def __init__(self) -> None:
        """Handle the signals from now on; needs the main thread's loop."""
        self._loop = asyncio.get_running_loop()
        self._arrived = asyncio.Event()
        self._at: float | None = None
        for number in SIGNALS:
            signal.signal(number, self._handle)

    def _handle(self, number: int, frame: object) -> None:
        # The interpreter calls it between two instructions of the main
        # thread, so also within a callback.
        if self._at is None:
            self._at = self._loop.time()
        self._loop.call_soon_threadsafe(self._arrived.set)

    async def wait(self) -> float:
        """Wait for a signal.

        :returns: loop time at which the first one arrived, in seconds
        """
        await self._arrived.wait()
        return self._at
