"""Long-lived gRPC streams that carry the frames of many requests.

Each side queues frames without blocking; a writer packs all queued frames
into one message, so a slow link gets larger batches. A side with nothing to
send sends pings: a stream without any input is replaced, and its handlers
are notified as of any other loss. All links of a process run on one event
loop.
"""

import asyncio
from concurrent import futures
import random
import time
from typing import (
    AsyncIterable,
    Awaitable,
    Callable,
    Iterable,
)

from absl import logging
import attrs
from google.protobuf import message
import grpc

from dunlintide_adapters import eventloop
from dunlintide_adapters import guards
from dunlintide_adapters import keepalive
from dunlintide_adapters import outboxes
from dunlintide_adapters import packing
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_adapters.wire import link_pb2_grpc

__all__ = [
    'Dialer',
    'Handlers',
    'Link',
    'MAX_MESSAGE_BYTES',
    'Stream',
    'LinkTiming',
]

MAX_MESSAGE_BYTES = packing.MAX_FRAME_BYTES
_HANDSHAKE = 'handshake'
# gRPC reports a refused certificate of the peer only in the error text.
_HANDSHAKE_ERRORS = ('handshake failed', 'verification check failed')

_CHANNEL_OPTIONS = (
    # Retries are done in one layer of the router only.
    ('grpc.enable_retries', 0),
    ('grpc.max_send_message_length', MAX_MESSAGE_BYTES),
    ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
    # Each dialer has a separate connection: one that stalled must not be
    # reused by the channel that replaces it.
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 100),
    ('grpc.max_reconnect_backoff_ms', 1000),
)


# Frames that do not count as use of a link; see ``keepalive``.
_IDLE_KINDS = frozenset(('hello', 'load', 'ping'))


@attrs.frozen
class LinkTiming:
    """Time constants of a link, in seconds.

    :ivar ping: time without output after which a side of a link in use
        pings
    :ivar silence: time without input after which a link in use counts as
        lost; an idle link has longer times, see ``keepalive``
    :ivar redial: maximum pause before reconnecting
    """

    ping: float = 1.0
    silence: float = 3.0
    redial: float = 1.0


@attrs.frozen
class Handlers:
    """Callbacks of a link; they run in order and must not block.

    All links of a process call them from one thread.

    :ivar up: called with the link once the hello of the peer was accepted
    :ivar frames: called with the link and each batch of frames
    :ivar down: called once, after ``up``, with the link and the reason of
        its loss
    """

    up: Callable[['Link'], None]
    frames: Callable[['Link', list[link_pb2.Frame]], None]
    down: Callable[['Link', str], None]


class _Refused(Exception):
    """The certificate of the peer does not match its hello."""


@attrs.frozen
class Stream:
    """Both directions of a gRPC stream."""

    read: AsyncIterable[link_pb2.Envelope]
    write: Callable[[link_pb2.Envelope], Awaitable[None]]


def _describe(error: grpc.RpcError) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        details = error.details() or ''
        if any(mark in details.lower() for mark in _HANDSHAKE_ERRORS):
            return f'{_HANDSHAKE}: {details}'
        return str(error.code())
    return type(error).__name__


