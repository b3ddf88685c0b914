"""Identity of a process by its certificate, and frames its role may send.

A certificate carries DNS names, the only kind of name that a connecting
process can verify: ``NAME.ROLE.DOMAIN``, ``ROLE.DOMAIN`` for clients that
know only the role, and ``DOMAIN`` for clients that know neither.
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
# Frame bodies by the roles of sender and receiver.
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
    """Role and name of the process that a certificate identifies."""

    role: str
    name: str


def is_host_name(text: str) -> bool:
    """Return whether a text is a valid DNS name."""
    return len(text) <= _MAX_NAME and bool(_HOST_NAME.fullmatch(text))


def list_names(identity: Identity, domain: str) -> tuple[str, str, str]:
    """List the DNS names of a process's certificate, longest first.

    :param domain: common suffix of the DNS names of all processes
    """
    role = f'{identity.role}.{domain}'
    return f'{identity.name}.{role}', role, domain


def read_identity(names: Iterable[str], domain: str) -> Identity | None:
    """Return the process that a certificate identifies.

    :param names: DNS names of the certificate
    :param domain: common suffix of the DNS names of all processes
    :returns: None if the certificate identifies no process, or several
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
    """Describe a mismatch between a certificate and a claimed identity.

    :param identity: process that the certificate identifies
    :param role: claimed role
    :param name: claimed name
    :returns: empty if both agree
    """
    if identity is None:
        return 'the certificate identifies no process'
    if identity == Identity(role, name):
        return ''
    return (
        f'the certificate identifies {identity.role} {identity.name!r}, '
        f'but the process claims to be {role} {name!r}'
    )


def list_permitted_bodies(sender: str, receiver: str) -> frozenset[str]:
    """List the frame bodies that one role may send to another."""
    return _PERMITTED.get((sender, receiver), _ALWAYS)
