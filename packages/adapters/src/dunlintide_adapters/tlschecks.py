"""Validation of the TLS files named in the settings, before start."""

import pathlib

import result

from dunlintide_adapters import certificates
from dunlintide_adapters import tlssockets
from dunlintide_adapters import transports
from dunlintide_core import settings as settings_module

__all__ = [
    'build_server_wrapper',
    'find_faults',
]

_Faults = list[tuple[tuple[str, ...], str]]


def _list_server_paths(
    tls: settings_module.ServerTls,
) -> certificates.Paths:
    return certificates.Paths(
        pathlib.Path(tls.certificate), pathlib.Path(tls.key)
    )


def build_server_wrapper(
    tls: settings_module.ServerTls | None,
) -> tlssockets.Wrapper | None:
    """Build the TLS wrapper of a port; None for plain TCP.

    :raises ValueError: when the files cannot be used
    """
    if tls is None:
        return None
    return tlssockets.Wrapper.from_paths(_list_server_paths(tls), tls.reload)


def _list_fleet_faults(settings: settings_module.Settings) -> _Faults:
    found = certificates.read(transports.list_paths(settings.tls))
    if isinstance(found, result.Err):
        fault = found.err_value
        return [(('tls', fault.field), fault.detail)]
    fault = transports.make_settings_check(settings)(found.ok_value)
    return [(('tls', 'certificate'), fault)] if fault else []


def find_faults(settings: settings_module.Settings) -> _Faults:
    """List invalid TLS files as pairs of settings path and error text."""
    faults = []
    if settings.tls is not None:
        faults += _list_fleet_faults(settings)
    for section in ('listen_tls', 'admin_tls'):
        tls = getattr(settings, section)
        if tls is None:
            continue
        found = certificates.read(_list_server_paths(tls))
        if isinstance(found, result.Err):
            fault = found.err_value
            faults.append(((section, fault.field), fault.detail))
    return faults
