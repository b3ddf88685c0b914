"""Problem details (RFC 9457) for refused requests."""

import http
import math
import random
from typing import Iterable

import attrs
import msgspec

from dunlintide_adapters import httppages
from dunlintide_core import outcomes

__all__ = [
    'OUTCOME_HEADER',
    'REQUEST_ID_HEADER',
    'Response',
    'build_fields',
    'render',
    'render_server_error',
    'render_status',
]

OUTCOME_HEADER = 'Dunlintide-Outcome'
REQUEST_ID_HEADER = 'X-Request-Id'
CONTENT_TYPE = 'application/problem+json'
_TYPE_PREFIX = 'urn:dunlintide:problem:'
# Spreads the retries of callers that were refused at the same time.
_RETRY_JITTER_RANGE = (0.5, 1.5)
_MIN_RETRY_AFTER_SECONDS = 1
_NO_CAPACITY_RETRY_SECONDS = 1.0
# Reasons for the HTTP server's own refusals, by status.
_SERVER_CODES = {
    413: outcomes.FailCode.TOO_LARGE,
    431: outcomes.FailCode.TOO_LARGE,
    503: outcomes.FailCode.NO_CAPACITY,
}


@attrs.frozen
class Response:
    """An HTTP response in the form that WSGI takes.

    :ivar status: status code with its reason phrase
    :ivar body: chunks of the body; may be produced while it is sent
    """

    status: str
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


def render_status(code: int) -> str:
    """Return a status line's code and reason phrase.

    :param code: HTTP status code; the phrase of an unknown one is
        ``Unregistered``
    """
    try:
        return f'{code} {http.HTTPStatus(code).phrase}'
    except ValueError:
        return f'{code} Unregistered'


def build_fields(
    refusal: outcomes.Refusal, request_id: str
) -> dict[str, object]:
    """Return the fields of a problem object.

    :param refusal: the refusal to describe
    :param request_id: id by which operators find the request in logs
    """
    title = refusal.code.value.replace('-', ' ')
    return {
        'type': _TYPE_PREFIX + refusal.code.value,
        'title': title,
        'status': refusal.status,
        'detail': refusal.detail or title,
        'outcome': refusal.outcome.value,
        'code': refusal.code.value,
        'request_id': request_id,
    }


def render(
    refusal: outcomes.Refusal, request_id: str, rng: random.Random
) -> Response:
    """Build the response for a refusal.

    :param rng: source of the jitter on ``Retry-After``
    """
    body = msgspec.json.encode(build_fields(refusal, request_id))
    headers = [
        ('Content-Type', CONTENT_TYPE),
        ('Content-Length', str(len(body))),
        (OUTCOME_HEADER, refusal.outcome.value),
        (REQUEST_ID_HEADER, request_id),
    ]
    if refusal.code is outcomes.FailCode.UNAUTHENTICATED:
        headers.append(('WWW-Authenticate', 'Bearer'))
    if refusal.retry_after is not None:
        seconds = refusal.retry_after * rng.uniform(*_RETRY_JITTER_RANGE)
        seconds = max(_MIN_RETRY_AFTER_SECONDS, math.ceil(seconds))
        headers.append(('Retry-After', str(seconds)))
    return Response(render_status(refusal.status), headers, [body])


def render_server_error(
    rng: random.Random, status: int, detail: str
) -> httppages.ErrorPage:
    """Build the page for a request that the HTTP server itself refuses.

    :param rng: source of the jitter on ``Retry-After``
    """
    code = _SERVER_CODES.get(status, outcomes.FailCode.BAD_REQUEST)
    has_no_capacity = code is outcomes.FailCode.NO_CAPACITY
    refusal = outcomes.refuse(
        code,
        detail,
        retry_after=_NO_CAPACITY_RETRY_SECONDS if has_no_capacity else None,
    )
    page = render(refusal, '', rng)
    headers = tuple(
        (name, value)
        for name, value in page.headers
        if value and name != 'Content-Length'
    )
    return httppages.ErrorPage(b''.join(page.body), headers)
