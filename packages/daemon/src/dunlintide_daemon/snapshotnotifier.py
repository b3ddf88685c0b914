"""Hands configurations on, apart from the threads that receive them."""

import threading
from typing import Callable

from dunlintide_core import spread

__all__ = ['SnapshotNotifier', 'OnSnapshot']

OnSnapshot = Callable[[spread.Snapshot], None]


class SnapshotNotifier:
    """Hands the newest configuration to those who asked for it.

    :ivar snapshot: the newest, None before the first
    """

    def __init__(self) -> None:
        """Begin without a configuration."""
        self.snapshot: spread.Snapshot | None = None
        self._callbacks: list[tuple[OnSnapshot, int]] = []
        self._changed = threading.Condition()
        self._closed = False

    def subscribe(self, callback: OnSnapshot) -> None:
        """Call back with the newest configuration and all later ones."""
        with self._changed:
            self._callbacks.append((callback, 0))
            self._changed.notify()

    def publish(self, snapshot: spread.Snapshot | None) -> None:
        """Take a configuration to hand on."""
        with self._changed:
            if snapshot is not self.snapshot:
                self.snapshot = snapshot
                self._changed.notify()

    def close(self) -> None:
        """Let ``run`` end."""
        with self._changed:
            self._closed = True
            self._changed.notify()

    def _wait_for_due(self) -> tuple[spread.Snapshot | None, list[OnSnapshot]]:
        """Wait for callbacks that have not had the newest snapshot."""
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
        """Call back until closed."""
        while True:
            snapshot, due = self._wait_for_due()
            if snapshot is None:
                return
            for callback in due:
                callback(snapshot)
