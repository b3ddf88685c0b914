"""Processes of a deployment, each with its log and its signals."""

import json
import pathlib
import signal
import subprocess
import time
from typing import Callable

import attrs

__all__ = ['Process', 'StartError', 'wait_for']

START_SECONDS = 60.0
STOP_SECONDS = 15.0
_KILL_SECONDS = 5.0
_POLL_SECONDS = 0.02
_TAIL_LINES = 15


class StartError(RuntimeError):
    """A process ended or stayed silent before it was ready."""


def wait_for(
    condition: Callable[[], bool],
    seconds: float,
    pause: float = _POLL_SECONDS,
) -> bool:
    """Wait until a condition holds; False when time is up.

    :param seconds: longest wait
    :param pause: seconds between two tries
    """
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            return False
        time.sleep(pause)
    return True


@attrs.define(eq=False)
class Process:
    """One process, which can be stopped and started again.

    :ivar role: ``store``, ``engine``, ``agent``, ``entry`` and so on
    :ivar command: program and arguments, the same at each start
    :ivar log: file that takes its output
    :ivar before_start: called before each start
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
        """Process id of the last start."""
        if self._popen is None:
            raise StartError(f'{self.name} was never started')
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether it was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Exit code, negative for a signal; None while it runs."""
        return self._popen.poll() if self._popen is not None else None

    def start(self) -> None:
        """Start it, without waiting until it is ready."""
        self.before_start()
        self.starts += 1
        with self.log.open('ab') as log:
            self._offset = log.tell()
            self._popen = subprocess.Popen(
                self.command,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=subprocess.STDOUT,
                # A Ctrl-C on the terminal is for the launcher, which
                # stops the others in order.
                start_new_session=True,
            )

    def read_log(self) -> str:
        """Read what it wrote since it was last started."""
        with self.log.open('rb') as log:
            log.seek(self._offset)
            return log.read().decode(errors='replace')

    def find_ready_line(self) -> dict | None:
        """Find the line in which a stand-in says that it is ready."""
        for line in self.read_log().splitlines():
            if line.startswith('{') and '"ready"' in line:
                return json.loads(line)
        return None

    def check_start(self) -> None:
        """Raise when it ended.

        :raises StartError: with the last lines of its log
        """
        if not self.is_running:
            tail = '\n'.join(self.read_log().splitlines()[-_TAIL_LINES:])
            code = self.exit_code
            raise StartError(f'{self.name} ended with {code}:\n{tail}')

    def wait_ready(
        self, is_ready: Callable[[], bool], seconds: float = START_SECONDS
    ) -> None:
        """Wait until it is ready.

        :raises StartError: when it ends or time is up before that
        """

        def check() -> bool:
            self.check_start()
            return is_ready()

        if not wait_for(check, seconds):
            raise StartError(f'{self.name} was not ready in {seconds:.0f} s')

    def signal(self, number: int) -> None:
        """Send it a signal, if it runs."""
        if self.is_running:
            self._popen.send_signal(number)

    def pause(self) -> None:
        """Halt it as a stalled host would."""
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on after a pause."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it at once."""
        if self.is_running:
            self._popen.kill()
            self._popen.wait(_KILL_SECONDS)

    def terminate(self) -> None:
        """Ask it to stop; it also has to run for that."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)

    def wait(self, seconds: float = STOP_SECONDS) -> bool:
        """Wait until it has ended; False when time is up."""
        return wait_for(lambda: not self.is_running, seconds)

    def stop(self, seconds: float = STOP_SECONDS) -> bool:
        """Stop it gracefully, by force when it takes too long.

        :returns: whether no force was needed
        """
        self.terminate()
        if self.wait(seconds):
            return True
        self.kill()
        return False
