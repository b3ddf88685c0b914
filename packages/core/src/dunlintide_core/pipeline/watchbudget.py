"""Division of the drain time among the steps until an entry knows a change.

From the moment at which the store accepts that an endpoint leaves, requests
may be sent to it for the drain time. An entry learns it from a watch that
waits at the store. If the answer is lost, the watch has to be given up, and
repeated on a new connection, within the same time.
"""

import attrs

__all__ = ['WatchBudget']

# Share of the drain time that is left for the answer, the lag of the event
# loop and the way of a request through the entry.
RESERVE_FRACTION = 0.2
# Pause after an answer with changes. It batches changes: endpoints write all
# the time, and without it each write would cost one call of each entry.
BATCH_FRACTION = 0.3
# Longest pause before the first retry. Jitter keeps entries that lose the
# store at the same moment from calling it at the same moment.
JITTER_FRACTION = 0.05
# Timeout of a connection, and time by which an answer may be late, in seconds,
# and the largest share of the drain time that they take.
CONNECT_SECONDS = 0.3
CONNECT_FRACTION = 0.15
SLACK_SECONDS = 0.4
SLACK_FRACTION = 0.2


@attrs.frozen
class WatchBudget:
    """Times of the steps, in seconds; with one lost answer they fit.

    :ivar silence: longest time from one answer until the next call is given up
    :ivar slack: time by which an answer may be late
    :ivar connect: timeout of a connection
    :ivar jitter: longest pause before the first retry
    :ivar batch: pause after an answer with changes
    """

    silence: float
    slack: float
    connect: float
    jitter: float
    batch: float

    @classmethod
    def from_drain(cls, drain: float) -> 'WatchBudget':
        """Divide a drain time.

        :param drain: seconds for which requests may be sent to an endpoint
            after the store has accepted that it leaves
        """
        connect = min(CONNECT_SECONDS, CONNECT_FRACTION * drain)
        jitter = JITTER_FRACTION * drain
        return cls(
            silence=(1 - RESERVE_FRACTION) * drain - connect - jitter,
            slack=min(SLACK_SECONDS, SLACK_FRACTION * drain),
            connect=connect,
            jitter=jitter,
            batch=BATCH_FRACTION * drain,
        )

    def choose_wait(self, elapsed: float) -> float:
        """Return for how long the store may hold a watch, in seconds.

        :param elapsed: time since the last answer, in seconds
        """
        return max(0.0, self.silence - self.slack - elapsed)

    def choose_slack(self, failures: int) -> float:
        """Return by how much an answer may be late, in seconds.

        It is doubled once two calls have failed, so that a store that is slow
        is heard nevertheless.

        :param failures: calls that failed since the last answer
        """
        return self.slack if failures < 2 else 2 * self.slack
