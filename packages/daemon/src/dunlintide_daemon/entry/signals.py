"""What an entry does on signals of its operators."""

import json
import signal
import sys
import threading
from typing import Any, Callable

__all__ = [
    'watch',
]


def watch(
    done: threading.Event, describe: Callable[[], dict[str, Any]]
) -> None:
    """Stop on SIGTERM and SIGINT, dump the state on SIGUSR1.

    :param done: set when the process should stop
    :param describe: returns the state, with keys masked
    """

    def show(*_) -> None:
        json.dump(describe(), sys.stderr, default=str)
        sys.stderr.write('\n')

    def dump_aside(*_) -> None:
        # A handler interrupts any line of the main thread, so it must
        # not wait for a lock itself.
        threading.Thread(target=show, daemon=True).start()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: done.set())
    signal.signal(signal.SIGUSR1, dump_aside)
