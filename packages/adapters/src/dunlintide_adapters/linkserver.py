"""Server that accepts links."""

from concurrent import futures
import contextlib
import threading
from typing import Callable, Iterator

import grpc

from dunlintide_adapters import eventloop
from dunlintide_adapters import links
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_adapters.wire import link_pb2_grpc

__all__ = [
    'LinkServer',
    'serve',
]

CALL_THREADS = 64
_STOP_GRACE_SECONDS = 2.0
_SERVER_OPTIONS = (
    ('grpc.max_send_message_length', links.MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', links.MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
)


class _Servicer(link_pb2_grpc.LinkServicer):
    """gRPC servicer that runs each accepted stream as a link."""

    def __init__(self, server: 'LinkServer') -> None:
        self._server = server

    async def Connect(self, request_iterator, context) -> None:
        server = self._server
        link = links.Link(
            server.handlers,
            server.hello(),
            server.timing,
            guard=server.transport.make_accepted_guard(context),
        )
        server.add(link)
        reason = 'cancelled'
        try:
            reason = await link.run(
                links.Stream(request_iterator, context.write)
            )
        finally:
            server.discard(link)
            link.notify_down(reason)


class LinkServer:
    """Accepts links from other processes."""

    def __init__(
        self,
        address: str,
        hello: Callable[[], link_pb2.Hello],
        handlers: links.Handlers,
        timing: links.LinkTiming = links.LinkTiming(),
        *,
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Bind the address.

        The port also serves as a lock: no second process with the same
        address can start on the host.

        :param address: ``host:port`` to listen on
        :param hello: builds the hello of this process
        :raises OSError: when the port is in use
        """
        self.hello = hello
        self.handlers = handlers
        self.timing = timing
        self.transport = transport
        self._links: set[links.Link] = set()
        self._lock = threading.Lock()
        self._server = eventloop.run(self._build())
        try:
            self.port = transport.listen(self._server, address)
        except RuntimeError as error:
            raise OSError(f'cannot listen on {address}: {error}') from error

    async def _build(self) -> grpc.aio.Server:
        # Unary calls of further services may block, so they run on threads.
        pool = futures.ThreadPoolExecutor(
            CALL_THREADS, thread_name_prefix='calls'
        )
        server = grpc.aio.server(pool, options=_SERVER_OPTIONS)
        link_pb2_grpc.add_LinkServicer_to_server(_Servicer(self), server)
        return server

    @property
    def server(self) -> grpc.aio.Server:
        """The gRPC server, for adding further services before start."""
        return self._server

    def start(self) -> None:
        """Accept links."""
        eventloop.run(self._server.start())

    def add(self, link: links.Link) -> None:
        """Register a new link."""
        with self._lock:
            self._links.add(link)

    def discard(self, link: links.Link) -> None:
        """Unregister a link that ended."""
        with self._lock:
            self._links.discard(link)

    def links(self) -> list[links.Link]:
        """Return the links whose peer has been accepted."""
        with self._lock:
            return [link for link in self._links if link.peer is not None]

    def stop(self) -> None:
        """Close all links after their queued frames, and free the port."""
        with self._lock:
            open_links = list(self._links)
        for link in open_links:
            link.close()
        eventloop.run(self._server.stop(_STOP_GRACE_SECONDS))


@contextlib.contextmanager
def serve(server: LinkServer) -> Iterator[LinkServer]:
    """Start a link server and stop it at the end of the block."""
    server.start()
    try:
        yield server
    finally:
        server.stop()
