"""Start of the edge role: opens the listening socket before loading it.

Loading the role takes a while. After a restart callers would find the port
closed meanwhile, and most of them try only twice. So the socket is opened
first, at an address from the command line, and connections wait in its
backlog until the role accepts them.
"""

import socket
import sys

__all__ = ['main']

# Connections that may wait until the role accepts them: an entry receives
# about as many in a few seconds.
BACKLOG = 512
USAGE = 'usage: python3 -m dunlintide_daemon.edge HOST:PORT\n'
BAD_USAGE = 2


def open_listener(address: str) -> socket.socket:
    """Listen on ``HOST:PORT``.

    :raises OSError: when the socket can't be bound
    :raises ValueError: when the port is not a number
    """
    host, _, port = address.rpartition(':')
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind((host, int(port)))
        listener.listen(BACKLOG)
        listener.setblocking(False)
    except (OSError, ValueError):
        listener.close()
        raise
    return listener


def main() -> int:
    """Listen, then load and run the edge role.

    :returns: exit status
    """
    if len(sys.argv) != 2:
        sys.stderr.write(USAGE)
        return BAD_USAGE
    try:
        listener = open_listener(sys.argv[1])
    except (OSError, ValueError) as error:
        # The role opens the address from its settings and reports a failure.
        sys.stderr.write(f'not listening yet: {error}\n')
        listener = None
    from dunlintide_daemon import main as main_module

    return main_module.run_edge(listener)


if __name__ == '__main__':
    sys.exit(main())
