"""When an agent tells the entries its load."""

from dunlintide_adapters.wire import link_pb2

__all__ = [
    'IDLE_SECONDS',
    'Reports',
]

# Longest time between two reports of an agent that stays without work.
IDLE_SECONDS = 3.0


class Reports:
    """Leaves out what entries know: that an idle agent is still idle.

    With any work each report goes out, as entries learn from each.
    """

    def __init__(self) -> None:
        self._sent: link_pb2.Load | None = None
        self._moment = 0.0

    def admit(self, load: link_pb2.Load, now: float) -> bool:
        """Tell whether to send a report now; if so it counts as sent.

        :param now: monotonic time in seconds
        """
        is_new = load != self._sent or load.running or load.queued
        if not is_new and now - self._moment < IDLE_SECONDS:
            return False
        self._sent = load
        self._moment = now
        return True
