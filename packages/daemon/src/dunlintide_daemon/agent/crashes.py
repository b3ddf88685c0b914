"""Detection of a crashed engine process, as against a silent one."""

import time

from dunlintide_adapters import engine as engines

__all__ = [
    'has_crashed',
]

CHECK_SECONDS = 0.5
POLL_SECONDS = 0.02
# Consecutive new connections closed without an answer. A single one may
# have been cut by chance; a high number would miss a fast engine restart.
MAX_CLOSED_CONNECTIONS = 3


def has_crashed(engine: engines.Engine) -> bool:
    """Return whether the engine's process is gone; takes up to half a second.

    A refused connection shows that it is. A proxy such as a port forwarder
    accepts connections for a dead engine and closes each without an answer,
    so several closed connections in a row count as a crash too.
    """
    closed_connections = 0
    deadline = time.monotonic() + CHECK_SECONDS
    while time.monotonic() < deadline:
        health = engine.check_health()
        if health.is_ok():
            return False
        if not health.err_value.sent:
            return True
        closed_connections = (
            closed_connections + 1 if health.err_value.closed else 0
        )
        if closed_connections >= MAX_CLOSED_CONNECTIONS:
            return True
        # A dying process closes its connections before its listening port.
        time.sleep(POLL_SECONDS)
    return False
