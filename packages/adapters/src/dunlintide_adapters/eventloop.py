"""The event loop of a process, on a thread of its own.

All links share the loop, so an idle link needs no thread and no polling.
"""

import asyncio
from concurrent import futures
import functools
import threading
from typing import Any, Callable, Coroutine

__all__ = [
    'call_soon',
    'is_current',
    'run',
    'spawn',
]


@functools.cache
def _get_loop() -> asyncio.AbstractEventLoop:
    loop = asyncio.new_event_loop()

    def run_loop() -> None:
        asyncio.set_event_loop(loop)
        loop.run_forever()

    threading.Thread(target=run_loop, name='event-loop', daemon=True).start()
    return loop


def is_current() -> bool:
    """Return whether the caller runs on the loop's thread."""
    try:
        return asyncio.get_running_loop() is _get_loop()
    except RuntimeError:
        return False


def call_soon(function: Callable[[], Any]) -> None:
    """Schedule a call of a function on the loop."""
    _get_loop().call_soon_threadsafe(function)


def spawn(coroutine: Coroutine) -> futures.Future:
    """Run a coroutine on the loop, in the background."""
    return asyncio.run_coroutine_threadsafe(coroutine, _get_loop())


def run(coroutine: Coroutine) -> Any:
    """Run a coroutine on the loop and wait for its result.

    :raises RuntimeError: if called on the loop's thread
    """
    if is_current():
        coroutine.close()
        raise RuntimeError(
            'a call on the event loop thread cannot wait for the loop'
        )
    return spawn(coroutine).result()
