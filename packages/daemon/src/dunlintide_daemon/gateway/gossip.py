"""What entries tell each other, by datagrams.

Each message holds the whole of what its sender carries, so a lost one is
made good by the next.
"""

import asyncio

import msgspec

from dunlintide_core.pipeline import occupancy
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys

__all__ = ['Gossip']

# Pause between two messages to each entry, in seconds, for few entries;
# it grows with their number so that the bytes of one entry stay bounded.
PAUSE_SECONDS = 0.15
ENTRIES_AT_PAUSE = 6
# How long news of a leaving endpoint or a broken run is repeated, in
# seconds.
REPEAT_SECONDS = 3.0


class _Message(msgspec.Struct, array_like=True):
    """One datagram.

    :ivar sender: name of the entry
    :ivar version: configuration in force there, 0 for none
    :ivar usages: endpoint, sequences, started and reserved memory
    :ivar leaving: endpoints that leave
    :ivar banned: endpoints that are left out
    :ivar broken: fingerprints and the endpoints at which they broke
    """

    sender: str
    version: int
    usages: list[tuple[str, int, int, int]]
    leaving: list[str]
    banned: list[str]
    broken: list[tuple[str, str]]


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(_Message)


class Gossip(asyncio.DatagramProtocol):
    """Sender and receiver of an entry's datagrams.

    :ivar entries: other entries by name
    """

    def __init__(self, state: state_module.State) -> None:
        self._state = state
        self._transport: asyncio.DatagramTransport | None = None
        self.entries: dict[str, keys.Entry] = {}
        self.newer: str | None = None
        self.newer_found = asyncio.Event()

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        self._transport = transport

    def error_received(self, error: Exception) -> None:
        self._state.log.write('gossip failed', error=str(error))

    def set_entry(self, entry: keys.Entry) -> None:
        """Take in an entry that is listed."""
        if entry.name == self._state.settings.name:
            return
        self.entries[entry.name] = entry
        self._state.entries.add(entry.name)

    def drop_entry(self, name: str) -> None:
        """Stop to tell an entry that is not listed any more."""
        self.entries.pop(name, None)

    async def run(self) -> None:
        """Tell the others until cancelled."""
        while True:
            count = max(1, len(self.entries) / ENTRIES_AT_PAUSE)
            await asyncio.sleep(PAUSE_SECONDS * count)
            self._state.occupancy.expire(self._state.now)
            if self.entries:
                self._tell()

    def _build(self) -> _Message:
        state = self._state
        now = state.now
        since = now - REPEAT_SECONDS
        return _Message(
            state.settings.name,
            state.deployment.version if state.deployment else 0,
            [
                (name, usage.sequences, usage.started, usage.cache)
                for name, usage in state.occupancy.list_own().items()
            ],
            [name for name, at in state.leaving.items() if at >= since],
            state.soundness.list_banned(now),
            state.crashers.list_recent(since),
        )

    def _tell(self) -> None:
        data = _encoder.encode(self._build())
        for entry in self.entries.values():
            host, _, port = entry.gossip.rpartition(':')
            self._transport.sendto(data, (host, int(port)))

    def datagram_received(self, data: bytes, address: tuple) -> None:
        try:
            message = _decoder.decode(data)
        except msgspec.DecodeError as error:
            self._state.log.write('gossip refused', error=str(error))
            return
        self._take(message)

    def _take(self, message: _Message) -> None:
        state = self._state
        now = state.now
        usages = {
            name: occupancy.Usage(sequences, started, cache)
            for name, sequences, started, cache in message.usages
        }
        state.occupancy.set_remote(message.sender, usages, now)
        for name in message.leaving:
            state.mark_leaving(name, message.sender)
        for name in message.banned:
            state.soundness.hear(name, now)
        for fingerprint, endpoint in message.broken:
            state.crashers.report(fingerprint, endpoint, now)
        held = state.deployment.version if state.deployment else 0
        if message.version > held and message.sender in self.entries:
            self.newer = message.sender
            self.newer_found.set()
