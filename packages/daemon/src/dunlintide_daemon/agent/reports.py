"""When an agent tells the entries its load."""

from dunlintide_adapters.wire import link_pb2

__all__ = [
    'IDLE_SECONDS',
    'ReportFilter',
]

# Longest time between two reports of an agent that stays without work.
IDLE_SECONDS = 3.0


class ReportFilter:
    """Leaves out what entries know: that an idle agent is still idle.

    With any work each report goes out, as entries learn from each.
    """

    def __init__(self) -> None:
        self._last_sent: link_pb2.Load | None = None
        self._sent_at = 0.0

    def admit(self, load: link_pb2.Load, now: float) -> bool:
        """Tell whether to send a report now; if so it counts as sent.

        :param now: monotonic time in seconds
        """
        is_new = load != self._last_sent or load.running or load.queued
        if not is_new and now - self._sent_at < IDLE_SECONDS:
            return False
        self._last_sent = load
        self._sent_at = now
        return True
