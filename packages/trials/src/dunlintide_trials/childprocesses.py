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
    'ChildProcess',
    'open_transport',
    'start_process',
]

_START_SECONDS = 30.0
_CONTEXT = multiprocessing.get_context('spawn')


@attrs.frozen
class ChildProcess:
    """A running child process.

    :ivar pipe: connection to the process
    :ivar first: first object that the process sent
    """

    process: psutil.Process
    pipe: connection.Connection
    first_message: Any

    def request(self) -> Any:
        """Trigger the process and return the object that it sends back.

        :raises TimeoutError: when it sends nothing in time
        """
        self.pipe.send(True)
        if not self.pipe.poll(_START_SECONDS):
            raise TimeoutError(
                f'child process did not answer within {_START_SECONDS:.0f} s'
            )
        return self.pipe.recv()

    def read_cpu_seconds(self) -> float:
        """Return the processor time of the process in seconds."""
        times = self.process.cpu_times()
        return times.user + times.system


@contextlib.contextmanager
def start_process(target: Callable, *arguments: Any) -> Iterator[ChildProcess]:
    """Run a function in a child process.

    :param target: function that gets a pipe and the arguments; it sends
        an object when it is ready and returns when it receives None
    :raises TimeoutError: when the process is not ready in time
    """
    parent_end, child_end = _CONTEXT.Pipe()
    process = _CONTEXT.Process(
        target=target, args=(child_end, *arguments), daemon=True
    )
    process.start()
    try:
        if not parent_end.poll(_START_SECONDS):
            raise TimeoutError(
                f'child process was not ready within {_START_SECONDS:.0f} s'
            )
        yield ChildProcess(
            psutil.Process(process.pid), parent_end, parent_end.recv()
        )
        parent_end.send(None)
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
    return transports.MutualTls(files, authority.DOMAIN)
