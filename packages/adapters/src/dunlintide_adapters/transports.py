"""Connections between processes: plain, or mutual TLS.

With TLS each side shows a certificate of the fleet's authorities, and
what it says of itself must agree with that certificate. Renewed files
serve all connections made from then on; open ones go on.
"""

import collections
import functools
import pathlib
import threading
from typing import Any, Callable, Iterable, Protocol

from absl import logging
import grpc
from prometheus_client import core as metrics_core

from dunlintide_adapters import certificates
from dunlintide_core import identities
from dunlintide_core import settings as settings_module

__all__ = [
    'PLAIN',
    'Guard',
    'Mutual',
    'Plain',
    'Refusals',
    'Transport',
    'build',
    'list_paths',
    'make_check',
    'make_own_check',
]

Options = Iterable[tuple[str, Any]]

_NAMES = 'x509_subject_alternative_name'
_TARGET = 'grpc.ssl_target_name_override'


class Refusals:
    """Counts and logs what was refused, by reason; thread-safe.

    The reasons are ``identity``, ``role`` and ``handshake``.
    """

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()
        self._lock = threading.Lock()

    def add(self, reason: str, detail: str) -> None:
        """Count a refusal and log why."""
        with self._lock:
            self._counts[reason] += 1
        logging.warning('tls: refused (%s): %s', reason, detail)

    def describe(self) -> dict[str, int]:
        """Return the counts."""
        with self._lock:
            return dict(self._counts)

    def collect(self):
        """Yield the counts in the form of the metrics library."""
        family = metrics_core.CounterMetricFamily(
            'dunlintide_tls_refused',
            'Connections, calls and frames refused, by reason',
            labels=['reason'],
        )
        for reason, number in self.describe().items():
            family.add_metric([reason], number)
        yield family


class Guard:
    """Holds one link to what the certificate of its far side allows.

    :ivar answers: whether to say nothing before the far side is admitted
    """

    def __init__(
        self,
        find_fault: Callable[[str, str], str] | None = None,
        refusals: Refusals | None = None,
        answers: bool = False,
    ) -> None:
        """Begin before the far side has said who it is.

        :param find_fault: says what is wrong with a role and a name; None
            allows everything
        """
        self.answers = answers
        self._find_fault = find_fault
        self._refusals = refusals
        self._permitted: frozenset[str] | None = None
        self._dropped = False
        if find_fault is not None:
            self._permitted = frozenset(('hello',))

    def admit(self, role: str, name: str, receiver: str) -> str:
        """Say why a peer is refused; empty when it may go on.

        :param role: what it says that it is
        :param receiver: this side's role
        """
        if self._find_fault is None:
            return ''
        fault = self._find_fault(role, name)
        if fault:
            self._refusals.add('identity', f'a link: {fault}')
            return fault
        self._permitted = identities.list_permitted(role, receiver)
        return ''

    def permits(self, body: str | None) -> bool:
        """Tell whether a frame may come from the far side."""
        if self._permitted is None or body in self._permitted:
            return True
        if not self._dropped:
            self._dropped = True
            self._refusals.add('role', f'frames of kind {body!r}')
        return False


