"""Whether an engine's process is gone, not just silent."""

import time

from dunlintide_adapters import engine as engines

__all__ = [
    'has_crashed',
]

CRASH_SECONDS = 0.5
CRASH_POLL_SECONDS = 0.02
# New connections in a row that end without an answer, where only one
# could have been cut. Few, as an engine may soon be started again.
CRASH_ENDS = 3


def has_crashed(engine: engines.Engine) -> bool:
    """Tell whether the engine's process is gone; takes half a second.

    Where something between takes connections in its place, such as a
    port forwarder, they end without an answer, each new one too.
    """
    ended = 0
    until = time.monotonic() + CRASH_SECONDS
    while time.monotonic() < until:
        checked = engine.check_health()
        if checked.is_ok():
            return False
        if not checked.err_value.sent:
            return True
        ended = ended + 1 if checked.err_value.closed else 0
        if ended >= CRASH_ENDS:
            return True
        # Its connections end a little before its port is free.
        time.sleep(CRASH_POLL_SECONDS)
    return False
