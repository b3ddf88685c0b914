"""Whether an engine's process is gone, not just silent."""

import time

from dunlintide_adapters import engine as engines

__all__ = [
    'has_crashed',
]

CHECK_SECONDS = 0.5
POLL_SECONDS = 0.02
# New connections in a row that end without an answer, where only one
# could have been cut. Few, as an engine may soon be started again.
MAX_CLOSED_CONNECTIONS = 3


def has_crashed(engine: engines.Engine) -> bool:
    """Tell whether the engine's process is gone; takes half a second.

    Where something between takes connections in its place, such as a
    port forwarder, they end without an answer, each new one too.
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
            closed_connections + 1 if health.err_value.ended else 0
        )
        if closed_connections >= MAX_CLOSED_CONNECTIONS:
            return True
        # Its connections end a little before its port is free.
        time.sleep(POLL_SECONDS)
    return False
