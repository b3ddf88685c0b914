"""What an entry still accepts and sends while it shuts down.

The process is killed at the end of its grace period. A request that is not
answered by then is lost to its caller, who can't tell whether it has run; one
that is refused at once is served by another entry. So a request is accepted
only if it ends in time: at its deadline, or by what is known of the duration
of its kind.
"""

import math

import attrs

__all__ = [
    'Shutdown',
    'StreamTimes',
    'choose_retry_delay',
    'estimate_stream',
    'find_latest_call_start',
    'find_latest_stream_start',
]

# Time before SIGKILL at which open requests are ended, in seconds, and its
# largest fraction of the grace period.
KILL_MARGIN_SECONDS = 0.35
MAX_MARGIN_FRACTION = 1 / 8
# Fraction of that time within which their answers have to leave the process.
DELIVERY_FRACTION = 2 / 3
# Time by which a request is to end before it would be ended, in seconds: it
# may wait in the queue, and its answer has to reach the caller.
MARGIN_SECONDS = 0.2
# Time after SIGTERM from which a stream needs a reserve, in seconds.
STREAM_CUTOFF_SECONDS = 2.8
# That reserve, as a factor on the expected duration and in seconds: while an
# engine is replaced, its streams stand still.
STREAM_RESERVE_FACTOR = 2.0
STREAM_RESERVE_SECONDS = 2.5
# Time after SIGTERM by which the load balancer has twice seen that the entry
# is not ready, and sends it no new connections while others serve, in seconds.
BALANCER_SECONDS = 2.6
# Fraction of the grace period that is left when idle connections are closed,
# at the latest.
CLOSING_FRACTION = 1 / 4
# Delay of a caller that is refused while others serve, in seconds: it retries
# at once, at one of them.
OTHER_ENTRY_DELAY_SECONDS = 0.1
# Time from the end of an entry's process until the next one serves, in
# seconds, half of it the platform's delay.
RESTART_SECONDS = 1.0


@attrs.frozen
class Shutdown:
    """Times of a shutdown, monotonic, in seconds.

    :ivar began: time of SIGTERM
    :ivar closes_idle: time at which idle connections are closed
    :ivar ends: time at which open requests are ended
    :ivar exits: time at which the process ends at the latest
    :ivar killed: time of SIGKILL
    """

    began: float
    closes_idle: float
    ends: float
    exits: float
    killed: float

    @classmethod
    def from_grace(cls, began: float, grace: float) -> 'Shutdown':
        """Plan a shutdown.

        :param began: monotonic time of SIGTERM, in seconds
        :param grace: time from SIGTERM to SIGKILL, in seconds
        """
        margin = min(KILL_MARGIN_SECONDS, grace * MAX_MARGIN_FRACTION)
        killed = began + grace
        ends = killed - margin
        return cls(
            began=began,
            closes_idle=min(
                began + BALANCER_SECONDS, killed - grace * CLOSING_FRACTION
            ),
            ends=ends,
            exits=ends + margin * DELIVERY_FRACTION,
            killed=killed,
        )

    def shorten(self, grace: float) -> 'Shutdown':
        """Return the shutdown under a changed grace period.

        It is not prolonged, since the platform may count on the former one.
        """
        changed = self.from_grace(self.began, grace)
        return min(self, changed, key=lambda each: each.killed)


@attrs.frozen
class StreamTimes:
    """Durations that a stream may have, in seconds, None if unknown.

    :ivar expected: with as many events as its caller expects
    :ivar longest: with the most events that it may have
    :ivar slowest: the same at the slowest pace of recent streams
    """

    expected: float | None = None
    longest: float | None = None
    slowest: float | None = None


def estimate_stream(
    first: float | None, count: int | None, interval: float | None
) -> float | None:
    """Return how long a stream takes, in seconds.

    :param first: time to the first event in seconds, None if unknown
    :param count: number of events, None if unknown
    :param interval: time between two events in seconds, None if unknown
    :returns: None if one of them is unknown
    """
    if first is None or count is None or interval is None:
        return None
    return first + count * interval


def find_latest_call_start(
    shutdown: Shutdown, deadline: float, expected: float
) -> float:
    """Return until when a call may be sent, to be answered in time.

    :param deadline: monotonic time at which it is answered anyway, in seconds
    :param expected: time that it is expected to take, in seconds
    :returns: monotonic time in seconds
    """
    if deadline <= shutdown.ends:
        return math.inf
    return shutdown.ends - expected - MARGIN_SECONDS


def find_latest_stream_start(
    shutdown: Shutdown,
    deadline: float,
    times: StreamTimes,
    by_length: bool,
    has_run: bool,
) -> float:
    """Return until when a stream may be sent, not to be cut off.

    Within the first seconds what its caller expects decides, and one of
    unknown length may be sent too. Later ones must end even with the most
    events that they may have, and need a reserve. One that has run can't be
    refused any more, so it is sent again while it may end in time.

    :param deadline: monotonic time at which it ends anyway, in seconds
    :param times: durations that it may have
    :param by_length: whether a stream that is too long is refused also within
        the first seconds, since another entry can take it
    :param has_run: whether it may have run
    :returns: monotonic time in seconds
    """
    if deadline <= shutdown.ends:
        return math.inf
    latest = shutdown.ends - (times.expected or 0.0) - MARGIN_SECONDS
    if has_run:
        return latest
    cutoff = shutdown.began + STREAM_CUTOFF_SECONDS
    if by_length and times.expected is not None:
        cutoff = min(cutoff, latest)
    if times.longest is None or times.slowest is None:
        return cutoff
    reserve = max(
        times.longest * STREAM_RESERVE_FACTOR + STREAM_RESERVE_SECONDS,
        times.slowest + MARGIN_SECONDS,
    )
    return max(cutoff, shutdown.ends - reserve)


def choose_retry_delay(
    shutdown: Shutdown, now: float, near: int, others: int
) -> float:
    """Return the retry delay for callers of an entry that shuts down.

    If entries are restarted one after the other, each before the previous one
    serves again, callers that retry at once reach another entry that shuts
    down, and have no retry left. The same holds while the load balancer still
    counts on a failure domain whose entries all shut down.

    :param now: monotonic time in seconds
    :param near: number of other entries that serve in the failure domain
    :param others: number of other entries that serve
    :returns: delay in seconds
    """
    if near:
        return OTHER_ENTRY_DELAY_SECONDS
    if others:
        noticed = shutdown.began + BALANCER_SECONDS
        return max(OTHER_ENTRY_DELAY_SECONDS, noticed - now)
    return max(0.0, shutdown.killed - now) + RESTART_SECONDS
