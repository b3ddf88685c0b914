"""Number of requests to a rate-limited endpoint in a sliding window."""

from typing import Iterable

__all__ = [
    'STABLE_SECONDS',
    'WINDOW_SECONDS',
    'compute_max_requests',
    'count_max_requests',
]

# Seconds from the announcement of a limit until it is enforced, and length
# in seconds of the window in which requests are counted.
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0


def compute_max_requests(limit: float) -> float:
    """Return the maximum requests in a window.

    :param limit: rate limit in requests per second
    """
    return 1.5 * limit * WINDOW_SECONDS + 5


def count_max_requests(times: Iterable[float]) -> int:
    """Count the requests in the window with the most requests.

    :param times: times of the requests in seconds
    """
    ordered = sorted(times)
    maximum = oldest = 0
    for index, time in enumerate(ordered):
        while ordered[oldest] <= time - WINDOW_SECONDS:
            oldest += 1
        maximum = max(maximum, index - oldest + 1)
    return maximum
