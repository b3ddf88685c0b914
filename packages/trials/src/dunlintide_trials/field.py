"""What the faults of a soak work on: a deployment and who has what."""

import json
import pathlib
import random
import threading
import time
from typing import Any, Callable

import attrs
import urllib3

from dunlintide_trials import client
from dunlintide_trials import deployment
from dunlintide_trials import processes
from dunlintide_trials import records
from dunlintide_trials import watching

__all__ = ['Fault', 'Field', 'Heal', 'find_left_records']

# Time for work that a hanging stand-in had begun to reach its record.
_SETTLE_SECONDS = 0.02
_CLOSE_SECONDS = 10.0

Heal = Callable[[], None]


def find_left_records(log: str) -> dict[str, Any] | None:
    """Find what an engine that a prompt crashed left in its log."""
    for line in reversed(log.splitlines()):
        if line.startswith('{"crashed_by"'):
            return json.loads(line)
    return None


@attrs.define(eq=False)
class Field:
    """A deployment under faults, with what they found out.

    :ivar runs: records that would be lost with a killed endpoint
    :ivar poison_team: team that sends what crashes engines
    :ivar watch: what revisions daemons show
    :ivar rng: used by the thread that applies faults only
    :ivar taken: names of processes and relays under a fault
    :ivar last: the one that was taken last
    :ivar wanted: the one to be taken next, if it is free
    :ivar wrong: broken promises that faults met
    :ivar notes: other things that faults met, to be counted
    :ivar crashes: crashes of engines, by the prompt
    :ivar poisoned: what became of the prompts that crash
    :ivar lost_lives: endpoints that ended with a record unread
    :ivar accepted: revisions that operators were told are in force
    """

    running: deployment.Deployment
    runs: records.Records
    rng: random.Random
    poison_team: str
    watch: watching.Watch
    taken: set[str] = attrs.field(factory=set)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    last: str = ''
    wanted: str = ''
    wrong: list[str] = attrs.field(factory=list)
    notes: list[str] = attrs.field(factory=list)
    crashes: list[str] = attrs.field(factory=list)
    poisoned: list[client.Answer] = attrs.field(factory=list)
    lost_lives: list[str] = attrs.field(factory=list)
    accepted: list[int] = attrs.field(factory=list)
    _workers: list[threading.Thread] = attrs.field(factory=list)
    _closed: threading.Event = attrs.field(factory=threading.Event)

    def _choose(self, names: list[str], spare: int) -> str | None:
        with self.lock:
            free = [name for name in names if name not in self.taken]
            if len(free) <= spare:
                return None
            wanted, self.wanted = self.wanted, ''
            chosen = wanted if wanted in free else self.rng.choice(free)
            self.taken.add(chosen)
            self.last = chosen
            return chosen

    def take(self, role: str, spare: int = 0) -> processes.Process | None:
        """Choose a process of a role that is under no fault.

        :param spare: number of processes of the role to leave alone
        """
        found = self.running.list_processes(role)
        names = [one.name for one in found if one.is_running]
        chosen = self._choose(names, spare)
        return self.running.started[chosen] if chosen else None

    def take_one(self, names: list[str]) -> str | None:
        """Choose one of some names that is under no fault."""
        return self._choose(names, 0)

    def take_name(self, name: str) -> bool:
        """Take one process by name; False when a fault has it."""
        with self.lock:
            if name in self.taken:
                return False
            self.taken.add(name)
            self.last = name
            return True

    def release(self, name: str) -> None:
        """Leave a process to other faults again."""
        with self.lock:
            self.taken.discard(name)

    def control(
        self, name: str, harm: dict[str, Any], cure: dict[str, Any]
    ) -> Heal | None:
        """Switch a fault of a stand-in on; None when it is under one.

        :param harm: switches of the stand-in, as ``Deployment.control``
        :param cure: switches that end the fault
        """
        if not self.take_name(name):
            return None
        self.running.control(name, **harm)

        def heal() -> None:
            self.running.control(name, **cure)
            self.release(name)

        return heal

    def work(self, function: Callable[[], None]) -> None:
        """Run something beside the faults; ``join`` waits for it."""

        def run() -> None:
            try:
                function()
            except processes.StartError as error:
                self.wrong.append(f'no restart: {error}')

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self._workers.append(thread)

    def join(self, seconds: float) -> None:
        """Wait for all that ``work`` began; what goes on is wrong."""
        end = time.monotonic() + seconds
        for thread in self._workers:
            thread.join(max(0.0, end - time.monotonic()))
            if thread.is_alive():
                self.wrong.append('work of a fault did not end in time')

    def close(self) -> None:
        """Start no process any more, as all are about to be stopped."""
        self._closed.set()
        self.join(_CLOSE_SECONDS)

    def restart(self, process: processes.Process) -> None:
        """Start a process again, beside the faults, then release it.

        Others that it needs may be under faults meanwhile.
        """

        def start() -> None:
            if self._closed.is_set():
                return
            self.running.restart(process.name)
            self.release(process.name)

        self.work(start)

    def kill_endpoint(self, process: processes.Process) -> None:
        """Kill an endpoint, with its record of runs kept.

        It hangs while the record is read, so nothing runs unseen.
        """
        name = process.name
        try:
            self.running.control(name, hang=True)
            time.sleep(_SETTLE_SECONDS)
            found = self.running.read_endpoint_runs(name)
            self.runs.keep(name, found)
        except urllib3.exceptions.HTTPError:
            self.lost_lives.append(name)
        process.kill()
        self.runs.end_life(name)

    def take_crash(self, process: processes.Process) -> bool:
        """Take an engine that a prompt crashed, and start it again.

        :returns: whether it was one
        """
        left = find_left_records(process.read_log())
        if left is None:
            return False
        self.crashes += left['crashed_by']
        name = process.name
        found = [run | {'endpoint': name} for run in left['runs']]
        self.runs.keep(name, found)
        self.runs.end_life(name)
        self.restart(process)
        return True

    @property
    def newest_revision(self) -> int:
        """Newest revision that anybody was told of."""
        return max(self.watch.highest.values(), default=0)

    @property
    def folder(self) -> pathlib.Path:
        """Work folder."""
        return self.running.folder


Fault = Callable[[Field], Heal | None]
