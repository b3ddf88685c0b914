"""Watches the revisions that entries show during a soak."""

import threading

import attrs
import urllib3

from dunlintide_trials import deployment

__all__ = ['Watch']

_PAUSE_SECONDS = 0.3
_ANSWER_SECONDS = 1.0


@attrs.define(eq=False)
class Watch:
    """A thread that reads the state of every entry again and again.

    Entries are the daemons that hold a configuration. One that has none
    yet, as after its start, shows 0.
    :ivar highest: highest revision that each entry has shown
    :ivar wrong: entries that showed a lower one than before
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
        """Take note of a revision that an entry shows."""
        self.looks += 1
        highest = self.highest.get(name, 0)
        if 0 < revision < highest:
            self.wrong.append(f'{name} went from {highest} to {revision}')
        self.highest[name] = max(highest, revision)

    def _run(self) -> None:
        pool = urllib3.PoolManager(retries=False, timeout=_ANSWER_SECONDS)
        entries = self.running.plan.entries
        while not self._stopped.wait(_PAUSE_SECONDS):
            for entry in entries:
                url = f'{entry.admin_url}/debug/state'
                try:
                    state = pool.request('GET', url).json()
                except urllib3.exceptions.HTTPError:
                    continue  # It is paused, dead or starting.
                revision = state['configuration']['revision'] or 0
                self.note(entry.name, revision)