class Link:
    """One open stream to a peer.

    :ivar peer: hello of the peer, None before it was accepted
    """

    def __init__(
        self,
        handlers: Handlers,
        hello: link_pb2.Hello,
        timing: LinkTiming,
        batch_bytes: int = packing.BATCH_BYTES,
        guard: guards.Guard | None = None,
    ) -> None:
        self.peer: link_pb2.Hello | None = None
        self._keepalive = keepalive.Keepalive(
            timing.ping, timing.silence, time.monotonic()
        )
        self._handlers = handlers
        self._timing = timing
        self._outbox = outboxes.Outbox(batch_bytes)
        self._hello = hello
        self._guard = guard or guards.Guard()
        if not self._guard.waits_for_hello:
            self._send_hello()
        self._sequence = 0

    def send(self, frame: link_pb2.Frame) -> bool:
        """Queue a frame; False when the link is closed or its queue full."""
        if frame.WhichOneof('body') not in _IDLE_KINDS:
            self._keepalive.note_work(time.monotonic())
        return self._outbox.put(frame)

    def close(self) -> None:
        """Stop sending; the stream ends after the queued frames."""
        self._outbox.close()

    def _handle_control(self, frame: link_pb2.Frame) -> bool:
        body = frame.WhichOneof('body')
        if not self._guard.allows(body):
            return True
        if body not in _IDLE_KINDS:
            self._keepalive.note_work(time.monotonic())
        if body == 'hello':
            return self._handle_hello(frame.hello)
        return body == 'ping'

    def _send_hello(self) -> None:
        self._outbox.put(link_pb2.Frame(hello=self._hello))

    def _handle_hello(self, hello: link_pb2.Hello) -> bool:
        mismatch = self._guard.check_hello(
            hello.role, hello.name, self._hello.role
        )
        if mismatch:
            raise _Refused(mismatch)
        is_first = self.peer is None
        self.peer = hello
        if is_first:
            if self._guard.waits_for_hello:
                self._send_hello()
            self._handlers.up(self)
        return is_first

    def _handle_frames(self, frames: Iterable[link_pb2.Frame]) -> None:
        request_frames = [
            frame for frame in frames if not self._handle_control(frame)
        ]
        if request_frames:
            self._handlers.frames(self, request_frames)

    async def _read(self, stream: AsyncIterable[link_pb2.Envelope]) -> str:
        unpacker = packing.Unpacker()
        async for envelope in stream:
            self._keepalive.note_received(time.monotonic())
            try:
                frames = unpacker.unpack(envelope)
            except (ValueError, message.DecodeError) as error:
                # The sender does not speak this protocol or is faulty.
                return str(error)
            try:
                self._handle_frames(frames)
            except _Refused as refused:
                return f'refused: {refused}'
            except Exception:
                # An error in a handler must not end the link, which also
                # carries other requests; the rest of this batch is lost.
                logging.exception('failed to handle a batch of frames')
        return 'closed by the peer'

    async def _write(self, stream: Stream) -> str:
        async for envelope in self._outbox.envelopes():
            await stream.write(envelope)
        return 'closed'

    async def _ping_until_silent(self) -> str:
        """Ping while nothing else is sent; return when the peer is silent.

        Any message shows the other side that the sender is alive, so a link
        that carries frames in both directions needs no pings.
        """
        while True:
            await asyncio.sleep(self._timing.ping / 2)
            now = time.monotonic()
            if self._keepalive.is_silent(now):
                return 'silent'
            if self._keepalive.is_ping_due(self._outbox.taken_at, now):
                self._sequence += 1
                ping = link_pb2.Ping(sequence=self._sequence)
                self._outbox.put(link_pb2.Frame(ping=ping))

    async def run(self, stream: Stream) -> str:
        """Read, write and ping until one of them ends; return the reason."""
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._read(stream.read),
                self._write(stream),
                self._ping_until_silent(),
            )
        ]
        try:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            return _read_reason(done)
        finally:
            for task in tasks:
                task.cancel()
            self._outbox.close()

    def notify_down(self, reason: str) -> None:
        """Call the ``down`` handler if the link was up."""
        if self.peer is not None:
            self._handlers.down(self, reason)


def _read_reason(done: set[asyncio.Future]) -> str:
    """Return why a link ended, from the first of its tasks to end."""
    task = done.pop()
    if task.cancelled():
        return 'cancelled'
    error = task.exception()
    if error is None:
        return task.result()
    if not isinstance(error, grpc.RpcError):
        logging.error('link ended by an unexpected error: %r', error)
    return _describe(error)


class Dialer:
    """Keeps one link to an address open and reconnects after a loss."""

    def __init__(
        self,
        address: str,
        hello: Callable[[], link_pb2.Hello],
        handlers: Handlers,
        timing: LinkTiming = LinkTiming(),
        batch_bytes: int = packing.BATCH_BYTES,
        *,
        transport: transports.Transport = transports.PLAIN,
        role: str = '',
    ) -> None:
        """Create a dialer; ``start`` begins to connect.

        :param address: ``host:port``
        :param hello: builds the hello of this process
        :param batch_bytes: maximum size of a message with several frames
        :param transport: how to connect
        :param role: required role of the peer; empty for any
        """
        self._transport = transport
        self._role = role
        self.address = address
        self._hello = hello
        self._handlers = handlers
        self._timing = timing
        self._batch_bytes = batch_bytes
        self._stopped = False
        self._link: Link | None = None
        self._task: futures.Future | None = None

    def start(self) -> None:
        """Start connecting in the background."""
        self._task = eventloop.spawn(self._run())

    @property
    def link(self) -> Link | None:
        """The open link, or None; it may be lost at any time."""
        link = self._link
        return link if link is not None and link.peer is not None else None

    def stop(self) -> None:
        """Close the link after the queued frames and stop reconnecting."""
        self._stopped = True
        link = self._link
        if link is not None:
            link.close()
        elif self._task is not None:
            self._task.cancel()

    async def _connect(self) -> str:
        link = Link(
            self._handlers,
            self._hello(),
            self._timing,
            self._batch_bytes,
            self._transport.make_dialled_guard(self._role),
        )
        async with self._transport.dial_async(
            self.address, self._role, _CHANNEL_OPTIONS
        ) as channel:
            call = link_pb2_grpc.LinkStub(channel).Connect()
            self._link = link
            try:
                reason = await link.run(Stream(call, call.write))
            finally:
                call.cancel()
                self._link = None
        link.notify_down(reason)
        return reason

    def _log_loss(self, reason: str, previous: str) -> None:
        logging.debug('link to %s lost: %s', self.address, reason)
        if reason.startswith(_HANDSHAKE) and reason != previous:
            detail = f'a link to {self.address}: {reason}'
            self._transport.refusals.add(_HANDSHAKE, detail)

    async def _run(self) -> None:
        reason = ''
        while not self._stopped:
            previous = reason
            try:
                reason = await self._connect()
            except grpc.RpcError as error:
                reason = _describe(error)
            if self._stopped:
                return
            self._log_loss(reason, previous)
            pause = self._timing.redial * random.uniform(0.1, 1.0)
            await asyncio.sleep(pause)
