"""State that the faults of a soak share, such as targets and findings."""

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
from dunlintide_trials import revisionmonitor

__all__ = ['Fault', 'FaultContext', 'Heal', 'find_crash_records']

# Time for runs that began before a stand-in hung to reach its record.
_SETTLE_SECONDS = 0.02
_CLOSE_SECONDS = 10.0

Heal = Callable[[], None]


def find_crash_records(log: str) -> dict[str, Any] | None:
    """Find the records that an engine logged when a prompt crashed it.

    :returns: prompts and runs, or None when no prompt crashed the engine
    """
    for line in reversed(log.splitlines()):
        if line.startswith('{"crashed_by"'):
            return json.loads(line)
    return None


@attrs.define(eq=False)
class FaultContext:
    """A deployment under faults, with the findings of the faults.

    :ivar running: the deployment
    :ivar runs: recorded runs, also of endpoints that were killed
    :ivar rng: random generator for the thread that applies faults only
    :ivar poison_team: team that sends the prompts that crash engines
    :ivar monitor: configuration revisions that the daemons show
    :ivar reserved: names of processes and relays that are under a fault
    :ivar lock: protects the choice of targets
    :ivar last_target: name of the target that was chosen last
    :ivar next_target: name of the next target, used when it is free
    :ivar violations: violations that the faults found
    :ivar notes: other events of the faults, counted in the summary
    :ivar crashes: prompt of each engine crash
    :ivar poison_answers: responses to prompts that crash engines
    :ivar unread_endpoints: endpoints that were killed before their
        records of runs were read
    :ivar accepted: revisions whose apply command succeeded
    """

    running: deployment.Deployment
    runs: records.RunRecords
    rng: random.Random
    poison_team: str
    monitor: revisionmonitor.RevisionMonitor
    reserved: set[str] = attrs.field(factory=set)
    lock: threading.Lock = attrs.field(factory=threading.Lock)
    last_target: str = ''
    next_target: str = ''
    violations: list[str] = attrs.field(factory=list)
    notes: list[str] = attrs.field(factory=list)
    crashes: list[str] = attrs.field(factory=list)
    poison_answers: list[client.Answer] = attrs.field(factory=list)
    unread_endpoints: list[str] = attrs.field(factory=list)
    accepted: list[int] = attrs.field(factory=list)
    _threads: list[threading.Thread] = attrs.field(factory=list)
    _closed: threading.Event = attrs.field(factory=threading.Event)

    def _choose(self, names: list[str], min_free: int) -> str | None:
        with self.lock:
            free = [name for name in names if name not in self.reserved]
            if len(free) <= min_free:
                return None
            preferred, self.next_target = self.next_target, ''
            chosen = preferred if preferred in free else self.rng.choice(free)
            self.reserved.add(chosen)
            self.last_target = chosen
            return chosen

    def reserve(
        self, role: str, min_free: int = 0
    ) -> processes.Process | None:
        """Reserve a random running process of a role for a fault.

        :param min_free: number of free processes of the role to keep
        :returns: the process, None when too few are free
        """
        found = self.running.list_processes(role)
        names = [one.name for one in found if one.is_running]
        chosen = self._choose(names, min_free)
        return self.running.started[chosen] if chosen else None

    def reserve_any(self, names: list[str]) -> str | None:
        """Reserve one of some targets; None when all are under faults."""
        return self._choose(names, 0)

    def reserve_name(self, name: str) -> bool:
        """Reserve a target by name; False when it is under a fault."""
        with self.lock:
            if name in self.reserved:
                return False
            self.reserved.add(name)
            self.last_target = name
            return True

    def release(self, name: str) -> None:
        """Make a target available to other faults again."""
        with self.lock:
            self.reserved.discard(name)

    def control(
        self, name: str, inject: dict[str, Any], revert: dict[str, Any]
    ) -> Heal | None:
        """Switch on a fault of a stand-in.

        :param inject: arguments of ``Deployment.control``
        :param revert: arguments that end the fault
        :returns: function that ends the fault, None when the stand-in is
            already under a fault
        """
        if not self.reserve_name(name):
            return None
        self.running.control(name, **inject)

        def heal() -> None:
            self.running.control(name, **revert)
            self.release(name)

        return heal

    def run_in_background(self, function: Callable[[], None]) -> None:
        """Run a function on a thread that ``join`` waits for."""

        def run() -> None:
            try:
                function()
            except processes.StartError as error:
                self.violations.append(f'no restart: {error}')

        thread = threading.Thread(target=run, daemon=True)
        thread.start()
        self._threads.append(thread)

    def join(self, seconds: float) -> None:
        """Wait for background threads and report those still running.

        :param seconds: longest wait for all threads together
        """
        end = time.monotonic() + seconds
        for thread in self._threads:
            thread.join(max(0.0, end - time.monotonic()))
            if thread.is_alive():
                self.violations.append('work of a fault did not end in time')

    def close(self) -> None:
        """Prevent further restarts before all processes are stopped."""
        self._closed.set()
        self.join(_CLOSE_SECONDS)

    def restart(self, process: processes.Process) -> None:
        """Restart a process on a thread of its own, then release it.

        The restart may take long, as processes that it needs may be under
        faults.
        """

        def start() -> None:
            if self._closed.is_set():
                return
            self.running.restart(process.name)
            self.release(process.name)

        self.run_in_background(start)

    def kill_endpoint(self, process: processes.Process) -> None:
        """Kill an endpoint after saving its record of runs.

        The endpoint hangs while the record is read, so that no run is
        missed.
        """
        name = process.name
        try:
            self.running.control(name, hang=True)
            time.sleep(_SETTLE_SECONDS)
            found = self.running.read_endpoint_runs(name)
            self.runs.replace_runs(name, found)
        except urllib3.exceptions.HTTPError:
            self.unread_endpoints.append(name)
        process.kill()
        self.runs.note_restart(name)

    def handle_crash(self, process: processes.Process) -> bool:
        """Save the records of an engine that a prompt crashed, restart it.

        :returns: whether a prompt crashed the process
        """
        record = find_crash_records(process.read_log())
        if record is None:
            return False
        self.crashes += record['crashed_by']
        name = process.name
        found = [run | {'endpoint': name} for run in record['runs']]
        self.runs.replace_runs(name, found)
        self.runs.note_restart(name)
        self.restart(process)
        return True

    @property
    def newest_revision(self) -> int:
        """Newest revision that any daemon has shown."""
        return max(self.monitor.highest.values(), default=0)

    @property
    def folder(self) -> pathlib.Path:
        """Work folder."""
        return self.running.folder


Fault = Callable[[FaultContext], Heal | None]
