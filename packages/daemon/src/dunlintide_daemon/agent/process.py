"""The agent process, which stops on signals and on failed threads."""

import contextlib
import signal
import threading
from typing import Callable, Iterator

from absl import logging

from dunlintide_core import settings as settings_module
from dunlintide_daemon.agent import role
from dunlintide_daemon import externalsources

__all__ = [
    'run',
]

EXIT_FAILURE = 1
VITAL_THREADS = frozenset(('driver', 'reaper', 'ticker'))


@contextlib.contextmanager
def _watch_signals(drain: Callable[[], None]) -> Iterator[None]:
    """Start a planned stop on a signal, within the block."""
    if threading.current_thread() is not threading.main_thread():
        yield
        return
    previous = {
        number: signal.signal(number, lambda *_: drain())
        for number in (signal.SIGTERM, signal.SIGINT)
    }
    try:
        yield
    finally:
        for number, handler in previous.items():
            signal.signal(number, handler)


@contextlib.contextmanager
def _watch_threads(crash: Callable[[], None]) -> Iterator[None]:
    """Stop the process if a vital thread fails, within the block."""

    def handle_exception(details: threading.ExceptHookArgs) -> None:
        name = details.thread.name if details.thread else ''
        logging.error(
            'thread %s failed',
            name,
            exc_info=(
                details.exc_type,
                details.exc_value,
                details.exc_traceback,
            ),
        )
        if name in VITAL_THREADS:
            crash()

    previous, threading.excepthook = threading.excepthook, handle_exception
    try:
        yield
    finally:
        threading.excepthook = previous


def run(settings: settings_module.Settings) -> int:
    """Run an agent until it has drained.

    :returns: exit status, 0 after a planned stop
    :raises OSError: when a port is taken
    """
    shared = externalsources.ExternalSources.from_config(settings)
    with contextlib.ExitStack() as stack:
        agent = stack.enter_context(role.Agent(settings, shared))
        stack.enter_context(_watch_signals(agent.drain))
        stack.enter_context(_watch_threads(agent.crash))
        logging.info(
            'agent %s is listening at %s', settings.name, agent.address
        )
        agent.done.wait()
    return EXIT_FAILURE if agent.failed else 0
