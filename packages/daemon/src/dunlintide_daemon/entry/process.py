"""An entry as a process, which stops and dumps on signals."""

import json
import signal
import sys
import threading
from typing import Any, Callable

from absl import logging

from dunlintide_core import settings as settings_module
from dunlintide_daemon.entry import role
from dunlintide_daemon.entry import sources
from dunlintide_daemon.entry import threads
from dunlintide_daemon import externalsources

__all__ = [
    'run',
]


def _watch(
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


def run(settings: settings_module.Settings) -> int:
    """Run an entry until it is told to stop.

    :returns: exit status, 0 after a planned stop
    :raises OSError: when a port is taken
    """
    threads.watch_errors()
    outside = sources.Sources.from_config(settings)
    shared = externalsources.ExternalSources.from_config(settings)
    with role.Entry(settings, outside, shared=shared) as entry:
        _watch(entry.done, entry.describe)
        logging.info('entry %s serves port %d', settings.name, entry.port)
        entry.done.wait()
        logging.info('entry %s stops', settings.name)
    return 0
