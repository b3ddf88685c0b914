"""Filtering of the headers between callers and plain services."""

from typing import Any, Iterable, Mapping

__all__ = [
    'filter_answer_headers',
    'read_request_headers',
]

# Headers of a single connection, headers that would identify the caller to
# the service in place of the agent, and headers that this entry sets.
_DROPPED_REQUEST_HEADERS = frozenset(
    (
        'AUTHORIZATION',
        'CONNECTION',
        'COOKIE',
        'DUNLINTIDE_MEMBER',
        'DUNLINTIDE_PRIORITY',
        'EXPECT',
        'HOST',
        'IDEMPOTENCY_KEY',
        'KEEP_ALIVE',
        'PROXY_AUTHORIZATION',
        'PROXY_CONNECTION',
        'TE',
        'TRAILER',
        'TRANSFER_ENCODING',
        'UPGRADE',
        'X_REQUEST_ID',
    )
)
_DROPPED_ANSWER_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'date',
        'dunlintide-outcome',
        'keep-alive',
        'proxy-authenticate',
        'server',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'x-request-id',
    )
)


def read_request_headers(
    environ: Mapping[str, Any],
) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request that are passed to a service.

    :param environ: the request's WSGI environment
    """
    headers = [
        (name[5:].replace('_', '-').title(), value)
        for name, value in environ.items()
        if name.startswith('HTTP_')
        and name[5:] not in _DROPPED_REQUEST_HEADERS
    ]
    if environ.get('CONTENT_TYPE'):
        headers.append(('Content-Type', environ['CONTENT_TYPE']))
    return tuple(headers)


def _has_no_line_break(name: str, value: str) -> bool:
    # waitress raises on a line break in a header, and would do so only
    # after the service has run.
    return not any(mark in name + value for mark in '\r\n')


def filter_answer_headers(
    headers: Iterable[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Return the headers of a service's answer to pass to the caller."""
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in _DROPPED_ANSWER_HEADERS
        and _has_no_line_break(name, value)
    ]
