"""Who a process is by its certificate, and what its role may send.

A certificate names its process by DNS names, the only kind that the side
that dials can ask for: ``NAME.ROLE.DOMAIN``, ``ROLE.DOMAIN`` for those
that know the role only, and ``DOMAIN`` for those that know neither.
"""

import re
from typing import Iterable, Mapping

import attrs

from dunlintide_core import fleet

__all__ = [
    'Identity',
    'find_mismatch',
    'is_host_name',
    'list_names',
    'list_permitted_bodies',
    'read_identity',
]

_LABEL = '[A-Za-z0-9]([A-Za-z0-9-]{0,61}[A-Za-z0-9])?'
_HOST_NAME = re.compile(rf'{_LABEL}(\.{_LABEL})*')
_MAX_NAME = 253

_ENTRY = fleet.Role.ENTRY
_AGENT = fleet.Role.AGENT
_ALWAYS = frozenset(('hello', 'ping'))
# Bodies of frames by who sends them and who gets them.
_BODIES = {
    (_ENTRY, _AGENT): (
        'open',
        'call',
        'attach',
        'cancel',
        'order',
        'suspects',
    ),
    (_AGENT, _AGENT): (
        'step',
        'resume',
        'token',
        'done',
        'fail',
        'cancel',
        'suspects',
        'load',
        'leaving',
    ),
    (_AGENT, _ENTRY): (
        'token',
        'done',
        'fail',
        'reply',
        'load',
        'leaving',
        'order_reply',
        'suspects',
    ),
    (_ENTRY, _ENTRY): ('demand', 'grant'),
}
_PERMITTED: Mapping[tuple[str, str], frozenset[str]] = {
    pair: _ALWAYS | frozenset(bodies) for pair, bodies in _BODIES.items()
}


@attrs.frozen
class Identity:
    """Whom a certificate names."""

    role: str
    name: str


def is_host_name(text: str) -> bool:
    """Tell whether a text can be part of a DNS name."""
    return len(text) <= _MAX_NAME and bool(_HOST_NAME.fullmatch(text))


def list_names(identity: Identity, domain: str) -> tuple[str, str, str]:
    """List the DNS names of a process's certificate, the longest first."""
    role = f'{identity.role}.{domain}'
    return f'{identity.name}.{role}', role, domain


def read_identity(names: Iterable[str], domain: str) -> Identity | None:
    """Read whom a certificate names.

    :param names: its DNS names
    :returns: None when it names none, or several
    """
    found = set()
    for role in fleet.Role:
        ending = f'.{role}.{domain}'
        found |= {
            Identity(str(role), name.removesuffix(ending))
            for name in names
            if name.endswith(ending)
        }
    return found.pop() if len(found) == 1 else None


def find_mismatch(identity: Identity | None, role: str, name: str) -> str:
    """Say why a claim does not fit a certificate; empty when it does.

    :param identity: whom the certificate names
    """
    if identity is None:
        return 'its certificate names no process'
    if identity == Identity(role, name):
        return ''
    return (
        f'its certificate names {identity.role} {identity.name!r}, '
        f'it says {role} {name!r}'
    )


def list_permitted_bodies(sender: str, receiver: str) -> frozenset[str]:
    """List the bodies of frames that one role may send to another."""
    return _PERMITTED.get((sender, receiver), _ALWAYS)
