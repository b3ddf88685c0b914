"""Pages with which an HTTP server itself refuses a request."""

import http
import json

import attrs

__all__ = [
    'ErrorPage',
    'build_status_line',
    'render_error',
]


@attrs.frozen
class ErrorPage:
    """Answer of the server itself, in place of the application's.

    :ivar headers: header fields without the length
    """

    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def render_error(status: int, detail: str) -> ErrorPage:
    """Build a problem document (RFC 9457) for a refusal."""
    body = {
        'type': 'about:blank',
        'title': http.HTTPStatus(status).phrase,
        'status': status,
        'detail': detail,
    }
    headers = (('Content-Type', 'application/problem+json'),)
    return ErrorPage(json.dumps(body).encode(), headers)


def build_status_line(status: int) -> str:
    """Build the status as WSGI wants it."""
    return f'{status} {http.HTTPStatus(status).phrase}'
