"""Certificate, key and authorities of a process, read again when changed.

They are looked at when a connection is made, not watched: only then are
they needed. Files that do not fit together, as in the midst of a
replacement, are logged and the former ones kept.
"""

import datetime
import pathlib
import threading
import time
from typing import Callable

from absl import logging
import attrs
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography import x509
import result

__all__ = [
    'Bundle',
    'Fault',
    'Files',
    'Paths',
    'read',
]

Signature = tuple[tuple[int, int, int], ...]


@attrs.frozen
class Paths:
    """Where the files in PEM are.

    :ivar certificate: the process's, with what lies between it and a root
    :ivar authorities: roots that other processes' certificates go back to;
        None where nobody else's are asked for
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authorities: pathlib.Path | None = None


@attrs.frozen
class Bundle:
    """Contents of the files, which fit together.

    :ivar names: DNS names of the certificate
    """

    certificate: bytes
    key: bytes = attrs.field(repr=False)
    authorities: bytes
    names: tuple[str, ...]
    expires: datetime.datetime


@attrs.frozen
class Fault:
    """Why files cannot be used.

    :ivar field: the field of ``Paths`` at fault
    """

    field: str
    detail: str


class _Unusable(Exception):
    pass


def _load(path: pathlib.Path, what: str, parse: Callable) -> tuple:
    try:
        data = path.read_bytes()
    except OSError as error:
        raise _Unusable(f'cannot read {str(path)!r}: {error.strerror}')
    try:
        return data, parse(data)
    except (ValueError, TypeError, exceptions.UnsupportedAlgorithm):
        # The library's words may quote what it read, a key among it.
        raise _Unusable(f'expected {what} in PEM in {str(path)!r}')


def _load_key(data: bytes):
    return serialization.load_pem_private_key(data, password=None)


def _encode(public_key) -> bytes:
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


def _check_dates(certificate: x509.Certificate, now: datetime.datetime):
    if now >= certificate.not_valid_after_utc:
        ended = certificate.not_valid_after_utc
        raise _Unusable(f'expected a valid one, got one expired at {ended}')
    if now < certificate.not_valid_before_utc:
        begin = certificate.not_valid_before_utc
        raise _Unusable(f'expected a valid one, got one valid from {begin}')


def _read(paths: Paths, at: list[str]) -> Bundle:
    at[0] = 'certificate'
    parse = x509.load_pem_x509_certificates
    chain, found = _load(paths.certificate, 'a certificate', parse)
    leaf = found[0]
    _check_dates(leaf, datetime.datetime.now(datetime.timezone.utc))
    at[0] = 'key'
    key, private = _load(
        paths.key, 'a private key without password', _load_key
    )
    if _encode(private.public_key()) != _encode(leaf.public_key()):
        raise _Unusable(f'{str(paths.key)!r} is not the certificate\'s key')
    at[0] = 'authorities'
    authorities = b''
    if paths.authorities is not None:
        authorities, _ = _load(paths.authorities, 'certificates', parse)
    names = _list_names(leaf)
    return Bundle(chain, key, authorities, names, leaf.not_valid_after_utc)


def read(paths: Paths) -> result.Result[Bundle, Fault]:
    """Read the files and check that they can be used together."""
    at = ['']
    try:
        return result.Ok(_read(paths, at))
    except _Unusable as error:
        return result.Err(Fault(at[0], str(error)))


def _sign(paths: Paths) -> Signature | None:
    """Tell files apart from former ones; None while one is missing."""
    listed = (paths.certificate, paths.key, paths.authorities)
    try:
        found = [path.stat() for path in listed if path is not None]
    except OSError:
        return None
    return tuple((one.st_ino, one.st_size, one.st_mtime_ns) for one in found)


class Files:
    """The newest usable contents of the files; thread-safe.

    :ivar reloads: times that new contents were taken up
    :ivar failures: times that new contents were refused
    """

    def __init__(
        self,
        paths: Paths,
        first: Bundle,
        signature: Signature | None,
        check: Callable[[Bundle], str],
        seconds: float,
    ) -> None:
        """Hold what was read; use ``open`` instead."""
        self.reloads = 0
        self.failures = 0
        self._paths = paths
        self._bundle = first
        self._signature = signature
        self._check = check
        self._seconds = seconds
        self._looked = time.monotonic()
        self._lock = threading.Lock()

    @classmethod
    def open(
        cls,
        paths: Paths,
        check: Callable[[Bundle], str] = lambda bundle: '',
        seconds: float = 1.0,
    ) -> 'Files':
        """Read the files.

        :param check: says why contents are not fit for use, else nothing
        :param seconds: shortest time between two looks at the files
        :raises ValueError: when they cannot be used
        """
        signature = _sign(paths)
        found = read(paths)
        if isinstance(found, result.Err):
            fault = found.err_value
            raise ValueError(f'tls: {fault.field}: {fault.detail}')
        fault = check(found.ok_value)
        if fault:
            raise ValueError(f'tls: certificate: {fault}')
        return cls(paths, found.ok_value, signature, check, seconds)

    def get(self) -> Bundle:
        """Return the newest usable contents; may read the files."""
        with self._lock:
            now = time.monotonic()
            if now - self._looked >= self._seconds:
                self._looked = now
                self._look()
            return self._bundle

    def _look(self) -> None:
        signature = _sign(self._paths)
        if signature == self._signature:
            return
        self._signature = signature
        found = read(self._paths)
        if isinstance(found, result.Err):
            self._keep(found.err_value)
            return
        fault = self._check(found.ok_value)
        if fault:
            self._keep(Fault('certificate', fault))
            return
        if found.ok_value != self._bundle:
            self._bundle = found.ok_value
            self.reloads += 1
            logging.info('tls: renewed, valid to %s', self._bundle.expires)

    def _keep(self, fault: Fault) -> None:
        self.failures += 1
        logging.error(
            'tls: new files refused, the former kept: %s: %s',
            fault.field,
            fault.detail,
        )
