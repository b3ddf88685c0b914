"""Error pages of requests that the HTTP server itself refuses."""

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
    """Error answer that the server sends instead of the application's.

    :ivar headers: header fields without Content-Length
    """

    body: bytes
    headers: tuple[tuple[str, str], ...] = ()


def render_error(status: int, detail: str) -> ErrorPage:
    """Build a problem document (RFC 9457) for a refused request."""
    body = {
        'type': 'about:blank',
        'title': http.HTTPStatus(status).phrase,
        'status': status,
        'detail': detail,
    }
    headers = (('Content-Type', 'application/problem+json'),)
    return ErrorPage(json.dumps(body).encode(), headers)


def build_status_line(status: int) -> str:
    """Build a WSGI status line, such as ``503 Service Unavailable``."""
    return f'{status} {http.HTTPStatus(status).phrase}'
