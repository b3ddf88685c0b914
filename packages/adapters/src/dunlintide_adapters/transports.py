"""Connections between processes: plain, or mutual TLS.

With TLS each side presents a certificate issued by the fleet's authorities,
and the role and name that it claims must match that certificate. Renewed
files are used for new connections; open ones stay unchanged.
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
    """State of the certificate files of a transport.

    :ivar expires: expiry time of the certificate in use
    :ivar reloads: number of successful reloads
    :ivar failures: number of reloads with invalid files
    """

    expires: datetime.datetime
    reloads: int
    failures: int


class Transport(Protocol):
    """How a process connects to other processes of the fleet."""

    refusals: guards.Refusals

    def listen(self, server: grpc.aio.Server, address: str) -> int:
        """Bind an address and return the port."""

    def dial(self, address: str, options: Options) -> grpc.Channel:
        """Open a channel to a process of any role."""

    def dial_async(
        self, address: str, role: str, options: Options
    ) -> grpc.aio.Channel:
        """Open a channel on the event loop.

        :param role: required role of the other process, empty for any
        """

    def make_accepted_guard(
        self, context: grpc.ServicerContext
    ) -> guards.Guard:
        """Make the guard of an accepted link."""

    def make_dialled_guard(self, role: str) -> guards.Guard:
        """Make the guard of a link that this process opened.

        :param role: required role of the other process, empty for any
        """

    def check_caller(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Check the certificate of a caller.

        :param role: role that is required or claimed, empty for any
        :param name: name that the caller claims, empty for none
        :returns: why the call is refused, empty if it is allowed
        """

    def describe(self) -> dict[str, Any]:
        """Return the state for a dump."""

    def read_files(self) -> FilesState | None:
        """Return the state of the files, None without TLS."""


class Plain:
    """Connections without TLS, so peers are not authenticated."""

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


def _find_role_mismatch(expected: str, role: str, name: str) -> str:
    if expected in ('', role):
        return ''
    return f'expected a peer of role {expected}, got {role} {name!r}'


class MutualTls:
    """Mutual TLS by certificates of the fleet's own authorities."""

    def __init__(self, files: certificates.Files, domain: str) -> None:
        """Create a transport.

        :param files: certificate files of this process
        :param domain: domain of the DNS names in certificates; see
            ``identities``
        """
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
        # gRPC calls this at each handshake; None keeps the configuration.
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
        """Open a channel on the event loop.

        :param role: required role of the other process, empty for any
        """
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
        """Make the guard of an accepted link."""
        find_mismatch = functools.partial(
            identities.find_mismatch, self._identify(context)
        )
        return guards.Guard(find_mismatch, self.refusals, waits_for_hello=True)

    def make_dialled_guard(self, role: str) -> guards.Guard:
        """Make the guard of a link that this process opened.

        :param role: required role of the other process, empty for any
        """
        find_mismatch = functools.partial(_find_role_mismatch, role)
        return guards.Guard(find_mismatch, self.refusals)

    def check_caller(
        self, context: grpc.ServicerContext, role: str, name: str = ''
    ) -> str:
        """Return why a call is refused, empty if it is allowed."""
        identity = self._identify(context)
        if identity is not None:
            role = role or identity.role
            name = name or identity.name
        mismatch = identities.find_mismatch(identity, role, name)
        if mismatch:
            self.refusals.add('identity', f'a call: {mismatch}')
        return mismatch

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
        """Return the state of the files; may reload them."""
        bundle = self._files.get()
        return FilesState(
            bundle.expires, self._files.reloads, self._files.failures
        )


class Collector:
    """Metrics collector of a transport."""

    def __init__(self, transport: Transport) -> None:
        self._transport = transport

    def collect(self) -> Iterator[metrics_core.Metric]:
        """Yield the metric families."""
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
    """Return the paths of the TLS files named in the settings."""
    return certificates.Paths(
        pathlib.Path(tls.certificate),
        pathlib.Path(tls.key),
        pathlib.Path(tls.authorities),
    )


def make_identity_check(
    identity: identities.Identity, domain: str
) -> Callable[[certificates.Bundle], str]:
    """Make a function that checks whether a certificate fits a process.

    The function returns why it does not, empty if it does.
    """

    def check(bundle: certificates.Bundle) -> str:
        needed = identities.list_names(identity, domain)
        missing = [name for name in needed if name not in bundle.names]
        if missing:
            return f'expected the DNS names {missing} in the certificate'
        found = identities.read_identity(bundle.names, domain)
        return identities.find_mismatch(found, identity.role, identity.name)

    return check


def make_settings_check(
    settings: settings_module.Settings,
) -> Callable[[certificates.Bundle], str]:
    """Make the identity check for the process with these settings."""
    identity = identities.Identity(settings.role, settings.name)
    return make_identity_check(identity, settings.tls.domain)


def build(settings: settings_module.Settings) -> Transport:
    """Build the transport that the settings specify.

    :raises ValueError: when the files cannot be used
    """
    tls = settings.tls
    if tls is None:
        return PLAIN
    files = certificates.Files.open(
        list_paths(tls), make_settings_check(settings), tls.reload
    )
    return MutualTls(files, tls.domain)
