"""Failures of calls on the platform's store."""

import enum

import attrs
import urllib3

__all__ = [
    'FailureKind',
    'StoreFailure',
    'classify_error',
    'classify_status',
]

_SERVER_ERROR = 500
_UNSENT = (
    urllib3.exceptions.NewConnectionError,
    urllib3.exceptions.ConnectTimeoutError,
)
_NO_CONNECTION = (
    urllib3.exceptions.EmptyPoolError,
    urllib3.exceptions.ClosedPoolError,
)


class FailureKind(enum.StrEnum):
    """Reason why a call on the store failed."""

    BUSY = 'busy'
    CIRCUIT_OPEN = 'circuit-open'
    DROPPED = 'dropped'
    REFUSED = 'refused'
    TIMEOUT = 'timeout'
    UNAVAILABLE = 'unavailable'
    UNREACHABLE = 'unreachable'


@attrs.frozen
class StoreFailure:
    """A failed call on the store.

    :ivar maybe_applied: whether a write may nevertheless take effect, now
        or later; False for reads
    """

    kind: FailureKind
    message: str
    maybe_applied: bool


def classify_error(error: Exception, writes: bool) -> StoreFailure:
    """Convert an exception of a call to a failure.

    :param writes: whether the call may change the store
    """
    # The text of an error may contain data that must not be logged.
    text = type(error).__name__
    if isinstance(error, _NO_CONNECTION):
        return StoreFailure(FailureKind.BUSY, text, False)
    if isinstance(error, _UNSENT):
        return StoreFailure(FailureKind.UNREACHABLE, text, False)
    if isinstance(error, urllib3.exceptions.ReadTimeoutError):
        return StoreFailure(FailureKind.TIMEOUT, text, writes)
    return StoreFailure(FailureKind.DROPPED, text, writes)


def classify_status(status: int, writes: bool) -> StoreFailure:
    """Convert an HTTP status other than 200 to a failure.

    :param writes: whether the call may change the store
    """
    text = f'HTTP status {status}'
    if status >= _SERVER_ERROR:
        return StoreFailure(FailureKind.UNAVAILABLE, text, writes)
    return StoreFailure(FailureKind.REFUSED, text, False)
