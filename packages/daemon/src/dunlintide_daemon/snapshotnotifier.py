"""Notifies subscribers of new configurations on a thread of its own."""

import threading
from typing import Callable

from dunlintide_core import configreplica

__all__ = ['SnapshotNotifier', 'OnSnapshot']

OnSnapshot = Callable[[configreplica.Snapshot], None]


class SnapshotNotifier:
    """Calls subscribers back with the newest configuration.

    :ivar snapshot: the newest configuration, None before the first
    """

    def __init__(self) -> None:
        """Start without a configuration."""
        self.snapshot: configreplica.Snapshot | None = None
        self._callbacks: list[tuple[OnSnapshot, int]] = []
        self._changed = threading.Condition()
        self._closed = False

    def subscribe(self, callback: OnSnapshot) -> None:
        """Call back with the newest configuration and each newer one.

        A callback may miss a configuration that is replaced before its turn.
        """
        with self._changed:
            self._callbacks.append((callback, 0))
            self._changed.notify()

    def publish(self, snapshot: configreplica.Snapshot | None) -> None:
        """Make a configuration the newest one."""
        with self._changed:
            if snapshot is not self.snapshot:
                self.snapshot = snapshot
                self._changed.notify()

    def close(self) -> None:
        """Make ``run`` return."""
        with self._changed:
            self._closed = True
            self._changed.notify()

    def _wait_for_due(
        self,
    ) -> tuple[configreplica.Snapshot | None, list[OnSnapshot]]:
        """Wait for callbacks that have not received the newest snapshot.

        :returns: the snapshot and those callbacks, None once closed
        """
        with self._changed:
            while not self._closed:
                snapshot = self.snapshot
                revision = snapshot.head.revision if snapshot else 0
                due = [
                    call
                    for call, delivered in self._callbacks
                    if delivered < revision
                ]
                if due:
                    self._callbacks = [
                        (call, revision) for call, _ in self._callbacks
                    ]
                    return snapshot, due
                self._changed.wait()
        return None, []

    def run(self) -> None:
        """Deliver snapshots until closed."""
        while True:
            snapshot, due = self._wait_for_due()
            if snapshot is None:
                return
            for callback in due:
                callback(snapshot)
