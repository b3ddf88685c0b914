"""Links that this agent opens to other agents, by address.

They are shared by all requests, opened on first use and closed when idle.
Frames sent before a link is up are queued for a bounded time.
"""

import threading
import time
from typing import Callable

from absl import logging
import attrs

from dunlintide_adapters import links
from dunlintide_adapters import transports
from dunlintide_adapters.wire import link_pb2
from dunlintide_core import fleet

__all__ = [
    'Handlers',
    'Peers',
]

CONNECT_SECONDS = 3.0
IDLE_SECONDS = 60.0
MAX_WAITING_FRAMES = 10_000


@attrs.frozen
class Handlers:
    """Callbacks of the links, on their reader threads.

    :ivar frames: receives the frames of these links
    :ivar up: receives the address of a link that has come up
    :ivar lost: receives the address and reason of a lost link
    """

    frames: Callable[[links.Link, list[link_pb2.Frame]], None]
    up: Callable[[str], None]
    lost: Callable[[str, str], None]


@attrs.define(eq=False)
class _Peer:
    dialer: links.Dialer
    link: links.Link | None = None
    waiting: list[link_pb2.Frame] = attrs.field(factory=list)
    waiting_since: float = 0.0
    used_at: float = 0.0
    leaving: bool = False


class Peers:
    """Outgoing links to agents."""

    def __init__(
        self,
        hello: Callable[[], link_pb2.Hello],
        handlers: Handlers,
        timing: links.LinkTiming = links.LinkTiming(),
        clock: Callable[[], float] = time.monotonic,
        transport: transports.Transport = transports.PLAIN,
    ) -> None:
        """Set the callbacks; links open on demand."""
        self._hello = hello
        self._handlers = handlers
        self._timing = timing
        self._transport = transport
        self._clock = clock
        self._lock = threading.Lock()
        self._peers: dict[str, _Peer] = {}
        self._closed = False

    def _handle_up(self, address: str, link: links.Link) -> None:
        with self._lock:
            peer = self._peers.get(address)
            if peer is None:
                return
            for frame in peer.waiting:
                link.send(frame)
            peer.waiting.clear()
            peer.leaving = link.peer.leaving
            peer.link = link
        self._handlers.up(address)

    def _handle_down(
        self, address: str, link: links.Link, reason: str
    ) -> None:
        with self._lock:
            peer = self._peers.get(address)
            if peer is not None and peer.link is link:
                peer.link = None
        if not self._closed:
            self._handlers.lost(address, reason)

    def _handle_frames(
        self, address: str, link: links.Link, frames: list[link_pb2.Frame]
    ) -> None:
        for frame in frames:
            if frame.WhichOneof('body') == 'leaving':
                with self._lock:
                    if address in self._peers:
                        self._peers[address].leaving = True
        self._handlers.frames(link, frames)

    def _dial(self, address: str) -> _Peer:
        handlers = links.Handlers(
            up=lambda link: self._handle_up(address, link),
            frames=lambda link, frames: self._handle_frames(
                address, link, frames
            ),
            down=lambda link, reason: self._handle_down(address, link, reason),
        )
        dialer = links.Dialer(
            address,
            self._hello,
            handlers,
            self._timing,
            transport=self._transport,
            role=fleet.Role.AGENT,
        )
        peer = _Peer(dialer, used_at=self._clock())
        self._peers[address] = peer
        dialer.start()
        return peer

    def connect(self, address: str) -> None:
        """Start to open a link that will be needed soon."""
        with self._lock:
            if not self._closed and address not in self._peers:
                self._dial(address)

    def is_leaving(self, address: str) -> bool:
        """Return whether a peer has announced that it is leaving."""
        peer = self._peers.get(address)
        return peer is not None and peer.leaving

    def get_incarnation(self, address: str) -> int | None:
        """Return the incarnation of a linked peer, None without a link."""
        peer = self._peers.get(address)
        link = peer.link if peer is not None else None
        return link.peer.incarnation if link is not None else None

    def send(self, address: str, frame: link_pb2.Frame) -> bool:
        """Send a frame, or queue it until the link is up.

        :returns: False if a queue is full or the links are closing
        """
        now = self._clock()
        with self._lock:
            if self._closed:
                return False
            peer = self._peers.get(address) or self._dial(address)
            peer.used_at = now
            if peer.link is not None:
                return peer.link.send(frame)
            if len(peer.waiting) >= MAX_WAITING_FRAMES:
                return False
            if not peer.waiting:
                peer.waiting_since = now
            peer.waiting.append(frame)
            return True

    def broadcast(self, frame: link_pb2.Frame) -> None:
        """Send a frame over all links that are up."""
        with self._lock:
            for peer in self._peers.values():
                if peer.link is not None:
                    peer.link.send(frame)

    def list_addresses(self) -> dict[str, bool]:
        """Return the addresses of the peers and whether each link is up."""
        with self._lock:
            return {
                address: peer.link is not None
                for address, peer in self._peers.items()
            }

    def _expire_waiting(self, now: float) -> list[str]:
        """Drop frames that waited too long and return their addresses."""
        found = []
        for address, peer in self._peers.items():
            if not peer.waiting:
                continue
            if now - peer.waiting_since > CONNECT_SECONDS:
                peer.waiting.clear()
                found.append(address)
        return found

    def tick(self, needed: set[str]) -> None:
        """Drop frames for unreachable peers and close idle links.

        :param needed: addresses that running requests depend on
        """
        now = self._clock()
        with self._lock:
            unreachable = self._expire_waiting(now)
            idle = [
                address
                for address, peer in self._peers.items()
                if address not in needed and now - peer.used_at > IDLE_SECONDS
            ]
            closing = [self._peers.pop(address) for address in idle]
        for address in unreachable:
            logging.info(
                'agent at %s not reachable within %g s',
                address,
                CONNECT_SECONDS,
            )
            self._handlers.lost(address, 'unreachable')
        for peer in closing:
            peer.dialer.stop()

    def close(self) -> None:
        """Close all links and refuse to open others."""
        with self._lock:
            self._closed = True
            peers = list(self._peers.values())
            self._peers.clear()
        for peer in peers:
            peer.dialer.stop()
