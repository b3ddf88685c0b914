"""Monitor of the configuration revisions of daemons during a soak."""

import threading
from typing import Any

import attrs
import urllib3

from dunlintide_trials import deployment

__all__ = ['RevisionMonitor', 'read_revision']

_POLL_SECONDS = 0.3
_TIMEOUT_SECONDS = 1.0


def read_revision(state: dict[str, Any]) -> int:
    """Return the configuration revision in a daemon's state dump.

    Entries apply the configuration; agents only store and forward it, so
    their dump has it in another place.

    :param state: state dump of ``/debug/state``
    """
    held = state.get('configuration') or state.get('state') or {}
    return held.get('revision') or 0


@attrs.define(eq=False)
class RevisionMonitor:
    """Thread that polls the revisions of all daemons.

    A daemon without a configuration, as after its start, shows revision 0.

    :ivar running: the deployment
    :ivar highest: highest revision that each daemon has shown
    :ivar violations: daemons whose revision went back
    :ivar reads: number of states that were read
    """

    running: deployment.Deployment
    highest: dict[str, int] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)
    reads: int = 0
    _stopped: threading.Event = attrs.field(factory=threading.Event)
    _thread: threading.Thread = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Start the thread."""
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread."""
        self._stopped.set()
        self._thread.join()

    def record(self, name: str, revision: int) -> None:
        """Record a revision that a daemon shows."""
        self.reads += 1
        highest = self.highest.get(name, 0)
        if 0 < revision < highest:
            self.violations.append(f'{name} went from {highest} to {revision}')
        self.highest[name] = max(highest, revision)

    def _run(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=_TIMEOUT_SECONDS)
        daemons = self.running.plan.daemons
        while not self._stopped.wait(_POLL_SECONDS):
            for daemon in daemons:
                url = f'{daemon.admin_url}/debug/state'
                try:
                    state = pool.request('GET', url).json()
                except urllib3.exceptions.HTTPError:
                    continue  # The daemon is paused, dead or starting.
                self.record(daemon.name, read_revision(state))
