"""Reservation of free loopback ports for processes of trials.

A reserved port is released when its process starts, and is unbound during
each restart of that process. To keep other trials from taking it in
between, each trial process draws ports from blocks that it locks for as
long as it runs.
"""

import collections
import contextlib
import fcntl
import os
import pathlib
import random
import socket
import tempfile

__all__ = ['HOST', 'Reservations', 'pick_ports']

HOST = '127.0.0.1'
# Below the kernel's range of ephemeral ports, so that no outgoing connection
# takes a port between two starts of a process.
_FIRST_PORT = 12_000
_LAST_PORT = 31_999
# Ports in a block; the largest example needs three blocks.
_BLOCK_PORTS = 400
# Ports that are tried before one more block is locked, as all ports of the
# locked blocks may be in use.
_MAX_DRAWS = 1_000


class _Blocks:
    """Blocks of ports that this process locks until it exits."""

    def __init__(self) -> None:
        user = os.getuid()
        name = f'dunlintide-ports-{user}'
        self._folder = pathlib.Path(tempfile.gettempdir(), name)
        self._locks: dict[int, int] = {}
        self._ports: collections.deque[int] = collections.deque()

    def lock_block(self) -> bool:
        """Lock one more block; False when no block is free."""
        self._folder.mkdir(exist_ok=True)
        firsts = list(range(_FIRST_PORT, _LAST_PORT, _BLOCK_PORTS))
        random.SystemRandom().shuffle(firsts)
        return any(self._lock(first) for first in firsts)

    def _lock(self, first: int) -> bool:
        if first in self._locks:
            return False
        path = self._folder / str(first)
        lock = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(lock)
            return False
        self._locks[first] = lock
        ports = list(range(first, first + _BLOCK_PORTS))
        random.SystemRandom().shuffle(ports)
        self._ports.extend(ports)
        return True

    def draw(self) -> int | None:
        """Return the least recently drawn port, None without a block."""
        if not self._ports:
            return None
        self._ports.rotate(-1)
        return self._ports[-1]


_blocks = _Blocks()


class Reservations:
    """Ports that are kept bound until their process starts."""

    def __init__(self) -> None:
        self._sockets: dict[int, socket.socket] = {}

    def reserve(self) -> int:
        """Bind a free port and return its number.

        :raises OSError: when no free port was found
        """
        while True:
            for _ in range(_MAX_DRAWS):
                port = _blocks.draw()
                if port is not None and self._bind(port):
                    return port
            if not _blocks.lock_block():
                raise OSError(
                    f'no free port in {_FIRST_PORT}-{_LAST_PORT}: all blocks'
                    ' are locked'
                )

    def _bind(self, port: int) -> bool:
        bound_socket = socket.socket()
        try:
            bound_socket.bind((HOST, port))
        except OSError:
            bound_socket.close()
            return False
        self._sockets[port] = bound_socket
        return True

    def release(self, port: int) -> None:
        """Unbind a port just before its process binds it."""
        bound_socket = self._sockets.pop(port, None)
        if bound_socket is not None:
            bound_socket.close()

    def close(self) -> None:
        """Unbind all ports."""
        for port in list(self._sockets):
            self.release(port)


def pick_ports(count: int) -> list[int]:
    """Find free ports, which are not bound on return.

    No other trial process picks one of them while this process runs.
    """
    with contextlib.closing(Reservations()) as reservations:
        return [reservations.reserve() for _ in range(count)]
