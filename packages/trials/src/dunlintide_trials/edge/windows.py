"""Requests that an endpoint with a rate limit may get in any window."""

from typing import Iterable

__all__ = [
    'STABLE_SECONDS',
    'WINDOW_SECONDS',
    'count_allowed',
    'count_most',
]

# Time from the first naming of a limit after which it holds, and length of
# the windows in which requests are counted, in seconds.
STABLE_SECONDS = 3.0
WINDOW_SECONDS = 4.0


def count_allowed(limit: float) -> float:
    """Tell how many requests a window may have."""
    return 1.5 * limit * WINDOW_SECONDS + 5


def count_most(times: Iterable[float]) -> int:
    """Count the requests of the fullest window."""
    ordered = sorted(times)
    most = first = 0
    for index, at in enumerate(ordered):
        while ordered[first] <= at - WINDOW_SECONDS:
            first += 1
        most = max(most, index - first + 1)
    return most
