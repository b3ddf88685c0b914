"""Detection of slow engines from the pace that they report.

The pace of an engine is the time of its work as a multiple of the published
one. An engine that becomes slow delays every stream whose chain includes it,
without failing or stalling. Streams only show that some engine of a chain is
slow, so the engines of such a chain are asked for their pace, each by few
entries and not often.
"""

import enum
from typing import Iterable, Mapping

import attrs

__all__ = ['Paces', 'is_slow_run']

# Pace from which on an engine counts as slow; lower ones are normal under
# load.
MIN_SLOW_PACE = 1.5
# Interval between two questions to an engine, in seconds.
ASK_SECONDS = 0.6
# Interval between two questions to a slow engine, in seconds: it may have
# recovered, and gets no streams that would show it.
ASK_SLOW_SECONDS = 0.8
# How long an answer counts, in seconds: a slow engine is asked twice within
# it.
ANSWER_SECONDS = 2.0
# Multiple of the typical time of an event, or until the first one, from which
# on some engine of the chain is suspected to be slow.
SLOW_FACTOR = 2.0


def is_slow_run(seconds: float, usual: float | None) -> bool:
    """Return whether a run suggests that an engine of its chain is slow.

    :param seconds: its mean interval between events, or time to the first one
    :param usual: the same of typical runs, None if unknown
    """
    return usual is not None and seconds > usual * SLOW_FACTOR


class _Source(enum.Enum):
    """Entry that asked an engine: this one or another."""

    OWN = enum.auto()
    OTHER = enum.auto()


@attrs.define
class _Answer:
    """Pace that an engine reported.

    :ivar received_at: monotonic time of the report, in seconds
    """

    pace: float
    received_at: float
    source: _Source


class Paces:
    """Paces of engines as one entry knows them."""

    def __init__(self) -> None:
        self._answers: dict[str, _Answer] = {}
        self._asked: dict[str, float] = {}

    def list_due(self, names: Iterable[str], now: float) -> list[str]:
        """List the engines to ask now, and record that they are asked.

        :param names: engines that may be slow
        :param now: monotonic time in seconds
        """
        due_names = [name for name in names if self._is_due(name, now)]
        for name in due_names:
            self._asked[name] = now
        return due_names

    def _is_due(self, name: str, now: float) -> bool:
        """Return whether an engine was neither asked nor reported lately."""
        if now - self._asked.get(name, float('-inf')) < ASK_SECONDS:
            return False
        answer = self._answers.get(name)
        return answer is None or now - answer.received_at >= ASK_SECONDS

    def list_slow_due(self, now: float) -> list[str]:
        """List the slow engines that this entry is to ask again."""
        slow = [
            name
            for name, answer in self._answers.items()
            if answer.source is _Source.OWN
            and answer.pace >= MIN_SLOW_PACE
            and ASK_SLOW_SECONDS <= now - answer.received_at < ANSWER_SECONDS
        ]
        return self.list_due(slow, now)

    def record(self, name: str, pace: float, now: float) -> None:
        """Record the pace that an engine reported to this entry."""
        self._answers[name] = _Answer(pace, now, _Source.OWN)

    def receive(self, name: str, pace: float, now: float) -> None:
        """Record the pace that an engine reported to another entry."""
        known = self._answers.get(name)
        if known is not None and known.source is _Source.OWN:
            if now - known.received_at < ASK_SECONDS:
                return
        self._answers[name] = _Answer(pace, now, _Source.OTHER)

    def list_slow(self, now: float) -> Mapping[str, float]:
        """Return the paces of the slow engines, by name."""
        self._expire(now)
        return {
            name: answer.pace
            for name, answer in self._answers.items()
            if answer.pace >= MIN_SLOW_PACE
        }

    def list_own(self, now: float) -> Mapping[str, float]:
        """Return the paces recently reported to this entry, for other entries.

        Engines that are not slow are included, so that others need not ask
        them.
        """
        self._expire(now)
        return {
            name: answer.pace
            for name, answer in self._answers.items()
            if answer.source is _Source.OWN
        }

    def forget(self, name: str) -> None:
        """Drop the record of an engine that is gone."""
        self._answers.pop(name, None)
        self._asked.pop(name, None)

    def _expire(self, now: float) -> None:
        """Drop answers that no longer count."""
        expired = [
            name
            for name, answer in self._answers.items()
            if now - answer.received_at >= ANSWER_SECONDS
        ]
        for name in expired:
            del self._answers[name]
