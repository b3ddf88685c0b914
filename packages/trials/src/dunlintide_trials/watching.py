"""Watches the revisions that daemons show during a soak."""

import threading
from typing import Any

import attrs
import urllib3

from dunlintide_trials import deployment

__all__ = ['Watch', 'read_revision']

_PAUSE_SECONDS = 0.3
_ANSWER_SECONDS = 1.0


def read_revision(state: dict[str, Any]) -> int:
    """Read which configuration a daemon's state says is in force.

    Entries act on it; agents only hold and pass it on.
    :param state: what ``/debug/state`` gave
    """
    held = state.get('configuration') or state.get('state') or {}
    return held.get('revision') or 0


@attrs.define(eq=False)
class Watch:
    """A thread that reads the state of every daemon again and again.

    One that has no configuration yet, as after its start, shows 0.
    :ivar highest: highest revision that each daemon has shown
    :ivar wrong: daemons that showed a lower one than before
    :ivar looks: number of states read
    """

    running: deployment.Deployment
    highest: dict[str, int] = attrs.field(factory=dict)
    wrong: list[str] = attrs.field(factory=list)
    looks: int = 0
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _thread: threading.Thread = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Begin to watch."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Watch no more."""
        self._stopped.set()
        self._thread.join()

    def note(self, name: str, revision: int) -> None:
        """Take note of a revision that a daemon shows."""
        self.looks += 1
        highest = self.highest.get(name, 0)
        if 0 < revision < highest:
            self.wrong.append(f'{name} went from {highest} to {revision}')
        self.highest[name] = max(highest, revision)

    def _run(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=_ANSWER_SECONDS)
        daemons = self.running.plan.daemons
        while not self._stopped.wait(_PAUSE_SECONDS):
            for daemon in daemons:
                url = f'{daemon.admin_url}/debug/state'
                try:
                    state = pool.request('GET', url).json()
                except urllib3.exceptions.HTTPError:
                    continue  # It is paused, dead or starting.
                self.note(daemon.name, read_revision(state))
