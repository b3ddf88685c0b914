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
# Time after SIGTERM from which all streams are refused, in seconds. Later ones
# could not end before the process must, and by then the load balancer has
# twice seen that the entry is not ready.
STREAM_CUTOFF_SECONDS = 2.8


@attrs.frozen
class Shutdown:
    """Times of a shutdown, monotonic, in seconds.

    :ivar began: time of SIGTERM
    :ivar ends: time at which open requests are ended
    :ivar exits: time at which the process ends at the latest
    :ivar killed: time of SIGKILL
    """

    began: float
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
        return cls(began, ends, ends + margin * DELIVERY_FRACTION, killed)


def estimate_stream(
    first: float | None, count: int, interval: float | None
) -> float | None:
    """Return how long a stream is expected to take, in seconds.

    :param first: typical time to the first event in seconds, None if unknown
    :param count: expected number of events
    :param interval: typical time between two events in seconds, None if
        unknown
    :returns: None if the times are unknown
    """
    if first is None or interval is None:
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
    shutdown: Shutdown, deadline: float, expected: float | None
) -> float:
    """Return until when a stream may be sent, not to be cut off.

    One of unknown length may be sent if it begins early enough.

    :param deadline: monotonic time at which it ends anyway, in seconds
    :param expected: time that it is expected to take in seconds, None if
        unknown
    :returns: monotonic time in seconds
    """
    cutoff = shutdown.began + STREAM_CUTOFF_SECONDS
    if expected is None:
        return cutoff
    return min(cutoff, shutdown.ends - expected - MARGIN_SECONDS)
