"""Durations of recent calls, by rule."""

import collections

import attrs

__all__ = ['CallDurations']

# Number of recent calls of a rule that are kept.
MAX_DURATIONS = 64
# Number of calls of a rule below which the target latency counts too.
MIN_DURATIONS = 4
# Number of rules that are kept. A configuration has thousands, of which an
# entry serves few at a time.
MAX_RULES = 512
# Expected duration as a factor on the longest of the recent ones, and on the
# target latency.
LONGEST_FACTOR = 1.5
TARGET_FACTOR = 2.0


@attrs.define
class CallDurations:
    """Durations of the recent calls of the rules that were used last."""

    _recent: collections.OrderedDict[str, collections.deque[float]] = (
        attrs.field(factory=collections.OrderedDict, init=False)
    )

    def record(self, rule: str, seconds: float) -> None:
        """Record how long an endpoint took for a call.

        :param rule: name of the rule of the call
        :param seconds: duration in seconds
        """
        recent = self._recent.get(rule)
        if recent is None:
            recent = collections.deque(maxlen=MAX_DURATIONS)
            self._recent[rule] = recent
            if len(self._recent) > MAX_RULES:
                self._recent.popitem(last=False)
        self._recent.move_to_end(rule)
        recent.append(seconds)

    def estimate(self, rule: str, target: float) -> float:
        """Return how long a call of a rule is expected to take at most.

        :param target: target latency of the rule in seconds
        :returns: duration in seconds
        """
        recent = self._recent.get(rule, ())
        expected = max(recent, default=0.0) * LONGEST_FACTOR
        if len(recent) < MIN_DURATIONS:
            return max(expected, target * TARGET_FACTOR)
        return expected
