"""Detection of unresponsive entries, from messages sent and received."""

import attrs

__all__ = ['Liveness']

# Number of unanswered messages, and minimum time since the first of them in
# seconds, after which an entry counts as silent: single messages may be lost.
SILENT_MESSAGES = 6
SILENT_SECONDS = 0.3
# Pause after which earlier unanswered messages no longer count, in seconds.
STALE_SECONDS = 1.0
# How long an entry counts as alive after a message, in seconds, and the
# interval between two messages to a silent entry.
FRESH_SECONDS = 0.2
PROBE_SECONDS = 0.1


@attrs.define
class _Contact:
    """Messages sent to and received from one entry.

    :ivar received_at: monotonic time of the last message from it, in seconds
    :ivar unanswered_since: time of the first message that it left unanswered
    :ivar sent_at: time of the last message to it
    :ivar unanswered: number of messages that it left unanswered
    """

    received_at: float = float('-inf')
    unanswered_since: float = 0.0
    sent_at: float = float('-inf')
    unanswered: int = 0

    def is_silent(self, now: float) -> bool:
        """Return whether it left enough messages unanswered."""
        return (
            self.unanswered >= SILENT_MESSAGES
            and now - self.unanswered_since >= SILENT_SECONDS
        )


class Liveness:
    """Responsiveness of other entries."""

    def __init__(self) -> None:
        self._contacts: dict[str, _Contact] = {}

    def record_sent(self, name: str, now: float) -> None:
        """Record a message that an entry is expected to answer.

        :param now: monotonic time in seconds
        """
        contact = self._contacts.setdefault(name, _Contact())
        stale = now - contact.sent_at > STALE_SECONDS
        if not contact.unanswered or (stale and not contact.is_silent(now)):
            contact.unanswered = 0
            contact.unanswered_since = now
        contact.unanswered += 1
        contact.sent_at = now

    def record_received(self, name: str, now: float) -> None:
        """Record a message from an entry."""
        contact = self._contacts.setdefault(name, _Contact())
        contact.received_at = now
        contact.unanswered = 0

    def is_silent(self, name: str, now: float) -> bool:
        """Return whether an entry left enough messages unanswered."""
        contact = self._contacts.get(name)
        return contact is not None and contact.is_silent(now)

    def get_silence_seconds(self, name: str, now: float) -> float:
        """Return for how long an entry has left messages unanswered.

        :returns: seconds, 0 if it left none unanswered
        """
        contact = self._contacts.get(name)
        if contact is None or not contact.unanswered:
            return 0.0
        return now - contact.unanswered_since

    def needs_probe(self, name: str, now: float) -> bool:
        """Return whether an entry sent no message recently."""
        contact = self._contacts.get(name)
        return contact is None or now - contact.received_at > FRESH_SECONDS

    def list_due(self, now: float) -> list[str]:
        """List the silent entries to which the next probe is due."""
        return [
            name
            for name, contact in self._contacts.items()
            if contact.is_silent(now)
            and now - contact.sent_at >= PROBE_SECONDS
        ]

    def forget(self, name: str) -> None:
        """Drop the record of an entry that is gone."""
        self._contacts.pop(name, None)
