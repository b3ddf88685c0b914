"""Free ports on loopback, kept until their process takes them."""

import contextlib
import random
import socket

__all__ = ['HOST', 'Reservations', 'pick_ports']

HOST = '127.0.0.1'
# Below the range that the kernel draws from for outgoing connections, so
# that none takes a port between two starts of a process.
_FIRST = 12_000
_LAST = 31_999
_TRIES = 1_000


class Reservations:
    """Ports that are bound, so that nobody else takes them."""

    def __init__(self) -> None:
        self._held: dict[int, socket.socket] = {}
        self._random = random.SystemRandom()

    def reserve(self) -> int:
        """Bind a free port and return its number.

        :raises OSError: when no port was free in many tries
        """
        for _ in range(_TRIES):
            port = self._random.randint(_FIRST, _LAST)
            held = socket.socket()
            try:
                held.bind((HOST, port))
            except OSError:
                held.close()
                continue
            self._held[port] = held
            return port
        raise OSError('found no free port')

    def release(self, port: int) -> None:
        """Free a port just before its process binds it."""
        held = self._held.pop(port, None)
        if held is not None:
            held.close()

    def close(self) -> None:
        """Free all ports."""
        for port in list(self._held):
            self.release(port)


def pick_ports(count: int) -> list[int]:
    """Find free ports for processes that bind them soon.

    Drawn from many, so that trials side by side seldom pick the same.
    """
    with contextlib.closing(Reservations()) as reservations:
        return [reservations.reserve() for _ in range(count)]
