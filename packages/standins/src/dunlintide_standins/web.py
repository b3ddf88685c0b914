"""Small HTTP server whose connections a stand-in can drop or stall.

It uses the standard library's threading server rather than waitress,
because a stand-in must be able to close a connection without a response,
never respond, and stream without end.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from http import server as http_server
import select
import socket
import socketserver
import sys
import threading
from typing import Any
from urllib import parse

from absl import logging
import attrs
import msgspec

__all__ = [
    'Answer',
    'Handler',
    'Request',
    'Server',
    'decode_json',
    'drop_connection',
    'json_answer',
]

JSON_TYPE = 'application/json'
_ACCEPT_BACKLOG = 512
_POLL_SECONDS = 0.05


@attrs.frozen
class Request:
    """One HTTP request.

    :ivar target: path and query as sent
    :ivar path: path without the query, still percent-encoded
    :ivar query: query parameters, the last value of each
    :ivar headers: headers by lower-case name
    """

    method: str
    target: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes


@attrs.frozen
class Answer:
    """One HTTP response.

    :ivar parts: body in parts, replaces ``body``; a None sends nothing but
        ends the stream if the caller has disconnected
    :ivar length: total size of the parts in bytes, None for a chunked body
    :ivar drop: whether to close the connection without a response
    """

    status: int = 200
    body: bytes = b''
    content_type: str = JSON_TYPE
    parts: Iterator[bytes | None] | None = None
    length: int | None = None
    drop: bool = False


Handler = Callable[[Request], Answer]


def json_answer(data: Any, status: int = 200) -> Answer:
    """Build a response with a JSON body."""
    return Answer(status, msgspec.json.encode(data))


def drop_connection() -> Answer:
    """Build the answer that closes the connection without a response."""
    return Answer(drop=True)


def decode_json(request: Request, kind: Any) -> Any:
    """Decode the JSON body of a request; an empty body is ``{}``.

    :param kind: type to decode to
    :raises msgspec.ValidationError: if the body does not fit the type
    """
    return msgspec.json.decode(request.body or b'{}', type=kind)


class _Connection(http_server.BaseHTTPRequestHandler):
    """Serves the requests of one connection."""

    protocol_version = 'HTTP/1.1'
    disable_nagle_algorithm = True

    def _read_request(self) -> Request:
        size = int(self.headers.get('Content-Length', 0))
        body = self.rfile.read(size)
        path, _, query = self.path.partition('?')
        headers = {name.lower(): text for name, text in self.headers.items()}
        return Request(
            self.command,
            self.path,
            path,
            dict(parse.parse_qsl(query)),
            headers,
            body,
        )

    def _answer(self, request: Request) -> Answer:
        try:
            return self.server.handle(request)
        except (msgspec.ValidationError, msgspec.DecodeError) as error:
            return json_answer({'error': str(error)}, 400)

    def _is_disconnected(self) -> bool:
        readable, _, _ = select.select([self.connection], [], [], 0)
        if not readable:
            return False
        return not self.connection.recv(1, socket.MSG_PEEK)

    def _send_parts(self, answer: Answer) -> None:
        chunked = answer.length is None
        for part in answer.parts:
            if part is None:
                if self._is_disconnected():
                    raise ConnectionResetError
                continue
            self.wfile.write(
                b'%x\r\n%b\r\n' % (len(part), part) if chunked else part
            )
        if chunked:
            self.wfile.write(b'0\r\n\r\n')

    def _send(self, answer: Answer) -> None:
        self.send_response_only(answer.status)
        self.send_header('Content-Type', answer.content_type)
        if answer.parts is None:
            self.send_header('Content-Length', str(len(answer.body)))
        elif answer.length is not None:
            self.send_header('Content-Length', str(answer.length))
        else:
            self.send_header('Transfer-Encoding', 'chunked')
        if answer.parts is not None:
            self.end_headers()
            with contextlib.closing(answer.parts):
                self._send_parts(answer)
            return
        body = b'' if self.command == 'HEAD' else answer.body
        # Send head and body in one segment.
        self._headers_buffer.append(b'\r\n' + body)
        self.flush_headers()

    def _serve(self) -> None:
        answer = self._answer(self._read_request())
        if answer.drop:
            self.close_connection = True
            return
        self._send(answer)

    do_GET = do_HEAD = do_POST = do_PUT = _serve
    do_PATCH = do_DELETE = do_OPTIONS = _serve


class _Listener(socketserver.ThreadingTCPServer):
    """Accepts connections and serves each in a thread."""

    allow_reuse_address = True
    daemon_threads = True
    block_on_close = False
    request_queue_size = _ACCEPT_BACKLOG

    def __init__(self, address: tuple[str, int], handle: Handler) -> None:
        super().__init__(address, _Connection)
        self.handle = handle
        self._open: set[socket.socket] = set()
        self._lock = threading.Lock()

    def process_request(self, request, client_address):
        with self._lock:
            self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self._lock:
            self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        # Disconnected callers are expected in fault tests.
        if not isinstance(sys.exception(), OSError):
            logging.exception('the handler of a request raised an exception')

    def shutdown_connections(self) -> None:
        """Shut down every open connection."""
        with self._lock:
            connections = list(self._open)
        for connection in connections:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


class Server:
    """An HTTP server that responds through a handler.

    :ivar port: port that the server listens on
    """

    def __init__(self, listen: str, handle: Handler) -> None:
        """Bind the address without accepting connections yet.

        :param listen: ``host:port``, port 0 for a free one
        :raises OSError: if the port is in use
        """
        host, _, port = listen.rpartition(':')
        self._listener = _Listener((host, int(port)), handle)
        self.port = self._listener.server_address[1]
        self._thread = threading.Thread(
            target=self._listener.serve_forever,
            args=(_POLL_SECONDS,),
            daemon=True,
        )

    def start(self) -> None:
        """Accept connections in the background."""
        self._thread.start()

    def stop(self) -> None:
        """Close the port and shut down every connection at once."""
        self._listener.shutdown()
        self._listener.server_close()
        self._listener.shutdown_connections()
