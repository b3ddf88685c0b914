"""Number of requests to a rate-limited endpoint in a sliding window."""

from typing import Iterable

__all__ = [
    'STABLE_SECONDS',
    'WINDOW_SECONDS',
    'count_allowed',
    'count_most',
]

# Seconds from the announcement of a limit until it is enforced, and length
# in seconds of the window in which requests are counted.
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0


def count_allowed(limit: float) -> float:
    """Return the maximum requests in a window.

    :param limit: rate limit in requests per second
    """
    return 1.5 * limit * WINDOW_SECONDS + 5


def count_most(times: Iterable[float]) -> int:
    """Count the requests in the window with the most requests.

    :param times: times of the requests in seconds
    """
    ordered = sorted(times)
    most = first = 0
    for index, at in enumerate(ordered):
        while ordered[first] <= at - WINDOW_SECONDS:
            first += 1
        most = max(most, index - first + 1)
    return most
