"""Outcomes of requests and the failure codes behind them."""

import enum

import attrs

__all__ = [
    'FailCode',
    'Outcome',
    'Refusal',
    'refuse',
]


class Outcome(enum.StrEnum):
    """Outcome of a request, as reported to the caller."""

    COMPLETE = 'complete'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class FailCode(enum.StrEnum):
    """Reason why a request or an attempt ended without an answer."""

    BAD_REQUEST = 'bad-request'
    UNAUTHENTICATED = 'unauthenticated'
    NO_RULE = 'no-rule'
    REFUSED_BY_RULE = 'refused-by-rule'
    NOT_FOUND = 'not-found'
    TOO_LARGE = 'too-large'
    KEY_REUSED = 'key-reused'
    KEY_EXPIRED = 'key-expired'
    ANSWER_GONE = 'answer-gone'
    NO_CAPACITY = 'no-capacity'
    RATE_LIMITED = 'rate-limited'
    QUEUE_FULL = 'queue-full'
    DEADLINE = 'deadline'
    LEAVING = 'leaving'
    STORE_UNAVAILABLE = 'store-unavailable'
    QUARANTINED = 'quarantined'
    STALE_EPOCH = 'stale-epoch'
    GAP = 'gap'
    EXECUTOR_GONE = 'executor-gone'
    ENDPOINT_FAILED = 'endpoint-failed'
    LINK_LOST = 'link-lost'
    CANCELLED = 'cancelled'
    INTERNAL = 'internal'


# HTTP status codes (RFC 9110); all other failures use the default.
_STATUS = {
    FailCode.BAD_REQUEST: 400,
    FailCode.UNAUTHENTICATED: 401,
    FailCode.NO_RULE: 403,
    FailCode.REFUSED_BY_RULE: 403,
    FailCode.NOT_FOUND: 404,
    FailCode.TOO_LARGE: 413,
    FailCode.KEY_REUSED: 422,
    FailCode.KEY_EXPIRED: 422,
    FailCode.ANSWER_GONE: 409,
    FailCode.RATE_LIMITED: 429,
    FailCode.QUARANTINED: 422,
    FailCode.ENDPOINT_FAILED: 502,
    FailCode.LINK_LOST: 502,
    FailCode.EXECUTOR_GONE: 502,
    FailCode.INTERNAL: 500,
    FailCode.DEADLINE: 504,
}
_DEFAULT_STATUS = 503


@attrs.frozen
class Refusal:
    """Refusal or failure of a request or an attempt.

    :ivar code: the reason
    :ivar outcome: outcome of the request
    :ivar detail: one sentence for the caller, without request content
    :ivar retry_after: seconds after which the caller may retry, or None
    :ivar sealed: whether the executor of the claim has confirmed that the
        request never ran and never will
    :ivar held: whether the executor keeps the state of the request, so
        that it can continue on a new chain
    """

    code: FailCode
    outcome: Outcome
    detail: str = ''
    retry_after: float | None = None
    sealed: bool = False
    held: bool = False

    @property
    def status(self) -> int:
        """HTTP status of the code."""
        return _STATUS.get(self.code, _DEFAULT_STATUS)


def refuse(
    code: FailCode,
    detail: str = '',
    *,
    ran: bool = False,
    retry_after: float | None = None,
) -> Refusal:
    """Build a refusal.

    :param code: the reason
    :param detail: one sentence for the caller
    :param ran: whether any part of the request may have run; False only
        if it certainly did not
    :param retry_after: seconds after which the caller may retry
    """
    outcome = Outcome.UNKNOWN if ran else Outcome.NOT_RUN
    return Refusal(code, outcome, detail, retry_after)
