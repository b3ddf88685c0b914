"""Bounded queue of frames to be written to a link."""

import asyncio
import threading
import time
from typing import AsyncIterator

from dunlintide_adapters import eventloop
from dunlintide_adapters import packing
from dunlintide_adapters.wire import link_pb2

__all__ = [
    'MAX_BACKLOG_FRAMES',
    'Outbox',
]

MAX_BACKLOG_FRAMES = 100_000


class Outbox:
    """Bounded queue between senders of frames and the writer of a link.

    :ivar taken_at: monotonic time at which the writer last took frames
    """

    def __init__(self, batch_bytes: int) -> None:
        self.taken_at = time.monotonic()
        self._batch_bytes = batch_bytes
        self._frames: list[link_pb2.Frame] = []
        self._lock = threading.Lock()
        self._ready = asyncio.Event()
        self._closed = False

    def put(self, frame: link_pb2.Frame) -> bool:
        """Append a frame; return False if the queue is closed or full."""
        with self._lock:
            if self._closed or len(self._frames) >= MAX_BACKLOG_FRAMES:
                return False
            self._frames.append(frame)
            was_empty = len(self._frames) == 1
        if was_empty:
            self._wake()
        return True

    def close(self) -> None:
        """Refuse further frames; the writer ends after the queued ones."""
        with self._lock:
            self._closed = True
        self._wake()

    def _wake(self) -> None:
        if eventloop.is_current():
            self._ready.set()
        else:
            eventloop.call_soon(self._ready.set)

    async def _take_frames(self) -> list[link_pb2.Frame]:
        while True:
            self._ready.clear()
            with self._lock:
                frames, self._frames = self._frames, []
                closed = self._closed
            if frames or closed:
                self.taken_at = time.monotonic()
                return frames
            await self._ready.wait()

    async def envelopes(self) -> AsyncIterator[link_pb2.Envelope]:
        """Yield queued frames in messages of bounded size."""
        while frames := await self._take_frames():
            for envelope in packing.pack(frames, self._batch_bytes):
                yield envelope
