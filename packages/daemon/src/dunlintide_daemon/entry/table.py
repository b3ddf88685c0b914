"""Routing table of the HTTP application: method and path to a handler."""

import enum
import re

import attrs

__all__ = [
    'Endpoint',
    'Target',
    'find_target',
]


class Endpoint(enum.Enum):
    """What a path stands for."""

    COMPLETION = 'completion'
    CHAT = 'chat'
    MODELS = 'models'
    REQUEST = 'request'
    SERVICE = 'service'
    UNKNOWN = 'unknown'
    WRONG_METHOD = 'wrong-method'


@attrs.frozen
class Target:
    """Where a request goes in this program.

    :ivar name: the part of the path that names a service or a request
    :ivar rest: path behind a service's name
    """

    endpoint: Endpoint
    name: str = ''
    rest: str = ''


_FIXED = {
    '/v1/completions': ('POST', Endpoint.COMPLETION),
    '/v1/chat/completions': ('POST', Endpoint.CHAT),
    '/v1/models': ('GET', Endpoint.MODELS),
}
_REQUEST = re.compile(r'/v1/requests/([0-9a-f-]{36})')
_SERVICE = re.compile(r'/services/([A-Za-z0-9._-]{1,128})(/.*)?', re.DOTALL)


def find_target(method: str, path: str) -> Target:
    """Find what a method and path stand for."""
    fixed = _FIXED.get(path)
    if fixed is not None:
        allowed, endpoint = fixed
        return Target(endpoint if method == allowed else Endpoint.WRONG_METHOD)
    if (found := _REQUEST.fullmatch(path)) is not None:
        if method != 'GET':
            return Target(Endpoint.WRONG_METHOD)
        return Target(Endpoint.REQUEST, found[1])
    if (found := _SERVICE.fullmatch(path)) is not None:
        return Target(Endpoint.SERVICE, found[1], found[2] or '/')
    return Target(Endpoint.UNKNOWN)
