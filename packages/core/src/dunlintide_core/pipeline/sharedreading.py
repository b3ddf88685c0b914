"""Reuse of what other entries of the failure domain read from the store.

Entries watch the store by long polling. In each failure domain two entries,
the readers, poll without pauses. Another entry whose digest of the store's
content equals theirs is as up to date as they are, so it pauses its polling,
counted from the earlier of their last readings.

This keeps the limits of ``WatchBudget``. If the readers stop, or their reports
are lost, the pause ends ``silence - slack`` seconds after the last reading
that confirmed the content, early enough for a poll whose answer is lost. When
an entry reads a change its digest differs, and the others end their pauses.
"""

import attrs

from dunlintide_core.pipeline import watchbudget

__all__ = ['SharedReading']

# Time for which the report of another entry is used, in seconds. Two of
# three messages may be lost.
REPORT_SECONDS = 0.5
# Number of other entries that must have read the same content. A single one
# may have lost its path to the store without knowing it yet.
MIN_READERS = 2
# Time by which the reading of another entry may seem to be later than it was,
# in seconds: the latency of the message and the lag of both event loops.
MARGIN_SECONDS = 0.05
# Maximum time between own readings, in seconds. The store may keep its history
# for a few seconds only, and a full reading is expensive. Removals reported by
# others wait 10 s for an own reading.
MAX_UNREAD_SECONDS = 8.0


@attrs.frozen
class _Report:
    """What another entry reported of its reading.

    :ivar read_at: monotonic time of the last answer it got, in seconds
    :ivar heard_at: monotonic time of the report, in seconds
    """

    digest: int
    read_at: float
    heard_at: float


@attrs.define
class SharedReading:
    """Readings of the store by other entries of the failure domain.

    :ivar name: name of this entry
    """

    name: str = ''
    _reports: dict[str, _Report] = attrs.field(factory=dict, init=False)

    def receive(
        self, entry: str, digest: int, read_at: float, now: float
    ) -> None:
        """Record what an entry of the failure domain reports.

        :param digest: digest of what it knows of the store
        :param read_at: monotonic time here of its last answer, in seconds
        :param now: monotonic time in seconds
        """
        self._reports[entry] = _Report(digest, read_at, now)

    def drop(self, entry: str) -> None:
        """Forget an entry that is no longer listed."""
        self._reports.pop(entry, None)

    def _list_heard(self, now: float) -> dict[str, _Report]:
        return {
            name: report
            for name, report in self._reports.items()
            if now - report.heard_at <= REPORT_SECONDS
        }

    def find_verified(self, own_digest: int, now: float) -> float | None:
        """Return when two others read the content that this entry knows.

        :param own_digest: digest of what this entry knows of the store
        :param now: monotonic time in seconds
        :returns: monotonic time in seconds; None if too few entries are heard,
            or one of them knows other content
        """
        heard = self._list_heard(now)
        if any(each.digest != own_digest for each in heard.values()):
            return None
        read_at = sorted(each.read_at for each in heard.values())
        if len(read_at) < MIN_READERS:
            return None
        return read_at[-MIN_READERS] - MARGIN_SECONDS

    def is_reader(self, now: float) -> bool:
        """Return whether this entry is one of the readers of its domain.

        :param now: monotonic time in seconds
        """
        names = sorted((self.name, *self._list_heard(now)))
        return self.name in names[:MIN_READERS]

    def choose_due(
        self,
        budget: watchbudget.WatchBudget,
        longest: float,
        own_digest: int,
        answered_at: float,
        now: float,
    ) -> float:
        """Return until when the store need not be read again.

        :param longest: longest pause after a reading, in seconds
        :param own_digest: digest of what this entry knows of the store
        :param answered_at: monotonic time of its own last answer, in seconds
        :param now: monotonic time in seconds
        :returns: monotonic time in seconds; that of its own last answer if it
            can't rely on others
        """
        verified_at = self.find_verified(own_digest, now)
        if verified_at is None or self.is_reader(now):
            return answered_at
        pause = min(longest, budget.silence - budget.slack)
        return min(
            max(verified_at, answered_at) + pause,
            answered_at + MAX_UNREAD_SECONDS,
        )
