"""Non-blocking TLS for the sockets that an HTTP server accepts.

waitress calls ``recv`` and ``send`` of a non-blocking socket from its loop
and from its worker threads. The socket of this module does the TLS
handshake within these calls and raises BlockingIOError where TLS needs more
from the network, so no thread waits for a slow or silent client.
"""

import contextlib
import errno
import os
import socket
import ssl
import threading

from absl import logging

from dunlintide_adapters import certificates

__all__ = [
    'RECORD_BYTES',
    'Wrapper',
]

# Largest content of a TLS record. Reads must ask for at least this size: data
# left in the TLS library would not make the socket readable again. Writes are
# limited to it, since a retried write must begin with the same record.
RECORD_BYTES = 16384

_WOULD_BLOCK = BlockingIOError(errno.EWOULDBLOCK, os.strerror(errno.EAGAIN))
_WANT_IO_ERRORS = (ssl.SSLWantReadError, ssl.SSLWantWriteError)


class _Socket(ssl.SSLSocket):
    """Server side of one TLS connection; thread-safe."""

    lock: threading.Lock
    close_notified = False

    def recv(self, size: int, flags: int = 0) -> bytes:
        if self.close_notified:
            # The caller only discards this data, so it is not decrypted.
            return socket.socket.recv(self, size, flags)
        with self.lock:
            try:
                return super().recv(size, flags)
            except _WANT_IO_ERRORS:
                raise _WOULD_BLOCK from None

    def send(self, data: bytes, flags: int = 0) -> int:
        with self.lock:
            try:
                return super().send(data[:RECORD_BYTES], flags)
            except _WANT_IO_ERRORS:
                raise _WOULD_BLOCK from None

    def _send_close_notify(self) -> None:
        """Send a TLS close_notify once, without waiting for the answer."""
        if not self.close_notified:
            self.close_notified = True
            with contextlib.suppress(OSError, ValueError):
                self.unwrap()

    def shutdown(self, how: int) -> None:
        with self.lock:
            self._send_close_notify()
            socket.socket.shutdown(self, how)

    def close(self) -> None:
        with self.lock:
            self._send_close_notify()
            super().close()


class Wrapper:
    """Adds TLS to accepted sockets, with the newest certificate."""

    def __init__(
        self, files: certificates.Files, paths: certificates.Paths
    ) -> None:
        """Load the files.

        :raises OSError: when they cannot be loaded
        """
        self._files = files
        self._paths = paths
        self._bundle = files.get()
        self._context = self._load()

    @classmethod
    def from_paths(
        cls, paths: certificates.Paths, check_seconds: float
    ) -> 'Wrapper':
        """Read the files.

        :param check_seconds: minimum time between checks for new files
        :raises ValueError: when they cannot be used
        """
        return cls(
            certificates.Files.open(paths, check_seconds=check_seconds), paths
        )

    def _load(self) -> ssl.SSLContext:
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.set_alpn_protocols(['http/1.1'])
        context.load_cert_chain(self._paths.certificate, self._paths.key)
        context.sslsocket_class = _Socket
        return context

    def _reload_if_changed(self) -> None:
        bundle = self._files.get()
        if bundle is self._bundle:
            return
        try:
            self._context = self._load()
            self._bundle = bundle
        except OSError as error:
            # The files were replaced again after they were read; the next
            # connection tries to load them again.
            logging.warning(
                'tls: cannot load new certificate files: %s', error
            )

    def wrap(self, accepted: socket.socket) -> ssl.SSLSocket:
        """Return a TLS socket that takes over an accepted one.

        :raises OSError: when the client has disconnected
        """
        self._reload_if_changed()
        wrapped = self._context.wrap_socket(
            accepted, server_side=True, do_handshake_on_connect=False
        )
        wrapped.lock = threading.Lock()
        return wrapped
