"""Connections of the HTTP server: waitress channels with some changes.

Chunks of an answer are written to the socket without buffering where
possible. A caller that reads its answer too slowly is disconnected at a
deadline. A refused caller gets time to read the error page. While the server
stops, each connection is closed behind its answer.
"""

import socket
import time
from typing import Callable

import waitress.channel
import waitress.task

from dunlintide_adapters import httppages
from dunlintide_adapters import tlssockets

__all__ = [
    'SET_SEND_DEADLINE',
    'SEND_NOW',
    'Channel',
    'make_channel_class',
]

# Environment key of a function that takes the monotonic time in seconds
# after which a caller that blocks its answer by not reading is disconnected.
SET_SEND_DEADLINE = 'dunlintide.end_by'
# Environment key of a function that sends a chunk of the body from any
# thread while the application thread yields none. It never blocks: it sends
# nothing and returns False while earlier output is queued, or before the
# head has been sent.
SEND_NOW = 'dunlintide.send_now'

_DISCARD_BYTES = 64 << 10
# Interval at which a thread blocked by its caller checks the deadline.
_STALL_CHECK_SECONDS = 0.25
# Time for which further bytes of a refused caller are read and discarded.
_LINGER_SECONDS = 2.0


class _ErrorTask(waitress.task.ErrorTask):
    """Answers a request that waitress itself rejects as invalid."""

    def execute(self) -> None:
        error = self.request.error
        page = self.channel.server.render_error(error.code, error.reason)
        self.status = httppages.build_status_line(error.code)
        self.response_headers.extend(page.headers)
        self.set_close_on_finish()
        self.content_length = len(page.body)
        self.write(page.body)
        self.channel.should_linger = True


class _Task(waitress.task.WSGITask):
    """Runs the application, which can set a deadline for its answer."""

    def get_environment(self) -> dict:
        if self.environ is None:
            self.channel.send_deadline = None
            environ = super().get_environment()
            environ[SET_SEND_DEADLINE] = self._set_send_deadline
            environ[SEND_NOW] = self._send_now
        return self.environ

    def build_response_header(self) -> bytes:
        if self.channel.server.is_draining:
            self.set_close_on_finish()
        return super().build_response_header()

    def _set_send_deadline(self, moment: float) -> None:
        self.channel.send_deadline = moment

    def _send_now(self, data: bytes) -> bool:
        if not self.wrote_header or self.content_length is not None:
            return False
        if self.chunked_response:
            data = b'%X\r\n%b\r\n' % (len(data), data)
        return self.channel.send_now(data)


class Channel(waitress.channel.HTTPChannel):
    """Connection with the error pages of the server's ``render_error``.

    Data is written directly to the socket when no earlier output is queued;
    waitress would copy each chunk through a buffer.
    """

    error_task_class = _ErrorTask
    task_class = _Task
    send_deadline: float | None = None
    # Whether to linger instead of closing, and the time until which the
    # channel lingers.
    should_linger = False
    linger_end: float | None = None

    def handle_close(self) -> None:
        if self.should_linger and self.connected:
            self.should_linger = False
            self._linger()
        else:
            super().handle_close()

    def _linger(self) -> None:
        """Shut down writing, but read and discard input for a while.

        A caller that writes to a closed connection gets a reset, which may
        keep it from reading why it was refused.
        """
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            super().handle_close()
            return
        self.will_close = False
        self.close_when_flushed = False
        self.linger_end = time.time() + _LINGER_SECONDS

    def _discard_input(self) -> None:
        try:
            if time.time() < self.linger_end and self.recv(_DISCARD_BYTES):
                return
        except BlockingIOError:
            return
        except OSError:
            pass
        # At end of file ``recv`` has already closed the channel.
        if self.connected:
            self.handle_close()

    def is_linger_over(self, now: float) -> bool:
        """Return whether the time for lingering has passed."""
        return self.linger_end is not None and now > self.linger_end

    def handle_read(self) -> None:
        if self.linger_end is not None:
            self._discard_input()
            return
        # Replaces the method of waitress, which closes the connection on any
        # OSError, also one that says the read would block.
        try:
            data = self.recv(self.adj.recv_bytes)
        except BlockingIOError:
            # Only a part of a TLS handshake or record has arrived.
            return
        except OSError:
            self.handle_close()
            return
        if data:
            self.last_activity = time.time()
            self.received(data)
        else:
            self.connected = False

    def send(self, data: bytes, do_close: bool = True) -> int:
        # Worker threads may flush output after the loop has closed the
        # socket and set it to None.
        try:
            return super().send(data, do_close)
        except AttributeError:
            if self.socket is not None:
                raise
            return 0

    def _flush_outbufs_below_high_watermark(self) -> None:
        # Replaces the method of waitress, which waits without a deadline.
        if self.total_outbufs_len <= self.adj.outbuf_high_watermark:
            return
        with self.outbuf_lock:
            _, failed = self._flush_exception(self._flush_some, do_close=False)
            while self.connected and (failed or self._is_full()):
                self._check_send_deadline()
                self.server.pull_trigger()
                self.outbuf_lock.wait(_STALL_CHECK_SECONDS)

    def _is_full(self) -> bool:
        return self.total_outbufs_len > self.adj.outbuf_high_watermark

    def _check_send_deadline(self) -> None:
        if self.send_deadline is None or time.monotonic() < self.send_deadline:
            return
        self.will_close = True
        self.server.pull_trigger()
        raise waitress.channel.ClientDisconnected

    def write_soon(self, data: bytes) -> int:
        if self.total_outbufs_len or not data or not self.connected:
            return super().write_soon(data)
        size = len(data)
        with self.outbuf_lock:
            # The loop may have closed the channel since the check above.
            if self.connected and not self.total_outbufs_len:
                data = data[self._send_now(data) :]
            if data and self.connected:
                super().write_soon(data)
        return size

    def send_now(self, data: bytes) -> bool:
        """Send without blocking; False while earlier output is queued."""
        if not self.outbuf_lock.acquire(blocking=False):
            return False
        try:
            if self.total_outbufs_len or not self.connected:
                return False
            rest = data[self._send_now(data) :]
            if rest:
                super().write_soon(rest)
        except waitress.channel.ClientDisconnected:
            return False
        finally:
            self.outbuf_lock.release()
        return True

    def _send_now(self, data: bytes) -> int:
        """Send what the socket accepts; drop all data on an error.

        :returns: number of bytes sent or dropped
        """
        try:
            sent = self.send(data, do_close=False)
        except OSError:
            # As in waitress, the loop closes the channel and the next write
            # raises ClientDisconnected.
            self.will_close = True
            self.server.pull_trigger()
            return len(data)
        self.last_activity = time.time()
        return sent


def make_channel_class(tls_wrapper: tlssockets.Wrapper | None) -> Callable:
    """Make the factory that waitress calls with each accepted connection.

    :param tls_wrapper: adds TLS to the connection; None for plain TCP
    """
    if tls_wrapper is None:
        return Channel

    def make_channel(
        server, accepted: socket.socket, *rest, **options
    ) -> None:
        try:
            wrapped = tls_wrapper.wrap(accepted)
        except OSError:
            # The client has already disconnected.
            accepted.close()
            return
        Channel(server, wrapped, *rest, **options)

    return make_channel
