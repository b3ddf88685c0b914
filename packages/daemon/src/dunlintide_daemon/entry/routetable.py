"""Routing table of the HTTP API: method and path to a resource."""

import enum
import re

import attrs

__all__ = [
    'Resource',
    'Target',
    'find_target',
]


class Resource(enum.Enum):
    """Kind of resource that a method and path address."""

    COMPLETION = 'completion'
    CHAT = 'chat'
    MODELS = 'models'
    REQUEST = 'request'
    SERVICE = 'service'
    UNKNOWN = 'unknown'
    WRONG_METHOD = 'wrong-method'


@attrs.frozen
class Target:
    """Resource that an HTTP request addresses.

    :ivar name: service name or request id from the path, empty for other
        resources
    :ivar rest: remaining path behind a service name
    """

    resource: Resource
    name: str = ''
    rest: str = ''


_FIXED = {
    '/v1/completions': ('POST', Resource.COMPLETION),
    '/v1/chat/completions': ('POST', Resource.CHAT),
    '/v1/models': ('GET', Resource.MODELS),
}
_REQUEST = re.compile(r'/v1/requests/([0-9a-f-]{36})')
_SERVICE = re.compile(r'/services/([A-Za-z0-9._-]{1,128})(/.*)?', re.DOTALL)


def find_target(method: str, path: str) -> Target:
    """Find the resource that a method and path address."""
    fixed = _FIXED.get(path)
    if fixed is not None:
        allowed, resource = fixed
        return Target(resource if method == allowed else Resource.WRONG_METHOD)
    if (found := _REQUEST.fullmatch(path)) is not None:
        if method != 'GET':
            return Target(Resource.WRONG_METHOD)
        return Target(Resource.REQUEST, found[1])
    if (found := _SERVICE.fullmatch(path)) is not None:
        return Target(Resource.SERVICE, found[1], found[2] or '/')
    return Target(Resource.UNKNOWN)
