"""Connections between processes: plain, or mutual TLS.

With TLS each side shows a certificate of the fleet's authorities, and
what it says of itself must agree with that certificate. Renewed files
serve all connections made from then on; open ones go on.
"""

import datetime
import functools
import pathlib
from typing import Any, Callable, Iterable, Iterator, Protocol

import attrs
import grpc
from prometheus_client import core as metrics_core

from dunlintide_adapters import certificates
from dunlintide_adapters import guards
from dunlintide_core import identities
from dunlintide_core import settings as settings_module

__all__ = [
    'PLAIN',
    'Collector',
    'FilesState',
    'MutualTls',
    'Plain',
    'Transport',
    'build',
    'list_paths',
    'make_identity_check',
    'make_settings_check',
]

Options = Iterable[tuple[str, Any]]

_NAMES = 'x509_subject_alternative_name'
_TARGET = 'grpc.ssl_target_name_override'


@attrs.frozen
class FilesState:
    """How the files of a transport fare.

    :ivar expires: end of the certificate in use
    :ivar reloads: times that new files were taken up
    :ivar failures: times that new files were refused
    """

    expires: datetime.datetime
    reloads: int
    failures: int


class Transport(Protocol):
    """How a process connects to others of the fleet."""

    refusals: guards.Refusals

    def listen(self, server: grpc.aio.Server, address: str) -> int:
        """Bind an address and return the port."""

    def dial(self, address: str, options: Options) -> grpc.Channel:
        """Open a channel to a process of any role."""

    def dial_async(
        self, address: str, role: str, options: Options
    ) -> grpc.aio.Channel:
        """Open a channel to a process of a role, on the event loop."""

    def make_accepted_guard(
        self, context: grpc.ServicerContext
    ) -> guards.Guard:
        """Make the guard of a link that was accepted."""

    def make_dialled_guard(self, role: str) -> guards.Guard:
        """Make the guard of a link to a process of a role."""

    def check_caller(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Say why a call is refused; empty when it may go on.

        :param role: role that the caller needs or gives, empty for any
        :param name: name that it gives, empty when it gives none
        """

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""

    def read_files(self) -> FilesState | None:
        """Return how the files fare, None without TLS."""


class Plain:
    """Connections without TLS; nobody can be told from another."""

    def __init__(self) -> None:
        self.refusals = guards.Refusals()

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

    def make_accepted_guard(
        self, context: grpc.ServicerContext
    ) -> guards.Guard:
        """Make a guard that allows everything."""
        return guards.Guard()

    def make_dialled_guard(self, role: str) -> guards.Guard:
        """Make a guard that allows everything."""
        return guards.Guard()

    def check_caller(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Allow any call."""
        return ''

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""
        return {'mutual': False}

    def read_files(self) -> FilesState | None:
        """Return None, as there are no files."""


PLAIN = Plain()


def _find_role_fault(expected: str, role: str, name: str) -> str:
    if expected in ('', role):
        return ''
    return f'dialled as {expected}, it says {role} {name!r}'


class MutualTls:
    """Mutual TLS by certificates of the fleet's own authorities."""

    def __init__(self, files: certificates.Files, domain: str) -> None:
        """Use files; see ``identities`` for the names in certificates."""
        self.refusals = guards.Refusals()
        self._files = files
        self._domain = domain
        self._server_bundle: certificates.Bundle | None = None

    def _configure(
        self, bundle: certificates.Bundle
    ) -> grpc.ServerCertificateConfiguration:
        self._server_bundle = bundle
        return grpc.ssl_server_certificate_configuration(
            [(bundle.key, bundle.certificate)],
            root_certificates=bundle.authorities,
        )

    def _get_changed_configuration(
        self,
    ) -> grpc.ServerCertificateConfiguration | None:
        # Called by gRPC at each handshake; None keeps what it has.
        bundle = self._files.get()
        return (
            None if bundle is self._server_bundle else self._configure(bundle)
        )

    def listen(self, server: grpc.aio.Server, address: str) -> int:
        """Bind an address and return the port."""
        credentials = grpc.dynamic_ssl_server_credentials(
            self._configure(self._files.get()),
            self._get_changed_configuration,
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
        all_options = (*options, (_TARGET, self._domain))
        return grpc.secure_channel(
            address, self._make_credentials(), options=all_options
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
        dns_names = context.auth_context().get(_NAMES, ())
        names = [name.decode('ascii', 'replace') for name in dns_names]
        return identities.read_identity(names, self._domain)

    def make_accepted_guard(
        self, context: grpc.ServicerContext
    ) -> guards.Guard:
        """Make the guard of a link that was accepted."""
        find_mismatch = functools.partial(
            identities.find_mismatch, self._identify(context)
        )
        return guards.Guard(find_mismatch, self.refusals, waits_for_hello=True)

    def make_dialled_guard(self, role: str) -> guards.Guard:
        """Make the guard of a link to a process of a role."""
        find_mismatch = functools.partial(_find_role_fault, role)
        return guards.Guard(find_mismatch, self.refusals)

    def check_caller(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Say why a call is refused; empty when it may go on."""
        identity = self._identify(context)
        if identity is not None:
            role = role or identity.role
            name = name or identity.name
        fault = identities.find_mismatch(identity, role, name)
        if fault:
            self.refusals.add('identity', f'a call: {fault}')
        return fault

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump, without keys."""
        state = self.read_files()
        return {
            'mutual': True,
            'expires': state.expires.isoformat(),
            'reloads': state.reloads,
            'reload_failures': state.failures,
            'refused': self.refusals.get_counts(),
        }

    def read_files(self) -> FilesState | None:
        """Return how the files fare; looks at them."""
        bundle = self._files.get()
        return FilesState(
            bundle.expires, self._files.reloads, self._files.failures
        )


class Collector:
    """Gives the metrics of a transport to a registry."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield them in the form of the metrics library."""
        refused = metrics_core.CounterMetricFamily(
            'dunlintide_tls_refused',
            'Connections, calls and frames refused, by reason',
            labels=['reason'],
        )
        counts = self._transport.refusals.get_counts()
        for reason, number in counts.items():
            refused.add_metric([reason], number)
        yield refused
        state = self._transport.read_files()
        if state is None:
            return
        yield metrics_core.GaugeMetricFamily(
            'dunlintide_tls_expiry_timestamp_seconds',
            'End of the certificate in use',
            value=state.expires.timestamp(),
        )
        yield metrics_core.CounterMetricFamily(
            'dunlintide_tls_reload_failures',
            'Times that new files were refused',
            value=state.failures,
        )


def list_paths(tls: settings_module.Tls) -> certificates.Paths:
    """List the files that settings name."""
    return certificates.Paths(
        pathlib.Path(tls.certificate),
        pathlib.Path(tls.key),
        pathlib.Path(tls.authorities),
    )


def make_identity_check(
    identity: identities.Identity, domain: str
) -> Callable[[certificates.Bundle], str]:
    """Make a function that says why a certificate is not a process's."""

    def check(bundle: certificates.Bundle) -> str:
        needed = identities.list_names(identity, domain)
        missing = [name for name in needed if name not in bundle.names]
        if missing:
            return f'expected the DNS names {missing} in it'
        found = identities.read_identity(bundle.names, domain)
        return identities.find_mismatch(found, identity.role, identity.name)

    return check


def make_settings_check(
    settings: settings_module.Settings,
) -> Callable[[certificates.Bundle], str]:
    """Make that function for the process that has these settings."""
    identity = identities.Identity(settings.role, settings.name)
    return make_identity_check(identity, settings.tls.domain)


def build(settings: settings_module.Settings) -> Transport:
    """Build what settings ask for.

    :raises ValueError: when the files cannot be used
    """
    tls = settings.tls
    if tls is None:
        return PLAIN
    files = certificates.Files.open(
        list_paths(tls), make_settings_check(settings), tls.reload
    )
    return MutualTls(files, tls.domain)
