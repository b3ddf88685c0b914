"""Main function of an entry process, with its signal handlers."""

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


def _install_signal_handlers(
    done: threading.Event, describe: Callable[[], dict[str, Any]]
) -> None:
    """Stop on SIGTERM and SIGINT, dump the state on SIGUSR1.

    :param done: set when the process should stop
    :param describe: returns the state, with keys masked
    """

    def write_dump(*_) -> None:
        json.dump(describe(), sys.stderr, default=str)
        sys.stderr.write('\n')

    def dump_in_thread(*_) -> None:
        # A signal handler interrupts the main thread at any line, which may
        # hold a lock that the dump needs, so the dump has its own thread.
        threading.Thread(target=write_dump, daemon=True).start()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: done.set())
    signal.signal(signal.SIGUSR1, dump_in_thread)


def run(settings: settings_module.Settings) -> int:
    """Run an entry until a signal or the admin port stops it.

    :returns: exit status, 0 after a planned stop
    :raises OSError: when a port is taken
    """
    threads.install_excepthook()
    platform = sources.Sources.from_config(settings)
    fleet_sources = externalsources.ExternalSources.from_config(settings)
    with role.Entry(settings, platform, fleet_sources=fleet_sources) as entry:
        _install_signal_handlers(entry.done, entry.describe)
        logging.info(
            'entry %s listening on port %d', settings.name, entry.port
        )
        entry.done.wait()
        logging.info('entry %s stopping', settings.name)
    return 0
