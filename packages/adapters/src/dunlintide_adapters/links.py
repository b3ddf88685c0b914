"""Long-lived gRPC streams that carry the frames of many requests.

Each side queues frames without blocking; a writer packs what has
gathered into one message, so a slow link gets larger batches. A side that
has nothing to send sends pings: a stream that stays silent is replaced,
and its users hear of the loss as of any other. All links of a process
live on one event loop.
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
# gRPC tells only in words that the far side's certificate was refused.
_HANDSHAKE_MARKS = ('handshake failed', 'verification check failed')

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


# Frames without work for the other side; see ``keepalive``.
_IDLE_KINDS = frozenset(('hello', 'load', 'ping'))


@attrs.frozen
class LinkTiming:
    """Time constants of a link, in seconds.

    :ivar ping: quiet time after which a side of a link in use pings
    :ivar silence: silence after which a link in use counts as lost; an
        idle one has wider bounds, see ``keepalive``
    :ivar redial: longest pause before dialling again
    """

    ping: float = 1.0
    silence: float = 3.0
    redial: float = 1.0


@attrs.frozen
class Handlers:
    """Callbacks of a link; they run in order and must not block.

    All links of a process call them from one thread.

    :ivar up: called with the link once the peer said who it is
    :ivar frames: called with the link and each batch of frames
    :ivar down: called with the link and a reason, once, after up
    """

    up: Callable[['Link'], None]
    frames: Callable[['Link', list[link_pb2.Frame]], None]
    down: Callable[['Link', str], None]


class _Refused(Exception):
    """The far side is not who it says it is."""


@attrs.frozen
class Stream:
    """Both directions of a gRPC stream."""

    read: AsyncIterable[link_pb2.Envelope]
    write: Callable[[link_pb2.Envelope], Awaitable[None]]


def _describe(error: grpc.RpcError) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        details = error.details() or ''
        if any(mark in details.lower() for mark in _HANDSHAKE_MARKS):
            return f'{_HANDSHAKE}: {details}'
        return str(error.code())
    return type(error).__name__


class Link:
    """One open stream to a peer.

    :ivar peer: what the peer said of itself, None before that
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
        if not self._guard.answers:
            self._greet()
        self._sequence = 0

    def send(self, frame: link_pb2.Frame) -> bool:
        """Queue a frame; False when the link is closed or backed up."""
        if frame.WhichOneof('body') not in _IDLE_KINDS:
            self._keepalive.note_work(time.monotonic())
        return self._outbox.put(frame)

    def close(self) -> None:
        """Stop sending; the stream ends after what is queued."""
        self._outbox.close()

    def _take_control(self, frame: link_pb2.Frame) -> bool:
        body = frame.WhichOneof('body')
        if not self._guard.permits(body):
            return True
        if body not in _IDLE_KINDS:
            self._keepalive.note_work(time.monotonic())
        if body == 'hello':
            return self._take_hello(frame.hello)
        return body == 'ping'

    def _greet(self) -> None:
        self._outbox.put(link_pb2.Frame(hello=self._hello))

    def _take_hello(self, hello: link_pb2.Hello) -> bool:
        fault = self._guard.admit(hello.role, hello.name, self._hello.role)
        if fault:
            raise _Refused(fault)
        first = self.peer is None
        self.peer = hello
        if first:
            if self._guard.answers:
                self._greet()
            self._handlers.up(self)
        return first

    def _take(self, frames: Iterable[link_pb2.Frame]) -> None:
        rest = [frame for frame in frames if not self._take_control(frame)]
        if rest:
            self._handlers.frames(self, rest)

    async def _read(self, stream: AsyncIterable[link_pb2.Envelope]) -> str:
        unpacker = packing.Unpacker()
        async for envelope in stream:
            self._keepalive.note_received(time.monotonic())
            try:
                frames = unpacker.unpack(envelope)
            except (ValueError, message.DecodeError) as error:
                # Whoever sent it is not one of ours, or is broken.
                return str(error)
            try:
                self._take(frames)
            except _Refused as refused:
                return f'refused: {refused}'
            except Exception:
                # One frame that cannot be handled must not end the link,
                # and with it the work of others.
                logging.exception('a frame was not handled')
        return 'closed by the peer'

    async def _write(self, stream: Stream) -> str:
        async for envelope in self._outbox.envelopes():
            await stream.write(envelope)
        return 'closed'

    async def _watch(self) -> str:
        """Ping while nothing else is sent; return when it is silent.

        Each side tells the other that it lives, by whatever it sends, so
        a link that carries frames in both directions needs no pings.
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
        """Read, write and watch until one of them ends; tell why."""
        tasks = [
            asyncio.ensure_future(work)
            for work in (
                self._read(stream.read),
                self._write(stream),
                self._watch(),
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

    def end(self, reason: str) -> None:
        """Tell the handlers that the link is lost, if it was up."""
        if self.peer is not None:
            self._handlers.down(self, reason)


def _read_reason(done: set[asyncio.Future]) -> str:
    """Tell why a link ended, from the first of its tasks that did."""
    task = done.pop()
    if task.cancelled():
        return 'cancelled'
    error = task.exception()
    if error is None:
        return task.result()
    if not isinstance(error, grpc.RpcError):
        logging.error('link ended by %r', error)
    return _describe(error)


class Dialer:
    """Keeps one link to an address open, replacing it when lost."""

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
        """Remember what to dial; ``start`` begins.

        :param address: ``host:port``
        :param hello: builds what this process says of itself
        :param batch_bytes: a message holds no more than this, or one frame
        :param transport: how to connect
        :param role: role that the far side must have; empty for any
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
        self._work: futures.Future | None = None

    def start(self) -> None:
        """Begin dialling in the background."""
        self._work = eventloop.spawn(self._run())

    @property
    def link(self) -> Link | None:
        """The open link, or None; it may be lost at any moment."""
        link = self._link
        return link if link is not None and link.peer is not None else None

    def stop(self) -> None:
        """Close the link after what is queued, and dial no more."""
        self._stopped = True
        link = self._link
        if link is not None:
            link.close()
        elif self._work is not None:
            self._work.cancel()

    async def _connect(self) -> str:
        link = Link(
            self._handlers,
            self._hello(),
            self._timing,
            self._batch_bytes,
            self._transport.guard_dialled(self._role),
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
        link.end(reason)
        return reason

    def _note(self, reason: str, former: str) -> None:
        logging.debug('link to %s lost: %s', self.address, reason)
        if reason.startswith(_HANDSHAKE) and reason != former:
            detail = f'a link to {self.address}: {reason}'
            self._transport.refusals.add(_HANDSHAKE, detail)

    async def _run(self) -> None:
        reason = ''
        while not self._stopped:
            former = reason
            try:
                reason = await self._connect()
            except grpc.RpcError as error:
                reason = _describe(error)
            if self._stopped:
                return
            self._note(reason, former)
            pause = self._timing.redial * random.uniform(0.1, 1.0)
            await asyncio.sleep(pause)
