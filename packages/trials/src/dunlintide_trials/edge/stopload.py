"""Requests to entries that shut down, as callers and the platform see them."""

import contextlib
import itertools
import signal
import threading
import time
from typing import Callable

import attrs

from dunlintide_standins.fleet import callers
from dunlintide_trials.edge import scene as scenes

__all__ = ['Sent', 'Stop', 'Traffic', 'send', 'stop_entry']

# Longest time for which a caller waits for an answer, in seconds.
ANSWER_SECONDS = 40.0
POLL_SECONDS = 0.01
# Pause between two calls on new connections, and on one, in seconds.
PAUSE_SECONDS = 0.1
# Callers that keep their connections.
KEPT_CALLERS = 4

_numbers = itertools.count(1)


@attrs.define
class Sent:
    """A request and its end, by monotonic times in seconds.

    :ivar entry: name of the entry that it is sent to
    :ivar deadline: time that its caller waits, in seconds
    :ivar status: HTTP status, 0 without an answer
    :ivar is_whole: whether the answer was complete
    :ivar retry_after: Retry-After in seconds, None without one
    """

    name: str
    entry: str
    path: str
    deadline: float
    sent: float = 0.0
    ended: float = 0.0
    status: int = 0
    is_whole: bool = False
    retry_after: float | None = None

    @property
    def is_stream(self) -> bool:
        """Whether a stream was asked for."""
        return self.path.startswith('/copy/')


@attrs.define
class Stop:
    """A shutdown of an entry.

    :ivar entry: name of the entry
    :ivar at: monotonic time of SIGTERM, in seconds
    :ivar grace: seconds until SIGKILL
    :ivar was_killed: whether the process was still there then
    """

    entry: str
    at: float
    grace: float
    was_killed: bool = False


def send(
    caller: callers.Caller, request: Sent, data: bytes, sent: list[Sent]
) -> bool:
    """Send a request and wait for its end.

    :param data: the request as it is sent
    :param sent: gets the request once it was sent
    :returns: whether the connection may be used again
    """
    caller.socket.settimeout(ANSWER_SECONDS)
    closes = True
    try:
        caller.send(data)
        request.sent = time.monotonic()
        sent.append(request)
        answer = caller.read_answer()
        request.status = answer.status
        request.is_whole = answer.is_complete
        if 'retry-after' in answer.headers:
            request.retry_after = float(answer.headers['retry-after'])
        closes = answer.headers.get('connection') == 'close'
    except (OSError, ValueError):
        pass
    request.ended = time.monotonic()
    return request.is_whole and not closes


def stop_entry(
    entry: scenes.Entry,
    grace: float,
    stops: list[Stop],
    disturb: Callable[[float], None] = lambda elapsed: None,
) -> None:
    """Stop an entry as the platform does, and wait until it is gone.

    :param grace: seconds from SIGTERM to SIGKILL
    :param stops: gets the shutdown as it begins
    :param disturb: called again and again with the seconds since SIGTERM
    """
    stop = Stop(entry.name, time.monotonic(), grace)
    stops.append(stop)
    entry.process.send_signal(signal.SIGTERM)
    while entry.process.poll() is None:
        elapsed = time.monotonic() - stop.at
        if elapsed > grace:
            stop.was_killed = True
            entry.process.kill()
            entry.process.wait()
            return
        disturb(elapsed)
        time.sleep(POLL_SECONDS)


class Traffic:
    """Calls of equal length to one entry until its process is gone.

    :ivar calls: calls that were sent
    """

    def __init__(
        self, entry: scenes.Entry, path: str, work: float, deadline: float
    ) -> None:
        """Prepare calls.

        :param work: seconds that a service takes for each
        :param deadline: seconds that their callers wait
        """
        self.calls: list[Sent] = []
        self._entry = entry
        self._path = path
        self._work = work
        self._deadline = deadline
        self._stopped = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Start callers that go on calling, on new and on kept connections."""
        self._start_thread(self._call_on_and_on)
        for _ in range(KEPT_CALLERS):
            self._start_thread(self._call_on_kept)

    def start_call(self) -> None:
        """Send one call on a new connection."""
        self._start_thread(self._call_once)

    def stop(self) -> None:
        """Send no more, and wait for the ends of all calls."""
        self._stopped.set()
        for thread in list(self._threads):
            thread.join()

    def _start_thread(self, work: Callable[[], None]) -> None:
        thread = threading.Thread(target=work, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _call_on_and_on(self) -> None:
        while not self._stopped.wait(PAUSE_SECONDS):
            self.start_call()

    def _call_once(self) -> None:
        with contextlib.suppress(OSError):
            caller = callers.Caller(self._entry.listen)
            with contextlib.closing(caller):
                self._send(caller)

    def _call_on_kept(self) -> None:
        while not self._stopped.wait(PAUSE_SECONDS):
            with contextlib.suppress(OSError):
                caller = callers.Caller(self._entry.listen)
                with contextlib.closing(caller):
                    while self._send(caller) and not self._stopped.is_set():
                        pass

    def _send(self, caller: callers.Caller) -> bool:
        """Send a call; return whether the connection may be used again."""
        call = Sent(
            f'c-{next(_numbers)}',
            self._entry.name,
            self._path,
            self._deadline,
        )
        data = callers.build_request(
            call.name,
            self._path,
            Work_Ms=str(int(self._work * 1000)),
            Deadline_Ms=str(int(self._deadline * 1000)),
        )
        return send(caller, call, data, self.calls)
