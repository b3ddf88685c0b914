"""Reading of PEM certificates and keys, checked against each other."""

import datetime
from typing import Callable

from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography import x509
import result

from dunlintide_adapters import certificates

__all__ = ['read']

_PARSE_ERRORS = (
    ValueError,
    TypeError,
    exceptions.UnsupportedAlgorithm,
    x509.InvalidVersion,
)


class _InvalidFile(Exception):
    """A file cannot be used; carries the reason."""

    def __init__(self, field: str, detail: str) -> None:
        super().__init__(detail)
        self.fault = certificates.Fault(field, detail)


def _load(
    paths: certificates.Paths, field: str, expected: str, parse: Callable
) -> tuple:
    """Return the bytes of a file and its parsed content."""
    path = getattr(paths, field)
    try:
        data = path.read_bytes()
    except OSError as error:
        detail = f'cannot read {str(path)!r}: {error.strerror}'
        raise _InvalidFile(field, detail) from None
    try:
        return data, parse(data)
    except _PARSE_ERRORS:
        # The error text of the library may quote its input, such as a key,
        # so it is not included.
        detail = f'expected {expected} in PEM in {str(path)!r}'
        raise _InvalidFile(field, detail) from None


def _load_key(data: bytes):
    return serialization.load_pem_private_key(data, password=None)


def _encode_public_key(public_key) -> bytes:
    return public_key.public_bytes(
        serialization.Encoding.DER,
        serialization.PublicFormat.SubjectPublicKeyInfo,
    )


def _list_names(certificate: x509.Certificate) -> tuple[str, ...]:
    kind = x509.SubjectAlternativeName
    try:
        found = certificate.extensions.get_extension_for_class(kind).value
    except (x509.ExtensionNotFound, ValueError):
        return ()
    return tuple(found.get_values_for_type(x509.DNSName))


def _check_dates(certificate: x509.Certificate) -> None:
    now = datetime.datetime.now(datetime.timezone.utc)
    begin = certificate.not_valid_before_utc
    end = certificate.not_valid_after_utc
    detail = ''
    if now >= end:
        detail = f'expected a valid certificate, got one that expired at {end}'
    elif now < begin:
        detail = f'expected a valid certificate, got one valid from {begin}'
    if detail:
        raise _InvalidFile('certificate', detail)


def _read(paths: certificates.Paths) -> certificates.Bundle:
    parse = x509.load_pem_x509_certificates
    chain, found = _load(paths, 'certificate', 'a certificate', parse)
    leaf = found[0]
    _check_dates(leaf)
    expected = 'a private key without password'
    key, private = _load(paths, 'key', expected, _load_key)
    if _encode_public_key(private.public_key()) != _encode_public_key(
        leaf.public_key()
    ):
        detail = f'{str(paths.key)!r} is not the certificate\'s key'
        raise _InvalidFile('key', detail)
    authorities = b''
    if paths.authorities is not None:
        authorities, _ = _load(paths, 'authorities', 'certificates', parse)
    return certificates.Bundle(
        chain,
        key,
        authorities,
        _list_names(leaf),
        leaf.not_valid_after_utc,
    )


def read(
    paths: certificates.Paths,
) -> result.Result[certificates.Bundle, certificates.Fault]:
    """Read the files and check that they can be used together."""
    try:
        return result.Ok(_read(paths))
    except _InvalidFile as error:
        return result.Err(error.fault)
