"""TCP relay that injects network faults.

A relay can stall open connections while new ones work, reset them, delay
their data and limit their bandwidth, in one direction or both. It can lose
single answers, upon which their connections stay silent.
"""

import asyncio
from collections.abc import Coroutine
import contextlib
import enum
import threading
import time
from typing import Any

import attrs
import msgspec

from dunlintide_standins import process
from dunlintide_standins import web

__all__ = ['Config', 'Counts', 'Direction', 'Relay', 'ControlledRelay']

_CHUNK_BYTES = 16 << 10
_MAX_CHUNKS = 64
_CONNECT_SECONDS = 5.0
_CONTROL_SECONDS = 5.0


class Direction(enum.StrEnum):
    """Direction of data; ``FORWARD`` is from the client to the target."""

    FORWARD = 'forward'
    BACKWARD = 'backward'
    BOTH = 'both'


@attrs.frozen
class Config:
    """Settings of a relay that runs as a process."""

    listen: str = process.setting('127.0.0.1:0', 'host:port to listen on')
    target: str = process.setting('', 'host:port to forward connections to')
    control: str = process.setting(
        '127.0.0.1:0', 'host:port of the control address'
    )


@attrs.define
class Counts:
    """Numbers of connections of a relay.

    :ivar accepted: connections accepted since the start
    :ivar open: open connections
    :ivar held: open connections that are stalled in any direction
    """

    accepted: int = 0
    open: int = 0
    held: int = 0


@attrs.define(eq=False)
class _Stream:
    """One direction of one connection.

    :ivar not_stalled: cleared while the stream is stalled
    :ivar chunks: pairs of the time at which to send and the data, empty at
        the end of the stream
    """

    direction: Direction
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    not_stalled: asyncio.Event = attrs.field(factory=asyncio.Event)
    chunks: asyncio.Queue = attrs.field(
        factory=lambda: asyncio.Queue(_MAX_CHUNKS)
    )


@attrs.define(eq=False)
class _Connection:
    streams: tuple[_Stream, _Stream]

    def abort(self) -> None:
        """Reset the connections to the client and to the target."""
        for stream in self.streams:
            stream.writer.transport.abort()


def _matches(direction: Direction, wanted: Direction) -> bool:
    return wanted in (Direction.BOTH, direction)


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(':')
    return host, int(port)