class Transport(Protocol):
    """How a process connects to others of the fleet."""

    refusals: Refusals

    def listen(self, server: grpc.aio.Server, address: str) -> int:
        """Bind an address and return the port."""

    def dial(self, address: str, options: Options) -> grpc.Channel:
        """Open a channel to a process of any role."""

    def dial_async(
        self, address: str, role: str, options: Options
    ) -> grpc.aio.Channel:
        """Open a channel to a process of a role, on the event loop."""

    def guard_accepted(self, context: grpc.ServicerContext) -> Guard:
        """Make the guard of a link that was accepted."""

    def guard_dialled(self, role: str) -> Guard:
        """Make the guard of a link to a process of a role."""

    def find_fault(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Say why a call is refused; empty when it may go on.

        :param role: role that the caller needs or gives, empty for any
        :param name: name that it gives, empty when it gives none
        """

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""


class Plain:
    """Connections without TLS; nobody can be told from another."""

    def __init__(self) -> None:
        self.refusals = Refusals()

    def listen(self, server: grpc.aio.Server, address: str) -> int:
        """Bind an address and return the port."""
        return server.add_insecure_port(address)

    def dial(self, address: str, options: Options) -> grpc.Channel:
        """Open a channel."""
        return grpc.insecure_channel(address, options=options)

    def dial_async(
        self, address: str, role: str, options: Options
    ) -> grpc.aio.Channel:
        """Open a channel on the event loop."""
        return grpc.aio.insecure_channel(address, options=options)

    def guard_accepted(self, context: grpc.ServicerContext) -> Guard:
        """Make a guard that allows everything."""
        return Guard()

    def guard_dialled(self, role: str) -> Guard:
        """Make a guard that allows everything."""
        return Guard()

    def find_fault(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Allow any call."""
        return ''

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {'mutual': False}


PLAIN = Plain()


def _find_role_fault(expected: str, role: str, name: str) -> str:
    if expected in ('', role):
        return ''
    return f'dialled as {expected}, it says {role} {name!r}'


class Mutual:
    """Mutual TLS by certificates of the fleet's own authorities."""

    def __init__(self, files: certificates.Files, domain: str) -> None:
        """Use files; see ``identities`` for the names in certificates."""
        self.refusals = Refusals()
        self._files = files
        self._domain = domain
        self._served: certificates.Bundle | None = None

    def _configure(
        self, bundle: certificates.Bundle
    ) -> grpc.ServerCertificateConfiguration:
        self._served = bundle
        return grpc.ssl_server_certificate_configuration(
            [(bundle.key, bundle.certificate)],
            root_certificates=bundle.authorities,
        )

    def _renew(self) -> grpc.ServerCertificateConfiguration | None:
        # Called by gRPC at each handshake; None keeps what it has.
        bundle = self._files.get()
        return None if bundle is self._served else self._configure(bundle)

    def listen(self, server: grpc.aio.Server, address: str) -> int:
        """Bind an address and return the port."""
        credentials = grpc.dynamic_ssl_server_credentials(
            self._configure(self._files.get()),
            self._renew,
            require_client_authentication=True,
        )
        return server.add_secure_port(address, credentials)

    def _make_credentials(self) -> grpc.ChannelCredentials:
        bundle = self._files.get()
        return grpc.ssl_channel_credentials(
            bundle.authorities, bundle.key, bundle.certificate
        )

    def dial(self, address: str, options: Options) -> grpc.Channel:
        """Open a channel to a process of any role."""
        named = (*options, (_TARGET, self._domain))
        return grpc.secure_channel(
            address, self._make_credentials(), options=named
        )

    def dial_async(
        self, address: str, role: str, options: Options
    ) -> grpc.aio.Channel:
        """Open a channel to a process of a role, on the event loop."""
        target = f'{role}.{self._domain}' if role else self._domain
        return grpc.aio.secure_channel(
            address,
            self._make_credentials(),
            options=(*options, (_TARGET, target)),
        )

    def _identify(
        self, context: grpc.ServicerContext
    ) -> identities.Identity | None:
        shown = context.auth_context().get(_NAMES, ())
        names = [name.decode('ascii', 'replace') for name in shown]
        return identities.read_identity(names, self._domain)

    def guard_accepted(self, context: grpc.ServicerContext) -> Guard:
        """Make the guard of a link that was accepted."""
        find = functools.partial(
            identities.find_fault, self._identify(context)
        )
        return Guard(find, self.refusals, answers=True)

    def guard_dialled(self, role: str) -> Guard:
        """Make the guard of a link to a process of a role."""
        find = functools.partial(_find_role_fault, role)
        return Guard(find, self.refusals)

    def find_fault(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Say why a call is refused; empty when it may go on."""
        identity = self._identify(context)
        if identity is not None:
            role = role or identity.role
            name = name or identity.name
        fault = identities.find_fault(identity, role, name)
        if fault:
            self.refusals.add('identity', f'a call: {fault}')
        return fault

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump, without keys."""
        return {
            'mutual': True,
            'expires': self._files.get().expires.isoformat(),
            'reloads': self._files.reloads,
            'reload_failures': self._files.failures,
            'refused': self.refusals.describe(),
        }


def list_paths(tls: settings_module.Tls) -> certificates.Paths:
    """List the files that settings name."""
    return certificates.Paths(
        pathlib.Path(tls.certificate),
        pathlib.Path(tls.key),
        pathlib.Path(tls.authorities),
    )


def make_check(
    own: identities.Identity, domain: str
) -> Callable[[certificates.Bundle], str]:
    """Make a function that says why a certificate is not a process's."""

    def check(bundle: certificates.Bundle) -> str:
        needed = identities.list_names(own, domain)
        missing = [name for name in needed if name not in bundle.names]
        if missing:
            return f'expected the DNS names {missing} in it'
        shown = identities.read_identity(bundle.names, domain)
        return identities.find_fault(shown, own.role, own.name)

    return check


def make_own_check(
    settings: settings_module.Settings,
) -> Callable[[certificates.Bundle], str]:
    """Make that function for the process that has these settings."""
    own = identities.Identity(settings.role, settings.name)
    return make_check(own, settings.tls.domain)


def build(settings: settings_module.Settings) -> Transport:
    """Build what settings ask for.

    :raises ValueError: when the files cannot be used
    """
    tls = settings.tls
    if tls is None:
        return PLAIN
    files = certificates.Files.open(
        list_paths(tls), make_own_check(settings), tls.reload
    )
    return Mutual(files, tls.domain)
