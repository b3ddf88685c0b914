"""Start, signal and stop processes of a deployment, with their logs."""

import json
import pathlib
import re
import signal
import subprocess
import time
from typing import Callable

import attrs

__all__ = ['Process', 'StartError', 'read_peak_memory', 'wait_for']

START_SECONDS = 60.0
STOP_SECONDS = 15.0
_KILL_SECONDS = 5.0
_POLL_SECONDS = 0.02
_TAIL_LINES = 15


class StartError(RuntimeError):
    """A process exited or timed out before it was ready."""


def read_peak_memory(process: int | str) -> int:
    """Return the memory that a process has taken at most, in bytes.

    :param process: its id, or ``self``
    """
    text = pathlib.Path(f'/proc/{process}/status').read_text()
    return int(re.search(r'VmHWM:\s+(\d+) kB', text)[1]) * 1024


def wait_for(
    condition: Callable[[], bool],
    seconds: float,
    pause: float = _POLL_SECONDS,
) -> bool:
    """Wait until a condition holds; return False on a timeout.

    :param seconds: timeout in seconds
    :param pause: poll interval in seconds
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(pause)
    return True


@attrs.define(eq=False)
class Process:
    """A process that can be restarted.

    :ivar role: ``platform``, ``engine``, ``service``, ``agent``, ``entry``
    :ivar command: program and arguments of each start
    :ivar log: file that its output is appended to
    :ivar before_start: callback before each start
    :ivar starts: number of starts
    """

    name: str
    role: str
    failure_domain: str
    command: tuple[str, ...]
    log: pathlib.Path
    before_start: Callable[[], None] = lambda: None
    starts: int = 0
    _popen: subprocess.Popen | None = None
    _offset: int = 0

    @property
    def pid(self) -> int:
        """Process id of the latest start."""
        if self._popen is None:
            raise StartError(f'{self.name} was never started')
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not exited."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal, None before the exit."""
        return self._popen.poll() if self._popen is not None else None

    def start(self) -> None:
        """Start the process without waiting until it is ready."""
        self.before_start()
        self.starts += 1
        with self.log.open('ab') as log:
            self._offset = log.tell()
            self._popen = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                # Ctrl-C must reach only the launcher, which stops the
                # processes in order.
                start_new_session=True,
            )

    def read_log(self) -> str:
        """Read the output since the latest start."""
        with self.log.open('rb') as log:
            log.seek(self._offset)
            return log.read().decode(errors='replace')

    def find_ready_line(self) -> dict | None:
        """Find the line in which a stand-in reports that it is ready."""
        for line in self.read_log().splitlines():
            if line.startswith('{') and '"ready"' in line:
                return json.loads(line)
        return None

    def check_start(self) -> None:
        """Check that the process runs.

        :raises StartError: when it exited; the text has the end of its log
        """
        if not self.is_running:
            tail = '\n'.join(self.read_log().splitlines()[-_TAIL_LINES:])
            code = self.exit_code
            raise StartError(f'{self.name} ended with {code}:\n{tail}')

    def wait_ready(
        self, is_ready: Callable[[], bool], seconds: float = START_SECONDS
    ) -> None:
        """Wait until the process is ready.

        :param seconds: timeout in seconds
        :raises StartError: when the process exits or the wait times out
        """

        def check() -> bool:
            self.check_start()
            return is_ready()

        if not wait_for(check, seconds):
            raise StartError(f'{self.name} was not ready in {seconds:.0f} s')

    def signal(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.is_running:
            self._popen.send_signal(number)

    def pause(self) -> None:
        """Suspend the process, which simulates a stalled host."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume the process after ``pause``."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        if self.is_running:
            self._popen.kill()
            self._popen.wait(_KILL_SECONDS)

    def terminate(self) -> None:
        """Request a graceful stop, resuming a suspended process first."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def wait(self, seconds: float = STOP_SECONDS) -> bool:
        """Wait until the process has exited; return False on a timeout."""
        return wait_for(lambda: not self.is_running, seconds)

    def stop(self, seconds: float = STOP_SECONDS) -> bool:
        """Stop the process gracefully and kill it after a timeout.

        :returns: whether it stopped without being killed
        """
        self.terminate()
        if self.wait(seconds):
            return True
        self.kill()
        return False
