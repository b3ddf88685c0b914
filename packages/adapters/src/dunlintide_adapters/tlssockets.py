"""TLS on the sockets that an HTTP server accepts, without blocking.

waitress moves bytes by ``recv`` and ``send`` of a socket that does not
block, from its loop and from its worker threads. The socket here does the
handshake within these calls, and says that it would block where TLS needs
more from the network, so no thread waits for a slow or silent client.
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

# Largest content of a TLS record. Reads must ask for at least so much: what
# stayed within the library would not make the socket readable again. Writes
# give no more, since one that is tried again must begin with the same record.
RECORD_BYTES = 16384

_WOULD_BLOCK = BlockingIOError(errno.EWOULDBLOCK, os.strerror(errno.EAGAIN))
_WANT_IO_ERRORS = (ssl.SSLWantReadError, ssl.SSLWantWriteError)


class _Socket(ssl.SSLSocket):
    """Server side of one connection; safe for several threads."""

    lock: threading.Lock
    close_notified = False

    def recv(self, size: int, flags: int = 0) -> bytes:
        if self.close_notified:
            # Only taken to be thrown away, so it need not be deciphered.
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
        """Tell the client that the end is meant; it need not answer."""
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
    """Puts TLS on accepted sockets, with the newest certificate."""

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

        :param seconds: shortest time between two looks at them
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
            # Replaced again since they were read; looked at once more.
            logging.warning('tls: files not loaded: %s', error)

    def wrap(self, accepted: socket.socket) -> ssl.SSLSocket:
        """Put TLS on a socket; takes it over.

        :raises OSError: when the client has gone
        """
        self._reload_if_changed()
        wrapped = self._context.wrap_socket(
            accepted, server_side=True, do_handshake_on_connect=False
        )
        wrapped.lock = threading.Lock()
        return wrapped
