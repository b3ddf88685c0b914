"""Child processes of measurements, with their processor time."""

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
    """A running child process.

    :ivar pipe: connection to the process
    :ivar first: first object that the process sent
    """

    process: psutil.Process
    pipe: connection.Connection
    first: Any

    def ask(self) -> Any:
        """Trigger the process and return the object that it sends back.

        :raises TimeoutError: when it sends nothing in time
        """
        self.pipe.send(True)
        if not self.pipe.poll(_START_SECONDS):
            raise TimeoutError(
                f'child process did not answer within {_START_SECONDS:.0f} s'
            )
        return self.pipe.recv()

    def read_time(self) -> float:
        """Return the processor time of the process in seconds."""
        times = self.process.cpu_times()
        return times.user + times.system


@contextlib.contextmanager
def start(target: Callable, *arguments: Any) -> Iterator[Started]:
    """Run a function in a child process.

    :param target: function that gets a pipe and the arguments; it sends
        an object when it is ready and returns when it receives None
    :raises TimeoutError: when the process is not ready in time
    """
    near, far = _CONTEXT.Pipe()
    process = _CONTEXT.Process(
        target=target, args=(far, *arguments), daemon=True
    )
    process.start()
    try:
        if not near.poll(_START_SECONDS):
            raise TimeoutError(
                f'child process was not ready within {_START_SECONDS:.0f} s'
            )
        yield Started(psutil.Process(process.pid), near, near.recv())
        near.send(None)
        process.join(_START_SECONDS)
    finally:
        process.kill()


def open_transport(
    folder: str | None, role: str, name: str
) -> transports.Transport:
    """Open the transport of a process.

    :param folder: folder with its certificate files, None for plain
        connections
    """
    if folder is None:
        return transports.PLAIN
    paths = {
        field: pathlib.Path(folder, f'{name}.{field}.pem')
        for field in ('certificate', 'key', 'authorities')
    }
    files = certificates.Files.open(certificates.Paths(**paths))
    return transports.Mutual(files, authority.DOMAIN)
