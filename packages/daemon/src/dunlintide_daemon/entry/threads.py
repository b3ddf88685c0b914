"""Handling of unexpected errors in long-lived threads.

Periodic work reads the current state in each round, so an error is logged
and the work restarted. An error in a thread whose state can't be trusted
afterwards stops the process, which is replaced like any lost host.
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

# Delay before failed work is restarted, so that a permanent error neither
# floods the log nor occupies a core.
RESTART_DELAY_SECONDS = 1.0
# Name prefixes of threads of libraries and adapters whose errors stop the
# process. Claims and configuration depend on the state that these threads
# hold, and without their loops no caller is served and no agent reachable.
_CRITICAL = ('claims', 'http-', 'store-watch', 'event-loop')

FrameHandler = Callable[[links.Link, list[link_pb2.Frame]], None]


class Supervisor:
    """Runs periodic work on threads and restarts it after errors."""

    def __init__(
        self, done: threading.Event, delay: float = RESTART_DELAY_SECONDS
    ) -> None:
        """Initialize without threads.

        :param done: set when all threads should end
        :param delay: seconds from an error to the restart
        """
        self._done = done
        self._delay = delay
        self._errors: collections.Counter[str] = collections.Counter()

    def start(self, name: str, work: Callable[[], None]) -> threading.Thread:
        """Start a supervised thread.

        :param name: name of the thread
        :param work: returns once the event is set; restarted after an
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
                logging.exception(
                    'thread %s failed, restarting its work', name
                )
            # Work that returns early is restarted as well.
            self._done.wait(self._delay)

    def describe(self) -> dict[str, int]:
        """Return the number of errors by thread."""
        return dict(self._errors)


def guard_frames(handle: FrameHandler) -> FrameHandler:
    """Wrap a frame handler to close the link on an unexpected error.

    The link is then redialled and its requests are recovered, as after any
    lost link.

    :param handle: frame handler to wrap
    """

    def handle_guarded(link: links.Link, frames: list[link_pb2.Frame]) -> None:
        try:
            handle(link, frames)
        except Exception:
            logging.exception(
                'failed to handle frames of %s, closing the link',
                link.peer.name,
            )
            link.close()

    return handle_guarded


def _is_critical(thread: threading.Thread | None) -> bool:
    return thread is not None and thread.name.startswith(_CRITICAL)


def _handle_thread_error(details: Any) -> None:
    name = details.thread.name if details.thread else 'unknown'
    error = details.exc_type, details.exc_value, details.exc_traceback
    if _is_critical(details.thread):
        logging.fatal('critical thread %s failed', name, exc_info=error)
    logging.error(
        'thread %s ended by an unhandled error', name, exc_info=error
    )


def install_excepthook() -> None:
    """Log unhandled errors of threads; stop the process if critical."""
    threading.excepthook = _handle_thread_error
