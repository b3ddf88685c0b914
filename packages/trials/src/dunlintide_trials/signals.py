"""Conversion of SIGINT and SIGTERM into an orderly stop of a trial."""

import contextlib
import signal
import threading
from typing import Iterator

__all__ = ['exit_on_signals', 'wait_for_signal']

_NUMBERS = (signal.SIGINT, signal.SIGTERM)
_SHELL_BASE = 128


def _ignore() -> None:
    for number in _NUMBERS:
        signal.signal(number, signal.SIG_IGN)


def _exit(number: int, _frame: object) -> None:
    # A second signal must not interrupt the stop of the processes.
    _ignore()
    raise SystemExit(_SHELL_BASE + number)


@contextlib.contextmanager
def exit_on_signals() -> Iterator[None]:
    """Raise SystemExit within the context on SIGINT or SIGTERM."""
    before = [signal.signal(number, _exit) for number in _NUMBERS]
    try:
        yield
    finally:
        for number, handler in zip(_NUMBERS, before):
            signal.signal(number, handler)


def wait_for_signal() -> None:
    """Wait for SIGINT or SIGTERM and ignore further ones."""
    came = threading.Event()
    for number in _NUMBERS:
        signal.signal(number, lambda *_: came.set())
    came.wait()
    _ignore()
