"""Reads newer configurations from other entries.

An entry that is cut off from the store follows the others in this way, and
one behind a narrow link is spared most of what it would read from the store.
"""

import asyncio
from typing import Callable
import zlib

import attrs
import result

from dunlintide_adapters import endpointhttp
from dunlintide_adapters import headernumbers
from dunlintide_daemon.gateway import admin
from dunlintide_daemon.gateway import configurationloader
from dunlintide_daemon.gateway import gossip as gossip_module
from dunlintide_daemon.gateway import state as state_module
from dunlintide_platform import keys
from dunlintide_platform import storevalues

__all__ = ['ConfigurationFetcher']

# Timeouts of a connection, of the head of an answer, and of the next byte of
# its body, in seconds: another entry can be asked instead.
CONNECT_SECONDS = 0.3
HEAD_SECONDS = 0.5
BODY_IDLE_SECONDS = 0.5
# Largest configuration that is accepted, in bytes, in either form.
MAX_BYTES = 16 << 20


@attrs.frozen
class _Fetched:
    """A configuration that another entry sent.

    :ivar value: its encoded form in the store
    :ivar size: bytes on the way
    :ivar revision: its revision in the store, None if unknown
    """

    value: bytes
    size: int
    revision: storevalues.Revision | None


@attrs.frozen
class _FetchFailure:
    """Reason why another entry sent no configuration.

    :ivar received: bytes that had arrived
    :ivar is_busy: whether the entry serves others
    """

    error: str
    received: int = 0
    is_busy: bool = False


_Answer = result.Result[_Fetched, _FetchFailure]


class ConfigurationFetcher:
    """Reads what other entries have in force and this one lacks."""

    def __init__(
        self,
        state: state_module.State,
        gossip: gossip_module.Gossip,
        loader: configurationloader.ConfigurationLoader,
        skip_to: Callable[[storevalues.Revision], None],
    ) -> None:
        """Prepare to read from other entries.

        :param skip_to: called with the revision of a configuration that is in
            force, up to which the store need not be read
        """
        self._state = state
        self._gossip = gossip
        self._loader = loader
        self._skip_to = skip_to

    async def run(self) -> None:
        """Read newer configurations until cancelled."""
        state = self._state
        sources = self._gossip.sources
        newer_found = self._gossip.newer_entry_found
        while True:
            newer_found.clear()
            name = sources.choose(state.version, state.now)
            if name is not None and name in self._gossip.entries:
                await self._fetch(self._gossip.entries[name])
                continue
            wait = sources.get_wait(state.version, state.now)
            try:
                async with asyncio.timeout(wait):
                    await newer_found.wait()
            except TimeoutError:
                pass

    async def _fetch(self, entry: keys.Entry) -> None:
        state = self._state
        sources = self._gossip.sources
        began = state.now
        told = sources.get_version(entry.name)
        fetched = await self._read(entry)
        if fetched.is_err():
            self._pass_over(entry, began, fetched.err_value)
            return
        found = fetched.ok_value
        seconds = state.now - began
        loaded = await self._loader.load(
            found.value, entry.name, found.revision, seconds
        )
        if loaded.is_err():
            failure = _FetchFailure(loaded.err_value, found.size)
            self._pass_over(entry, began, failure)
            return
        if not loaded.ok_value and told > state.version:
            # It told more than it sends; another one may be right.
            sources.record_failure(entry.name, state.now, False)
        if found.revision is not None:
            self._skip_to(found.revision)
        state.log.write(
            'configuration fetched',
            source=entry.name,
            is_newer=loaded.ok_value,
            bytes=found.size,
            seconds=round(seconds, 3),
        )

    def _pass_over(
        self, entry: keys.Entry, began: float, failure: _FetchFailure
    ) -> None:
        """Ask another entry next, and log why.

        :param began: monotonic time of the start, in seconds
        """
        state = self._state
        self._gossip.sources.record_failure(
            entry.name, state.now, failure.is_busy
        )
        state.counters.discarded_bytes.labels('entry').inc(failure.received)
        state.log.write(
            'configuration not fetched',
            source=entry.name,
            error=failure.error,
            received=failure.received,
            seconds=round(state.now - began, 3),
        )

    async def _read(self, entry: keys.Entry) -> _Answer:
        """Read the configuration of an entry."""
        pool = self._state.pool
        try:
            connection = await pool.acquire(entry.admin, CONNECT_SECONDS)
        except endpointhttp.CallError as broken:
            return result.Err(_FetchFailure(str(broken)))
        try:
            head, body = await self._exchange(connection, entry.admin)
        except endpointhttp.CallError as broken:
            if broken.kind is endpointhttp.FailureKind.TIMEOUT:
                # The path of the idle connections may be dead as well.
                pool.drop(entry.admin)
            return result.Err(_FetchFailure(str(broken), connection.received))
        finally:
            pool.release(entry.admin, connection)
        if head.status != 200:
            is_busy = head.status == 503
            return result.Err(
                _FetchFailure(f'status {head.status}', is_busy=is_busy)
            )
        return _decode(head, body)

    async def _exchange(
        self, connection: endpointhttp.Connection, address: str
    ) -> tuple[endpointhttp.AnswerHead, bytes]:
        connection.send(
            f'GET {admin.CONFIGURATION_PATH} HTTP/1.1\r\nHost: {address}\r\n'
            f'Accept-Encoding: {admin.ENCODING}\r\n\r\n'.encode('latin-1')
        )
        deadline = asyncio.get_running_loop().time() + HEAD_SECONDS
        head = await connection.read_head(deadline)
        stated = head.get('content-length') or ''
        size = int(stated) if stated.isdecimal() else MAX_BYTES
        with self._state.occupy(min(size, MAX_BYTES)):
            body = await connection.read_while_progressing(
                BODY_IDLE_SECONDS, MAX_BYTES
            )
        return head, body


def _decode(head: endpointhttp.AnswerHead, body: bytes) -> _Answer:
    size = len(body)
    if head.get('content-encoding') == admin.ENCODING:
        unpacker = zlib.decompressobj(admin.ZLIB_WBITS)
        try:
            body = unpacker.decompress(body, MAX_BYTES)
        except zlib.error as error:
            return result.Err(_FetchFailure(str(error), size))
        if not unpacker.eof:
            return result.Err(_FetchFailure('incomplete or too large', size))
    return result.Ok(_Fetched(body, size, _read_revision(head)))


def _read_revision(
    head: endpointhttp.AnswerHead,
) -> storevalues.Revision | None:
    texts = (head.get(admin.REVISION_HEADER) or '').partition('.')
    era, number = map(headernumbers.parse, texts[::2])
    if era is None or number is None:
        return None
    return storevalues.Revision(era, number)
