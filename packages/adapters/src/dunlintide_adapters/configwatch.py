"""Follower of the configuration in the store; revisions only rise.

A watch reports changes, and a read every few seconds covers a watch that
has silently failed. A restored store holds a lower head than the processes
use. The lost revision is then written back. If operators changed the
configuration on top of the restored head, that change gets a revision above
the one in use, so that all processes adopt it.
"""

import random
import threading
import time
from typing import Any, Callable

from absl import logging
import attrs
from dunlintide_core import revisions
import result

from dunlintide_adapters import configkeys
from dunlintide_adapters import configtypes

__all__ = [
    'POLL_SECONDS',
    'choose_repair',
    'watch',
]

POLL_SECONDS = 2.0

# One poll in this many reads the head even if its store revision is the same.
_FULL_READ_POLLS = 15
_JOIN_TIMEOUT_SECONDS = 2.0
# Interval at which a wait checks for a stop.
_STOP_CHECK_SECONDS = 0.5


def choose_repair(
    current: configtypes.Snapshot, stored: configtypes.Snapshot | None
) -> configtypes.Snapshot | None:
    """Choose what to write to a store that was restored.

    :param current: highest revision that this process has seen
    :param stored: snapshot in the store, None if it has none
    :returns: snapshot to publish, None if the store needs no repair
    """
    if stored is None:
        return current
    head = stored.head
    if head.change_id == current.head.change_id:
        return current if head.revision < current.head.revision else None
    if head.revision > current.head.revision:
        return None
    if revisions.has_change(current.head, head.change_id):
        return current
    raised_head = attrs.evolve(head, revision=current.head.revision + 1)
    return attrs.evolve(stored, head=raised_head)


class _Follower:
    """Reads the store when it may have changed and delivers snapshots."""

    def __init__(
        self,
        configs: Any,
        on_snapshot: Callable[[configtypes.Snapshot], None],
        current: configtypes.Snapshot | None,
        on_read: Callable[[int], None],
    ) -> None:
        self._on_read = on_read
        self._configs = configs
        self._on_snapshot = on_snapshot
        self._current = current
        self._mod_revision: int | None = None
        self._reads = 0

    def poll(self) -> None:
        """Check whether the head has changed, and read it if so."""
        mod_revision = self._configs.read_mod_revision()
        if mod_revision.is_err():
            return
        self._reads += 1
        is_unchanged = mod_revision.ok_value == self._mod_revision
        if is_unchanged and self._reads % _FULL_READ_POLLS:
            return
        if self._handle_read(self._configs.read()):
            self._mod_revision = mod_revision.ok_value

    def _handle_read(
        self,
        read: result.Result[configtypes.Snapshot | None, configtypes.Failure],
    ) -> bool:
        if read.is_err():
            logging.warning('configuration: %s', read.err_value.message)
            return False
        stored, current = read.ok_value, self._current
        self._on_read(stored.head.revision if stored else 0)
        repair = choose_repair(current, stored) if current else None
        if repair is not None:
            self._repair(repair, stored)
            return False
        if stored and (
            not current or stored.head.revision > current.head.revision
        ):
            self._current = stored
            self._on_snapshot(stored)
        return True

    def _repair(
        self,
        snapshot: configtypes.Snapshot,
        stored: configtypes.Snapshot | None,
    ) -> None:
        revision = snapshot.head.revision
        replaced_change_id = stored.head.change_id if stored else None
        logging.warning(
            'store was restored to an older state; writing revision %d',
            revision,
        )
        written = self._configs.republish(snapshot, replaced_change_id)
        if written.is_err():
            logging.warning(
                'writing configuration revision %d failed', revision
            )


def _wait(
    wake: threading.Event, stop: threading.Event, seconds: float
) -> None:
    """Wait for a change or a stop, at most ``seconds``."""
    deadline = time.monotonic() + seconds
    while not stop.is_set() and (remaining := deadline - time.monotonic()) > 0:
        if wake.wait(min(remaining, _STOP_CHECK_SECONDS)):
            return


def watch(
    configs: Any,
    on_snapshot: Callable[[configtypes.Snapshot], None],
    stop: threading.Event,
    current: configtypes.Snapshot | None = None,
    poll_seconds: float = POLL_SECONDS,
    on_read: Callable[[int], None] = lambda revision: None,
) -> None:
    """Run the loop of ``ConfigStore.watch``; see there.

    :param configs: the ``ConfigStore``
    :param on_read: called with each revision that was read, 0 for none
    """
    wake = threading.Event()
    watcher = threading.Thread(
        target=configs.store.watch,
        args=(configkeys.HEAD, 0, lambda _: wake.set(), stop),
        name='config-watch',
        daemon=True,
    )
    watcher.start()
    follower = _Follower(configs, on_snapshot, current, on_read)
    while not stop.is_set():
        follower.poll()
        _wait(wake, stop, poll_seconds * random.uniform(0.5, 1.0))
        wake.clear()
    configs.store.interrupt()
    watcher.join(_JOIN_TIMEOUT_SECONDS)
