"""Processes that measurements start and whose processor time they read."""

import contextlib
import multiprocessing
from multiprocessing import connection
import pathlib
from typing import Any, Callable, Iterator

import attrs
import psutil

from dunlintide_adapters import certificates
from dunlintide_adapters import transports
from dunlintide_trials import authority

__all__ = [
    'Started',
    'open_transport',
    'start',
]

_START_SECONDS = 30.0
_CONTEXT = multiprocessing.get_context('spawn')


@attrs.frozen
class Started:
    """A process that runs.

    :ivar first: the first that it sent
    """

    process: psutil.Process
    pipe: connection.Connection
    first: Any

    def ask(self) -> Any:
        """Send it something and return what it answers."""
        self.pipe.send(True)
        if not self.pipe.poll(_START_SECONDS):
            raise TimeoutError('a process did not answer')
        return self.pipe.recv()

    def read_time(self) -> float:
        """Return its processor time, in seconds."""
        times = self.process.cpu_times()
        return times.user + times.system


@contextlib.contextmanager
def start(target: Callable, *arguments: Any) -> Iterator[Started]:
    """Run a function in a process.

    :param target: gets a pipe and the arguments; it should send
        something when it is ready, and end once it is sent None
    """
    near, far = _CONTEXT.Pipe()
    process = _CONTEXT.Process(
        target=target, args=(far, *arguments), daemon=True
    )
    process.start()
    try:
        if not near.poll(_START_SECONDS):
            raise TimeoutError('a process did not start')
        yield Started(psutil.Process(process.pid), near, near.recv())
        near.send(None)
        process.join(_START_SECONDS)
    finally:
        process.kill()


def open_transport(
    folder: str | None, role: str, name: str
) -> transports.Transport:
    """Open the transport of a process whose files stand in a folder.

    :param folder: None for plain connections
    """
    if folder is None:
        return transports.PLAIN
    paths = {
        field: pathlib.Path(folder, f'{name}.{field}.pem')
        for field in ('certificate', 'key', 'authorities')
    }
    files = certificates.Files.open(certificates.Paths(**paths))
    return transports.MutualTls(files, authority.DOMAIN)
