"""What becomes of a long-lived thread that meets an unexpected error.

Periodic work begins each round from the state of that moment, so it is
begun anew and the error is logged. A thread whose state can't be trusted
after an error stops the process, which is replaced like any lost host.
"""

import collections
import threading
from typing import Any, Callable

from absl import logging

from dunlintide_adapters import links
from dunlintide_adapters.wire import link_pb2

__all__ = [
    'Supervisor',
    'guard_frames',
    'install_excepthook',
]

# How long a thread that failed waits, so that an error that stays doesn't
# fill the log or a core.
RESTART_DELAY_SECONDS = 1.0
# Threads of libraries and adapters by the beginning of their names.
# Claims and configuration are decided by what these hold, and without
# their loops no caller is served and no agent reached.
_CRITICAL = ('claims', 'http-', 'store-watch', 'event-loop')

FrameHandler = Callable[[links.Link, list[link_pb2.Frame]], None]


class Supervisor:
    """Runs periodic work on threads that outlive its errors."""

    def __init__(
        self, done: threading.Event, delay: float = RESTART_DELAY_SECONDS
    ) -> None:
        """Begin without threads.

        :param done: set when all of them should end
        :param pause: seconds from an error to the next try
        """
        self._done = done
        self._delay = delay
        self._errors: collections.Counter[str] = collections.Counter()

    def start(self, name: str, work: Callable[[], None]) -> threading.Thread:
        """Start a thread.

        :param work: returns once the event is set; begun anew after an
            error
        """
        thread = threading.Thread(
            target=self._run, args=(name, work), name=name, daemon=True
        )
        thread.start()
        return thread

    def _run(self, name: str, work: Callable[[], None]) -> None:
        while not self._done.is_set():
            try:
                work()
            except Exception:
                self._errors[name] += 1
                logging.exception('thread %s failed and goes on', name)
            # Work that returns early is begun anew as well.
            self._done.wait(self._delay)

    def describe(self) -> dict[str, int]:
        """Return the number of errors by thread."""
        return dict(self._errors)


def guard_frames(handle: FrameHandler) -> FrameHandler:
    """Close a link whose frames meet an unexpected error.

    It is dialled anew and what ran over it is recovered, as after any
    lost link.
    :param take: takes frames of a link
    """

    def handle_guarded(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        try:
            handle(link, frames)
        except Exception:
            logging.exception('frames of %s not taken', link.peer.name)
            link.close()

    return handle_guarded


def _is_critical(thread: threading.Thread | None) -> bool:
    return thread is not None and thread.name.startswith(_CRITICAL)


def _handle_thread_error(details: Any) -> None:
    name = details.thread.name if details.thread else 'unknown'
    error = details.exc_type, details.exc_value, details.exc_traceback
    if _is_critical(details.thread):
        logging.fatal('thread %s failed', name, exc_info=error)
    logging.error('thread %s ended by an error', name, exc_info=error)


def install_excepthook() -> None:
    """Log what ends a thread, and stop the process for a critical one."""
    threading.excepthook = _handle_thread_error