class Relay:
    """Forwards connections to a target; the methods are thread-safe.

    :ivar port: port that the relay listens on
    """

    def __init__(self, listen: str, target: str) -> None:
        """Start to listen and to forward.

        :param listen: ``host:port``, port 0 for a free one
        :param target: ``host:port`` to forward connections to
        :raises OSError: if the port is in use
        """
        self.target = target
        self._accepted = 0
        self._connections: set[_Connection] = set()
        self._stalls_new = False
        self._delays = dict.fromkeys(Direction, 0.0)
        self._rates = dict.fromkeys(Direction, 0.0)
        # Bytes per second of all connections together, 0 for no limit, and
        # the times at which what was sent so far is through, by direction.
        self._bandwidth = 0.0
        self._idle_at = dict.fromkeys(Direction, 0.0)
        self._to_lose = 0
        self._lost_pattern = b''
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, name='relay', daemon=True
        )
        self._thread.start()
        try:
            self._server = self._run(self._listen(*_split_address(listen)))
        except OSError:
            self._end_loop()
            raise
        self.port = self._server.sockets[0].getsockname()[1]

    def _run(self, work: Coroutine) -> Any:
        future = asyncio.run_coroutine_threadsafe(work, self._loop)
        return future.result(_CONTROL_SECONDS)

    async def _listen(self, host: str, port: int) -> asyncio.Server:
        return await asyncio.start_server(self._accept, host, port)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._accepted += 1
        dialled = asyncio.open_connection(*_split_address(self.target))
        try:
            target_pair = await asyncio.wait_for(dialled, _CONNECT_SECONDS)
        except (OSError, asyncio.TimeoutError):
            writer.transport.abort()
            return
        streams = (
            _Stream(Direction.FORWARD, reader, target_pair[1]),
            _Stream(Direction.BACKWARD, target_pair[0], writer),
        )
        connection = _Connection(streams)
        if not self._stalls_new:
            for stream in streams:
                stream.not_stalled.set()
        self._connections.add(connection)
        try:
            tasks = [self._read(stream) for stream in streams]
            tasks += [self._write(stream) for stream in streams]
            await asyncio.gather(*tasks)
        except (OSError, asyncio.CancelledError):
            pass  # One end disconnected or the relay stops: close both ends.
        finally:
            self._connections.discard(connection)
            connection.abort()

    async def _read(self, stream: _Stream) -> None:
        data = b'more'
        while data:
            data = await stream.reader.read(_CHUNK_BYTES)
            if self._is_lost(stream, data):
                stream.not_stalled.clear()
            await stream.not_stalled.wait()
            due = time.monotonic() + self._delays[stream.direction]
            await stream.chunks.put((due, data))

    def _is_lost(self, stream: _Stream, data: bytes) -> bool:
        """Return whether data is an answer to lose, and count it."""
        if (
            not self._to_lose
            or stream.direction is not Direction.BACKWARD
            or self._lost_pattern not in data
        ):
            return False
        self._to_lose -= 1
        return True

    async def _write(self, stream: _Stream) -> None:
        while True:
            due, data = await stream.chunks.get()
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            rate = self._rates[stream.direction]
            if rate:
                await asyncio.sleep(len(data) / rate)
            await self._pass_link(stream.direction, len(data))
            await stream.not_stalled.wait()
            if not data:
                if stream.writer.can_write_eof():
                    stream.writer.write_eof()
                return
            stream.writer.write(data)
            await stream.writer.drain()

    async def _pass_link(self, direction: Direction, size: int) -> None:
        """Wait until the link that all connections share has sent bytes."""
        if not self._bandwidth:
            return
        now = time.monotonic()
        begins_at = max(now, self._idle_at[direction])
        ends_at = begins_at + size / self._bandwidth
        self._idle_at[direction] = ends_at
        await asyncio.sleep(ends_at - now)

    async def _stall_connections(
        self, direction: Direction, new: bool
    ) -> None:
        self._stalls_new = new
        for connection in self._connections:
            for stream in connection.streams:
                if _matches(stream.direction, direction):
                    stream.not_stalled.clear()

    async def _resume_connections(self) -> None:
        self._stalls_new = False
        for connection in self._connections:
            for stream in connection.streams:
                stream.not_stalled.set()

    async def _reset_connections(self) -> None:
        for connection in list(self._connections):
            connection.abort()

    async def _lose(self, count: int, pattern: bytes) -> None:
        self._to_lose, self._lost_pattern = count, pattern

    async def _count(self) -> Counts:
        held = sum(
            not all(
                stream.not_stalled.is_set() for stream in connection.streams
            )
            for connection in self._connections
        )
        return Counts(self._accepted, len(self._connections), held)

    def stall(
        self, direction: Direction = Direction.BOTH, *, new: bool = False
    ) -> None:
        """Stall the open connections without closing them.

        :param new: whether later connections are stalled too
        """
        self._run(self._stall_connections(direction, new))

    def lose(self, count: int, pattern: bytes = b'') -> None:
        """Lose the next answers; their connections stay silent for good.

        :param count: number of answers, each on another connection
        :param pattern: bytes that an answer to lose contains
        """
        self._run(self._lose(count, pattern))

    def resume(self) -> None:
        """Resume stalled connections; their buffered data is sent."""
        self._run(self._resume_connections())

    def cut(self) -> None:
        """Reset the open connections."""
        self._run(self._reset_connections())

    def shape(
        self,
        direction: Direction = Direction.BOTH,
        *,
        delay: float = 0.0,
        rate: float = 0.0,
    ) -> None:
        """Set the delay and the rate limit of all connections.

        :param delay: delay of the data, in seconds
        :param rate: bytes per second of each connection, 0 for no limit
        """
        for each in (Direction.FORWARD, Direction.BACKWARD):
            if _matches(each, direction):
                self._delays[each] = delay
                self._rates[each] = rate

    def narrow(self, bandwidth: float) -> None:
        """Limit the bandwidth that all connections share in a direction.

        :param bandwidth: bytes per second, 0 for no limit
        """
        self._bandwidth = bandwidth

    def count(self) -> Counts:
        """Count the connections."""
        return self._run(self._count())

    def start(self) -> None:
        """Do nothing: a relay listens from its construction."""

    def _end_loop(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(_CONTROL_SECONDS)
        self._loop.close()

    async def _close(self) -> None:
        self._server.close()
        for connection in list(self._connections):
            connection.abort()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)

    def stop(self) -> None:
        """Close the port and reset every connection."""
        with contextlib.suppress(TimeoutError):
            self._run(self._close())
        self._end_loop()


class _Control(msgspec.Struct, forbid_unknown_fields=True):
    """Faults to change; ``stall`` false resumes stalled connections."""

    stall: bool | None = None
    new: bool = False
    direction: Direction = Direction.BOTH
    cut: bool = False
    delay: float | None = None
    rate: float | None = None


class ControlledRelay:
    """A relay with a control address.

    :ivar port: port that the relay listens on
    :ivar control_port: port of ``GET`` and ``POST /control``
    """

    def __init__(self, config: Config) -> None:
        self._relay = Relay(config.listen, config.target)
        self.port = self._relay.port
        self._server = web.Server(config.control, self._handle)
        self.control_port = self._server.port

    @classmethod
    def from_config(cls, config: Config) -> 'ControlledRelay':
        """Build a relay and bind its ports."""
        return cls(config)

    def start(self) -> None:
        """Start to serve the control address."""
        self._server.start()

    def stop(self) -> None:
        """Stop at once and reset every connection."""
        self._server.stop()
        self._relay.stop()

    def _handle(self, request: web.Request) -> web.Answer:
        if request.path != '/control':
            return web.json_answer({'error': 'no such path'}, 404)
        if request.method == 'POST':
            self._apply(web.decode_json(request, _Control))
        return web.json_answer(attrs.asdict(self._relay.count()))

    def _apply(self, control: _Control) -> None:
        if control.stall is True:
            self._relay.stall(control.direction, new=control.new)
        elif control.stall is False:
            self._relay.resume()
        if control.delay is not None or control.rate is not None:
            self._relay.shape(
                control.direction,
                delay=control.delay or 0.0,
                rate=control.rate or 0.0,
            )
        if control.cut:
            self._relay.cut()


if __name__ == '__main__':
    process.run(Config, ControlledRelay.from_config)
