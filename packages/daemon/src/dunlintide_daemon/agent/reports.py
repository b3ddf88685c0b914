"""Suppression of redundant load reports to the entries."""

from dunlintide_adapters.wire import link_pb2

__all__ = [
    'IDLE_SECONDS',
    'ReportFilter',
]

# Maximum time between two reports of an idle agent.
IDLE_SECONDS = 3.0


class ReportFilter:
    """Suppresses repeated reports of an idle agent.

    Reports of a busy agent are all sent, as entries evaluate each of them.
    """

    def __init__(self) -> None:
        self._last_sent: link_pb2.Load | None = None
        self._sent_at = 0.0

    def admit(self, load: link_pb2.Load, now: float) -> bool:
        """Return whether to send a report now, and record it as sent if so.

        :param now: monotonic time in seconds
        """
        is_new = load != self._last_sent or load.running or load.queued
        if not is_new and now - self._sent_at < IDLE_SECONDS:
            return False
        self._last_sent = load
        self._sent_at = now
        return True
