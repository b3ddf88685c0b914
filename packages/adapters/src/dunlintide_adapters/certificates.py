"""Certificate, key and authorities of a process, reloaded on change.

The files are checked when a connection is made, the only time at which they
are needed, instead of being watched. Files that do not match each other, for
example during a replacement, are logged and the previous contents kept.
"""

import datetime
import importlib
import pathlib
import threading
import time
from typing import Callable

from absl import logging
import attrs
import result

__all__ = [
    'Bundle',
    'Fault',
    'Files',
    'Paths',
    'read',
]

_READER = 'dunlintide_adapters.pem'

Signature = tuple[tuple[int, int, int], ...]


@attrs.frozen
class Paths:
    """Paths of the PEM files.

    :ivar certificate: certificate of the process, with its intermediates
    :ivar authorities: root certificates to verify other processes with;
        None if no peer certificates are requested
    """

    certificate: pathlib.Path
    key: pathlib.Path
    authorities: pathlib.Path | None = None


@attrs.frozen
class Bundle:
    """Contents of the files, checked to match each other.

    :ivar names: DNS names of the certificate
    """

    certificate: bytes
    key: bytes = attrs.field(repr=False)
    authorities: bytes
    names: tuple[str, ...]
    expires: datetime.datetime


@attrs.frozen
class Fault:
    """Why the files cannot be used.

    :ivar field: field of ``Paths`` that names the invalid file
    """

    field: str
    detail: str


def read(paths: Paths) -> result.Result[Bundle, Fault]:
    """Read the files and check that they can be used together."""
    # Imported on first use: the cryptography library takes 8 MB, which a
    # process without TLS does not need.
    return importlib.import_module(_READER).read(paths)


def _get_signature(paths: Paths) -> Signature | None:
    """Return a value that changes with the files; None if one is missing."""
    listed = (paths.certificate, paths.key, paths.authorities)
    try:
        found = [path.stat() for path in listed if path is not None]
    except OSError:
        return None
    return tuple((one.st_ino, one.st_size, one.st_mtime_ns) for one in found)


class Files:
    """Keeps the newest valid contents of the files; thread-safe.

    :ivar reloads: number of successful reloads
    :ivar failures: number of reloads with invalid files
    """

    def __init__(
        self,
        paths: Paths,
        bundle: Bundle,
        signature: Signature | None,
        check: Callable[[Bundle], str],
        check_seconds: float,
    ) -> None:
        """Store contents already read; use ``open`` instead."""
        self.reloads = 0
        self.failures = 0
        self._paths = paths
        self._bundle = bundle
        self._signature = signature
        self._check = check
        self._check_seconds = check_seconds
        self._checked_at = time.monotonic()
        self._lock = threading.Lock()

    @classmethod
    def open(
        cls,
        paths: Paths,
        check: Callable[[Bundle], str] = lambda bundle: '',
        check_seconds: float = 1.0,
    ) -> 'Files':
        """Read the files.

        :param check: returns why contents are unusable, empty if usable
        :param check_seconds: minimum time between checks for new files
        :raises ValueError: when they cannot be used
        """
        signature = _get_signature(paths)
        found = read(paths)
        if isinstance(found, result.Err):
            fault = found.err_value
            raise ValueError(f'tls: {fault.field}: {fault.detail}')
        fault = check(found.ok_value)
        if fault:
            raise ValueError(f'tls: certificate: {fault}')
        return cls(paths, found.ok_value, signature, check, check_seconds)

    def get(self) -> Bundle:
        """Return the newest valid contents; may read the files."""
        with self._lock:
            now = time.monotonic()
            if now - self._checked_at >= self._check_seconds:
                self._checked_at = now
                self._reload_if_changed()
            return self._bundle

    def _reload_if_changed(self) -> None:
        signature = _get_signature(self._paths)
        if signature == self._signature:
            return
        self._signature = signature
        found = read(self._paths)
        if isinstance(found, result.Err):
            self._reject(found.err_value)
            return
        fault = self._check(found.ok_value)
        if fault:
            self._reject(Fault('certificate', fault))
            return
        if found.ok_value != self._bundle:
            self._bundle = found.ok_value
            self.reloads += 1
            logging.info(
                'tls: certificate reloaded, valid until %s',
                self._bundle.expires,
            )

    def _reject(self, fault: Fault) -> None:
        self.failures += 1
        logging.error(
            'tls: new files refused, keeping the previous ones: %s: %s',
            fault.field,
            fault.detail,
        )
