"""Long-lived gRPC streams that carry the frames of many requests.

Each side queues frames without blocking; a writer packs what has
gathered into one message, so a slow link gets larger batches. Pings go
through the same stream: one that stays silent is replaced, and its users
hear of the loss as of any other.
"""

from concurrent import futures
import contextlib
import random
import threading
import time
from typing import Callable, Iterable, Iterator

from absl import logging
import attrs
from google.protobuf import message
import grpc

from dunlintide_adapters.wire import link_pb2
from dunlintide_adapters.wire import link_pb2_grpc

__all__ = [
    'Dialer',
    'Handlers',
    'Link',
    'LinkServer',
    'LinkTiming',
]

MAX_MESSAGE_BYTES = 4 << 20
# A message shows that the link is alive only once it is whole, so one must
# be small enough for a slow link to carry it well within the silence.
BATCH_BYTES = 16 << 10
MAX_BACKLOG_FRAMES = 100_000
MAX_SERVER_LINKS = 512
_STOP_GRACE_SECONDS = 2.0

_CHANNEL_OPTIONS = (
    # The router retries in one layer only, so gRPC must not.
    ('grpc.enable_retries', 0),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    # A channel of its own for each dialer: a stalled connection must not
    # be shared with the one that replaces it.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)
_SERVER_OPTIONS = (
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    ('grpc.so_reuseport', 0),
)


@attrs.frozen
class LinkTiming:
    """Time constants of a link, in seconds.

    :ivar ping: pause between two pings
    :ivar silence: silence after which the link counts as lost
    :ivar redial: longest pause before dialling again
    """

    ping: float = 0.5
    silence: float = 2.0
    redial: float = 1.0


@attrs.frozen
class Handlers:
    """Callbacks of a link; they run on its reader thread, in order.

    :ivar up: called with the link once the peer said who it is
    :ivar frames: called with the link and each batch of frames
    :ivar down: called with the link and a reason, once, after up
    """

    up: Callable[['Link'], None]
    frames: Callable[['Link', list[link_pb2.Frame]], None]
    down: Callable[['Link', str], None]


def _describe(error: grpc.RpcError) -> str:
    if isinstance(error, grpc.Call):
        return str(error.code())
    return type(error).__name__


def _cut(frame: link_pb2.Frame) -> Iterator[link_pb2.Envelope]:
    """Yield a large frame in pieces."""
    data = frame.SerializeToString()
    for start in range(0, len(data), BATCH_BYTES):
        end = start + BATCH_BYTES
        yield link_pb2.Envelope(piece=data[start:end], more=end < len(data))


class _Outbox:
    """Frames that wait for the writer, bounded in number."""

    def __init__(self, batch_bytes: int) -> None:
        self._batch_bytes = batch_bytes
        self._frames: list[link_pb2.Frame] = []
        self._ready = threading.Condition()
        self._closed = False

    def put(self, frame: link_pb2.Frame) -> bool:
        """Append a frame; False when closed or full."""
        with self._ready:
            if self._closed or len(self._frames) >= MAX_BACKLOG_FRAMES:
                return False
            self._frames.append(frame)
            if len(self._frames) == 1:
                self._ready.notify()
            return True

    def close(self) -> None:
        """Let the writer end once it has taken what is queued."""
        with self._ready:
            self._closed = True
            self._ready.notify_all()

    def _take(self) -> list[link_pb2.Frame]:
        with self._ready:
            while not self._frames and not self._closed:
                self._ready.wait()
            frames, self._frames = self._frames, []
            return frames

    def envelopes(self) -> Iterator[link_pb2.Envelope]:
        """Yield queued frames in messages of bounded size."""
        while frames := self._take():
            envelope = link_pb2.Envelope()
            size = 0
            for frame in frames:
                length = frame.ByteSize()
                if envelope.frames and size + length > self._batch_bytes:
                    yield envelope
                    envelope = link_pb2.Envelope()
                    size = 0
                if length > BATCH_BYTES:
                    yield from _cut(frame)
                    continue
                envelope.frames.append(frame)
                size += length
            if envelope.frames:
                yield envelope


class Link:
    """One open stream to a peer.

    :ivar peer: what the peer said of itself, None before that
    :ivar heard: monotonic time of the last message that came
    :ivar sent: monotonic time at which a frame was last queued
    """

    def __init__(
        self,
        handlers: Handlers,
        hello: link_pb2.Hello,
        batch_bytes: int = BATCH_BYTES,
    ) -> None:
        self.peer: link_pb2.Hello | None = None
        self.heard = time.monotonic()
        self.sent = self.heard
        self._handlers = handlers
        self._outbox = _Outbox(batch_bytes)
        self._outbox.put(link_pb2.Frame(hello=hello))
        self._sequence = 0
        self._pieces: list[bytes] = []
        self._size = 0

    def send(self, frame: link_pb2.Frame) -> bool:
        """Queue a frame; False when the link is closed or backed up."""
        self.sent = time.monotonic()
        return self._outbox.put(frame)

    def close(self) -> None:
        """Stop sending; the stream ends after what is queued."""
        self._outbox.close()

    def ping(self) -> None:
        """Queue a ping, so that a silent link shows."""
        self.sent = time.monotonic()
        self._sequence += 1
        ping = link_pb2.Ping(sequence=self._sequence)
        self._outbox.put(link_pb2.Frame(ping=ping))

    def _take_control(self, frame: link_pb2.Frame) -> bool:
        body = frame.WhichOneof('body')
        if body == 'ping':
            pong = link_pb2.Pong(sequence=frame.ping.sequence)
            self._outbox.put(link_pb2.Frame(pong=pong))
            return True
        if body == 'hello':
            first = self.peer is None
            self.peer = frame.hello
            if first:
                self._handlers.up(self)
                return True
            return False
        return body == 'pong'

    def _unpack(self, envelope: link_pb2.Envelope) -> Iterable[link_pb2.Frame]:
        """Give the frames of a message, a large one with its last piece."""
        if not envelope.piece:
            return envelope.frames
        self._pieces.append(envelope.piece)
        self._size += len(envelope.piece)
        if self._size > MAX_MESSAGE_BYTES:
            raise ValueError('a frame is larger than a message may be')
        if envelope.more:
            return ()
        data = b''.join(self._pieces)
        self._pieces.clear()
        self._size = 0
        return (link_pb2.Frame.FromString(data),)

    def _read(self, envelopes: Iterator[link_pb2.Envelope]) -> str:
        reason = 'closed by the peer'
        try:
            for envelope in envelopes:
                self.heard = time.monotonic()
                rest = [
                    frame
                    for frame in self._unpack(envelope)
                    if not self._take_control(frame)
                ]
                if rest:
                    self._handlers.frames(self, rest)
        except grpc.RpcError as error:
            reason = _describe(error)
        except (ValueError, message.DecodeError) as error:
            # Whoever sent it is not one of ours, or is broken.
            reason = str(error)
        self._outbox.close()
        if self.peer is not None:
            self._handlers.down(self, reason)
        return reason


class Dialer:
    """Keeps one link to an address open, replacing it when lost."""

    def __init__(
        self,
        address: str,
        hello: Callable[[], link_pb2.Hello],
        handlers: Handlers,
        timing: LinkTiming = LinkTiming(),
        batch_bytes: int = BATCH_BYTES,
    ) -> None:
        """Remember what to dial; ``start`` begins.

        :param address: ``host:port``
        :param hello: builds what this process says of itself
        :param batch_bytes: a message holds no more than this, or one frame
        """
        self.address = address
        self._hello = hello
        self._handlers = handlers
        self._timing = timing
        self._batch_bytes = batch_bytes
        self._stopped = threading.Event()
        self._link: Link | None = None
        self._stream = None
        self._thread = threading.Thread(
            target=self._run, name=f'dial-{address}', daemon=True
        )

    def start(self) -> None:
        """Begin dialling in the background."""
        self._thread.start()

    @property
    def link(self) -> Link | None:
        """The open link, or None; it may be lost at any moment."""
        link = self._link
        return link if link is not None and link.peer is not None else None

    def check(self, now: float) -> None:
        """Ping, and drop the stream when nothing came for too long.

        :param now: monotonic time in seconds
        """
        link, stream = self._link, self._stream
        if link is None or stream is None:
            return
        if now - link.heard > self._timing.silence:
            stream.cancel()
            return
        link.ping()

    def stop(self) -> None:
        """Close the link and dial no more."""
        self._stopped.set()
        link, stream = self._link, self._stream
        if link is not None:
            link.close()
        if stream is not None:
            stream.cancel()

    def _connect(self) -> str:
        link = Link(self._handlers, self._hello(), self._batch_bytes)
        with grpc.insecure_channel(
            self.address, options=_CHANNEL_OPTIONS
        ) as channel:
            stub = link_pb2_grpc.LinkStub(channel)
            stream = stub.Connect(link._outbox.envelopes())
            self._link, self._stream = link, stream
            if self._stopped.is_set():
                stream.cancel()
            watch = threading.Thread(
                target=self._watch, args=(link,), daemon=True
            )
            watch.start()
            reason = link._read(stream)
            self._link = self._stream = None
            return reason

    def _watch(self, link: Link) -> None:
        while self._link is link and not self._stopped.is_set():
            self.check(time.monotonic())
            time.sleep(self._timing.ping)

    def _run(self) -> None:
        while not self._stopped.is_set():
            reason = self._connect()
            if self._stopped.is_set():
                return
            logging.debug('link to %s lost: %s', self.address, reason)
            pause = self._timing.redial * random.uniform(0.1, 1.0)
            self._stopped.wait(pause)


class _Servicer(link_pb2_grpc.LinkServicer):
    """Server side of links."""

    def __init__(self, server: 'LinkServer') -> None:
        self._server = server

    def Connect(self, request_iterator, context):
        link = Link(self._server.handlers, self._server.hello())
        reader = threading.Thread(
            target=link._read, args=(request_iterator,), daemon=True
        )
        self._server.add(link, context)
        reader.start()
        try:
            yield from link._outbox.envelopes()
        finally:
            # gRPC may drop this generator instead of running it to its end.
            self._server.discard(link)


class LinkServer:
    """Accepts links from other processes."""

    def __init__(
        self,
        address: str,
        hello: Callable[[], link_pb2.Hello],
        handlers: Handlers,
        timing: LinkTiming = LinkTiming(),
    ) -> None:
        """Bind the address; the port is also the host-local lock.

        :param address: ``host:port`` to listen on
        :raises OSError: when the port is taken
        """
        self.hello = hello
        self.handlers = handlers
        self._timing = timing
        self._links: dict[Link, grpc.ServicerContext] = {}
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        pool = futures.ThreadPoolExecutor(
            MAX_SERVER_LINKS, thread_name_prefix='link'
        )
        self._server = grpc.server(pool, options=_SERVER_OPTIONS)
        link_pb2_grpc.add_LinkServicer_to_server(_Servicer(self), self._server)
        try:
            self.port = self._server.add_insecure_port(address)
        except RuntimeError as error:
            raise OSError(f'cannot listen on {address}: {error}') from error

    @property
    def server(self) -> grpc.Server:
        """The gRPC server, for adding further services before start."""
        return self._server

    def start(self) -> None:
        """Accept links."""
        self._server.start()
        threading.Thread(target=self._watch, daemon=True).start()

    def add(self, link: Link, context: grpc.ServicerContext) -> None:
        """Take note of a new link."""
        with self._lock:
            self._links[link] = context

    def discard(self, link: Link) -> None:
        """Forget a link that ended."""
        link.close()
        with self._lock:
            self._links.pop(link, None)

    def links(self) -> list[Link]:
        """Links whose peer is known."""
        with self._lock:
            return [link for link in self._links if link.peer is not None]

    def stop(self) -> None:
        """Close all links and free the port."""
        self._stopped.set()
        with self._lock:
            links = list(self._links)
        for link in links:
            link.close()
        self._server.stop(_STOP_GRACE_SECONDS).wait()

    def _watch(self) -> None:
        while not self._stopped.wait(self._timing.ping):
            now = time.monotonic()
            with self._lock:
                links = list(self._links.items())
            for link, context in links:
                if now - link.heard > self._timing.silence:
                    link.close()
                    context.cancel()
                elif now - link.sent > self._timing.silence / 2:
                    # The peer's pings may wait behind what it sends.
                    link.ping()


@contextlib.contextmanager
def serve(server: LinkServer) -> Iterator[LinkServer]:
    """Start a link server and stop it at the end of the block."""
    server.start()
    try:
        yield server
    finally:
        server.stop()
